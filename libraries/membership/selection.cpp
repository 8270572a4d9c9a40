#include "membership/selection.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace jasminepier::membership
{
namespace
{

bool is_live(member_record const& record) noexcept
{
    return record.state == member_state::alive || record.state == member_state::suspect;
}

} // namespace

std::vector<member_record> live_members_in_region(std::span<member_record const> members,
                                                  std::string_view region)
{
    std::vector<member_record> found;
    for (auto const& record : members)
        if (is_live(record) && record.region == region)
            found.push_back(record);
    return found;
}

bool is_platform_watcher(std::span<member_record const> members, std::string_view region,
                         std::string_view node_id)
{
    auto const local_weight = base::rendezvous_weight("watch-platform", node_id);
    auto const higher_weights = std::count_if(
        members.begin(), members.end(),
        [&](member_record const& record)
        {
            return is_live(record) && record.region == region && record.node_id != node_id &&
                   base::rendezvous_weight("watch-platform", record.node_id) > local_weight;
        });
    return static_cast<std::size_t>(higher_weights) < watchers_per_region;
}

std::string select_observer(server_candidate const& server, std::span<member_record const> members)
{
    member_record const* best = nullptr;
    bool best_in_region = false;
    std::uint64_t best_weight = 0;
    for (auto const& record : members)
    {
        if (!is_live(record))
            continue;
        bool const in_region = record.region == server.region;
        auto const weight = base::rendezvous_weight(server.id, record.node_id);
        if (best != nullptr &&
            (in_region != best_in_region ? best_in_region : weight <= best_weight))
            continue;
        best = &record;
        best_in_region = in_region;
        best_weight = weight;
    }
    return best == nullptr ? std::string() : best->node_id;
}

std::vector<std::string> select_server_subset(std::string_view node_id, std::string_view region,
                                              std::size_t live_nodes,
                                              std::span<server_candidate const> servers)
{
    std::vector<std::string> subset;
    if (live_nodes <= maximum_nodes_without_subsetting)
    {
        for (auto const& server : servers)
            subset.push_back(server.id);
        return subset;
    }
    std::vector<std::pair<std::uint64_t, server_candidate const*>> servers_by_weight;
    for (auto const& server : servers)
        if (server.region == region)
            servers_by_weight.emplace_back(base::rendezvous_weight(node_id, server.id), &server);
    std::sort(servers_by_weight.begin(), servers_by_weight.end(), std::greater<>());
    std::map<std::string, std::size_t> model_server_counts;
    for (std::size_t rank = 0; rank < servers_by_weight.size(); ++rank)
    {
        auto const& server = *servers_by_weight[rank].second;
        bool const model_needs_servers =
            std::any_of(server.models.begin(), server.models.end(),
                        [&](std::string const& model)
                        { return model_server_counts[model] < minimum_servers_per_model; });
        if (rank >= servers_per_subset && !model_needs_servers)
            continue;
        subset.push_back(server.id);
        for (auto const& model : server.models)
            ++model_server_counts[model];
    }
    return subset;
}

} // namespace jasminepier::membership
