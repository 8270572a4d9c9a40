/// Choices that all nodes with the same view make alike, by rendezvous hashing.
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
/// Up to this number of nodes, every node uses every server.
inline constexpr std::size_t maximum_nodes_without_subsetting = 16;
/// Servers that a node of a larger fleet uses, unless its region has fewer.
inline constexpr std::size_t servers_per_subset = 48;
/// Servers for each model that a node uses at least.
inline constexpr std::size_t minimum_servers_per_model = 3;

/// A server as the choices see it. Plain services count as a model named like the service.
struct server_candidate
{
    std::string id;
    std::string region;
    std::vector<std::string> models;
};

/// Returns the nodes of `region` that are alive or suspect.
std::vector<member_record> live_members_in_region(std::span<member_record const> members,
                                                  std::string_view region);

/// True when `node_id` is among the watchers of the platform in its region.
bool is_platform_watcher(std::span<member_record const> members, std::string_view region,
                         std::string_view node_id);

/// Returns the observer of a server: a live node of its region, or of any region when that one has
/// none; empty without any live node.
std::string select_observer(server_candidate const& server, std::span<member_record const> members);

/// Returns the ids of the servers that a node uses.
std::vector<std::string> select_server_subset(std::string_view node_id, std::string_view region,
                                              std::size_t live_nodes,
                                              std::span<server_candidate const> servers);

} // namespace jasminepier::membership
