/// Selections by rendezvous hashing. Nodes with the same member list and configuration make the
/// same selections.
#pragma once

#include "membership/record.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::membership
{

inline constexpr std::size_t watchers_per_region = 3;
/// In a fleet up to this size, every node uses every server.
inline constexpr std::size_t maximum_nodes_without_subsetting = 16;
/// Servers that a node of a larger fleet uses, if its region has that many.
inline constexpr std::size_t servers_per_subset = 48;
/// A subset includes at least this many servers for each model, if its region has that many.
inline constexpr std::size_t minimum_servers_per_model = 3;

/// A server to select. Plain services count as a model with the name of the service.
struct server_candidate
{
    std::string id;
    std::string region;
    std::vector<std::string> models;
};

/// Returns the members of `region` that are alive or suspect.
std::vector<member_record> live_members_in_region(std::span<member_record const> members,
                                                  std::string_view region);

/// Returns true if `node_id` is one of the platform watchers of `region`.
bool is_platform_watcher(std::span<member_record const> members, std::string_view region,
                         std::string_view node_id);

/// Returns the id of the node that polls the server's load reports: a live node of the server's
/// region if there is one, else a live node of any region, else empty.
std::string select_observer(server_candidate const& server, std::span<member_record const> members);

/// Returns the ids of the servers that a node dispatches requests to.
std::vector<std::string> select_server_subset(std::string_view node_id, std::string_view region,
                                              std::size_t live_nodes,
                                              std::span<server_candidate const> servers);

} // namespace jasminepier::membership
