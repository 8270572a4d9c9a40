#include "utilities/ctl/fleet.hpp"

#include "backend/load_report.hpp"

#include <atomic>
#include <thread>

namespace jasminepier::ctl
{
namespace
{

/// Threads that ask nodes; with 400 nodes and 10 silent ones a round stays under a second or two.
constexpr std::size_t asking_threads = 32;

std::optional<inner_protocol::node_status_reply> ask_node(configuration::node const& node,
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

void ask_all(std::vector<node_view>& views, int timeout_milliseconds)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(asking_threads, views.size()); ++i)
        threads.emplace_back(
            [&]
            {
                for (auto at = next++; at < views.size(); at = next++)
                    views[at].status = ask_node(views[at].node, timeout_milliseconds);
            });
    for (auto& thread : threads)
        thread.join();
}

enum class opinion
{
    none,
    alive,
    dead,
};

opinion opinion_of(inner_protocol::node_status_reply const& status, std::string const& node)
{
    for (auto const& member : status.members)
        if (member.node_id == node)
            return member.state == inner_protocol::member_state::dead ? opinion::dead
                                                                      : opinion::alive;
    return opinion::none;
}

bool leaving(node_view const& view, std::vector<node_view> const& all)
{
    for (auto const& other : all)
        if (other.status)
            for (auto const& member : other.status->members)
                if (member.node_id == view.node.name &&
                    member.state == inner_protocol::member_state::leaving)
                    return true;
    return view.node.leaving;
}

} // namespace

base::result<std::vector<node_view>> ask_nodes(context const& current)
{
    auto store = current.store();
    BOOST_LEAF_AUTO(page, store.list("node"));
    std::vector<node_view> views;
    for (auto const& held : page.objects)
    {
        BOOST_LEAF_AUTO(value, base::parse_json_object(held.value));
        BOOST_LEAF_AUTO(node, configuration::parse_node(held.name, value));
        views.push_back({node, std::nullopt});
    }
    ask_all(views, current.node_timeout_milliseconds);
    return views;
}

bool is_live(node_view const& view, std::vector<node_view> const& all)
{
    if (view.status)
        return true;
    bool called_dead = false;
    for (auto const& other : all)
    {
        auto const said = other.status ? opinion_of(*other.status, view.node.name) : opinion::none;
        if (said == opinion::alive)
            return true;
        called_dead = called_dead || said == opinion::dead;
    }
    return !called_dead;
}

std::string describe(node_view const& view, std::vector<node_view> const& all)
{
    if (!is_live(view, all))
        return "dead";
    if (!view.status)
        return "no_answer";
    if (view.status->isolated)
        return "isolated";
    if (leaving(view, all))
        return "leaving";
    return view.status->ready ? "ready" : "not_ready";
}

inner_protocol::load_digest const* freshest_report(std::string const& server,
                                                   std::vector<node_view> const& all)
{
    inner_protocol::load_digest const* freshest = nullptr;
    for (auto const& view : all)
    {
        if (!view.status)
            continue;
        for (auto const& digest : view.status->loads)
            if (digest.server_id == server &&
                (freshest == nullptr || digest.age_milliseconds < freshest->age_milliseconds))
                freshest = &digest;
    }
    return freshest;
}

std::string server_state(configuration::server const& server, std::vector<node_view> const& all)
{
    constexpr auto unreachable = static_cast<int>(backend::server_state::unreachable);
    int reached = 0;
    int missed = 0;
    for (auto const& view : all)
    {
        if (!view.status)
            continue;
        for (auto const& digest : view.status->loads)
            if (digest.server_id == server.name)
                ++(digest.state == unreachable ? missed : reached);
    }
    if (missed > 0)
        return reached > 0 ? "suspected" : "unreachable";
    if (server.leaving)
        return "leaving";
    auto const* freshest = freshest_report(server.name, all);
    if (freshest == nullptr)
        return "unknown";
    switch (static_cast<backend::server_state>(freshest->state))
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
