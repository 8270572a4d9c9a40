#include "services/entry/address_list.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace jasminepier::entry
{
namespace
{

std::string address_of(configuration::node const& node)
{
    return node.host + ":" + std::to_string(node.entry_port);
}

std::string region_of(configuration::snapshot const& snapshot, std::string const& zone)
{
    auto const found = snapshot.zones.find(zone);
    return found == snapshot.zones.end() ? zone : found->second.region;
}

bool accepts_callers(configuration::node const& node, member_map const& members,
                     local_node const& self)
{
    if (node.leaving)
        return false;
    // The local state is newer than the gossiped one.
    if (address_of(node) == self.address)
        return !self.leaving;
    auto const found = members.find(node.name);
    // The platform may still list a node that gossip has already removed.
    if (found == members.end())
        return members.empty();
    auto const state = found->second.state;
    return found->second.ready && state != inner_protocol::member_state::leaving &&
           state != inner_protocol::member_state::dead;
}

} // namespace

std::vector<entry_address> select_entry_addresses(configuration::snapshot const& snapshot,
                                                  member_map const& members, local_node const& self,
                                                  std::uint64_t caller_seed)
{
    std::string local_zone;
    for (auto const& [name, node] : snapshot.nodes)
        if (address_of(node) == self.address)
            local_zone = node.zone;
    auto const local_region = region_of(snapshot, local_zone);
    std::vector<std::tuple<int, std::uint64_t, configuration::node const*>> ranked;
    for (auto const& [name, node] : snapshot.nodes)
    {
        if (!accepts_callers(node, members, self))
            continue;
        int const distance = node.zone == local_zone                          ? 0
                             : region_of(snapshot, node.zone) == local_region ? 1
                                                                              : 2;
        ranked.emplace_back(distance, base::stable_hash(name, caller_seed), &node);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), maximum_addresses));
    std::vector<entry_address> selected;
    selected.reserve(ranked.size());
    for (auto const& [distance, shuffle_key, node] : ranked)
        selected.push_back({address_of(*node), node->zone});
    return selected;
}

} // namespace jasminepier::entry
