#include "utilities/ctl/fleet.hpp"

#include "backend/load_report.hpp"

#include <atomic>
#include <thread>

namespace jasminepier::ctl
{
namespace
{

/// Maximum parallel queries; with 400 nodes, 10 of them unresponsive, a round takes about two
/// seconds at most.
constexpr std::size_t query_threads = 32;

std::optional<inner_protocol::node_status_reply> query_node(configuration::node const& node,
                                                            int timeout_milliseconds)
{
    inner_protocol::rpc_client<inner_protocol::control_nodeClient> client(
        node.host, node.control_port, std::chrono::milliseconds(timeout_milliseconds));
    return base::handle(
        [&]() -> base::result<std::optional<inner_protocol::node_status_reply>>
        {
            BOOST_LEAF_AUTO(reply, client.call(
                                       [](inner_protocol::control_nodeClient& node_client)
                                       {
                                           inner_protocol::node_status_reply received;
                                           node_client.node_status(received);
                                           return received;
                                       }));
            return std::optional(reply);
        },
        [](base::error const&) { return std::optional<inner_protocol::node_status_reply>{}; });
}

void query_all(std::vector<node_query_result>& results, int timeout_milliseconds)
{
    std::atomic<std::size_t> next_index{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(query_threads, results.size()); ++i)
        threads.emplace_back(
            [&]
            {
                for (auto index = next_index++; index < results.size(); index = next_index++)
                    results[index].status = query_node(results[index].node, timeout_milliseconds);
            });
    for (auto& thread : threads)
        thread.join();
}

enum class liveness
{
    unknown,
    alive,
    dead,
};

liveness reported_liveness(inner_protocol::node_status_reply const& status, std::string const& node)
{
    for (auto const& member : status.members)
        if (member.node_id == node)
            return member.state == inner_protocol::member_state::dead ? liveness::dead
                                                                      : liveness::alive;
    return liveness::unknown;
}

bool is_leaving(node_query_result const& result, std::vector<node_query_result> const& results)
{
    for (auto const& reporter : results)
        if (reporter.status)
            for (auto const& member : reporter.status->members)
                if (member.node_id == result.node.name &&
                    member.state == inner_protocol::member_state::leaving)
                    return true;
    return result.node.leaving;
}

} // namespace

base::result<std::vector<node_query_result>> query_nodes(tool_settings const& settings)
{
    auto store = settings.make_store();
    BOOST_LEAF_AUTO(page, store.list("node"));
    std::vector<node_query_result> results;
    for (auto const& object : page.objects)
    {
        BOOST_LEAF_AUTO(value, base::parse_json_object(object.value));
        BOOST_LEAF_AUTO(node, configuration::parse_node(object.name, value));
        results.push_back({node, std::nullopt});
    }
    query_all(results, settings.node_timeout_milliseconds);
    return results;
}

bool is_live(node_query_result const& result, std::vector<node_query_result> const& results)
{
    if (result.status)
        return true;
    bool reported_dead = false;
    for (auto const& reporter : results)
    {
        auto const reported = reporter.status
                                  ? reported_liveness(*reporter.status, result.node.name)
                                  : liveness::unknown;
        if (reported == liveness::alive)
            return true;
        reported_dead = reported_dead || reported == liveness::dead;
    }
    return !reported_dead;
}

std::string node_state(node_query_result const& result,
                       std::vector<node_query_result> const& results)
{
    if (!is_live(result, results))
        return "dead";
    if (!result.status)
        return "no_answer";
    if (result.status->isolated)
        return "isolated";
    if (is_leaving(result, results))
        return "leaving";
    return result.status->ready ? "ready" : "not_ready";
}

inner_protocol::load_digest const* latest_report(std::string const& server,
                                                 std::vector<node_query_result> const& results)
{
    inner_protocol::load_digest const* latest = nullptr;
    for (auto const& result : results)
    {
        if (!result.status)
            continue;
        for (auto const& digest : result.status->loads)
            if (digest.server_id == server &&
                (latest == nullptr || digest.age_milliseconds < latest->age_milliseconds))
                latest = &digest;
    }
    return latest;
}

std::string server_state(configuration::server const& server,
                         std::vector<node_query_result> const& results)
{
    constexpr auto unreachable = static_cast<int>(backend::server_state::unreachable);
    int reachable_count = 0;
    int unreachable_count = 0;
    for (auto const& result : results)
    {
        if (!result.status)
            continue;
        for (auto const& digest : result.status->loads)
            if (digest.server_id == server.name)
                ++(digest.state == unreachable ? unreachable_count : reachable_count);
    }
    if (unreachable_count > 0)
        return reachable_count > 0 ? "suspected" : "unreachable";
    if (server.leaving)
        return "leaving";
    auto const* latest = latest_report(server.name, results);
    if (latest == nullptr)
        return "unknown";
    switch (static_cast<backend::server_state>(latest->state))
    {
    case backend::server_state::cold:
        return "cold";
    case backend::server_state::leaving:
        return "leaving";
    default:
        return "warm";
    }
}

} // namespace jasminepier::ctl
