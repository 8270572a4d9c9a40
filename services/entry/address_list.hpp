/// Selection of the entry VM addresses that callers receive.
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

/// The node that serves the address request.
struct local_node
{
    std::string address;
    bool leaving = false;
};

using member_map = std::map<std::string, inner_protocol::member_record>;

/// Returns at most `maximum_addresses` listed nodes that are live, ready and not leaving: nodes of
/// the local node's zone first, then nodes of its region, then all others. `caller_seed` determines
/// the order within each group, which distributes callers. Omits nodes without a member record,
/// unless there are no records at all.
std::vector<entry_address> select_entry_addresses(configuration::snapshot const& snapshot,
                                                  member_map const& members, local_node const& self,
                                                  std::uint64_t caller_seed);

} // namespace jasminepier::entry
