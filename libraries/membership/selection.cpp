#include "membership/selection.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace jasminepier::membership
{
namespace
{

bool live(member_record const& record) noexcept
{
    return record.state == member_state::alive || record.state == member_state::suspect;
}

} // namespace

std::vector<member_record> live_in_region(std::span<member_record const> members,
                                          std::string_view region)
{
    std::vector<member_record> found;
    for (auto const& record : members)
        if (live(record) && record.region == region)
            found.push_back(record);
    return found;
}

bool watches_platform(std::span<member_record const> members, std::string_view region,
                      std::string_view node_id)
{
    auto const own = base::rendezvous_weight("watch-platform", node_id);
    auto const ahead =
        std::count_if(members.begin(), members.end(),
                      [&](member_record const& record)
                      {
                          return live(record) && record.region == region &&
                                 record.node_id != node_id &&
                                 base::rendezvous_weight("watch-platform", record.node_id) > own;
                      });
    return static_cast<std::size_t>(ahead) < watchers_per_region;
}

std::string observer_of(server_candidate const& server, std::span<member_record const> members)
{
    member_record const* best = nullptr;
    bool best_is_near = false;
    std::uint64_t best_weight = 0;
    for (auto const& record : members)
    {
        if (!live(record))
            continue;
        bool const near = record.region == server.region;
        auto const weight = base::rendezvous_weight(server.id, record.node_id);
        if (best != nullptr && (near != best_is_near ? best_is_near : weight <= best_weight))
            continue;
        best = &record;
        best_is_near = near;
        best_weight = weight;
    }
    return best == nullptr ? std::string() : best->node_id;
}

std::vector<std::string> servers_used(std::string_view node_id, std::string_view region,
                                      std::size_t live_nodes,
                                      std::span<server_candidate const> servers)
{
    std::vector<std::string> used;
    if (live_nodes <= full_use_nodes)
    {
        for (auto const& server : servers)
            used.push_back(server.id);
        return used;
    }
    std::vector<std::pair<std::uint64_t, server_candidate const*>> ranked;
    for (auto const& server : servers)
        if (server.region == region)
            ranked.emplace_back(base::rendezvous_weight(node_id, server.id), &server);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::map<std::string, std::size_t> offered;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank)
    {
        auto const& server = *ranked[rank].second;
        bool const needed = std::any_of(server.models.begin(), server.models.end(),
                                        [&](std::string const& model)
                                        { return offered[model] < servers_per_model; });
        if (rank >= servers_per_node && !needed)
            continue;
        used.push_back(server.id);
        for (auto const& model : server.models)
            ++offered[model];
    }
    return used;
}

} // namespace jasminepier::membership
