/// The addresses of entry VMs that callers are given.
#pragma once

#include "configuration/snapshot.hpp"
#include "jasminepier_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminepier::entry
{

inline constexpr std::size_t maximum_addresses = 8;

struct entry_address
{
    std::string address;
    std::string zone;
};

/// The node that answers.
struct local_node
{
    std::string address;
    bool leaving = false;
};

using member_map = std::map<std::string, inner_protocol::member_record>;

/// Returns the listed nodes that are live, ready and not leaving, at most `maximum_addresses`:
/// those of the answering node's zone first, then those of its region. Each group is shuffled by
/// `caller_seed`, so that callers spread. A node without a member
/// record is left out, unless no records are known at all.
std::vector<entry_address> select_entry_addresses(configuration::snapshot const& snapshot,
                                                  member_map const& members, local_node const& self,
                                                  std::uint64_t caller_seed);

} // namespace jasminepier::entry
