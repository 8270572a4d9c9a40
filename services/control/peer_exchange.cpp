#include "services/control/peer_exchange.hpp"

#include "base/log.hpp"
#include "inner_protocol/rpc.hpp"

#include <algorithm>

namespace jasminepier::control
{
namespace
{

using client = inner_protocol::control_nodeClient;

// Short enough that two failures in a row leave time for a third peer within 12 s.
constexpr std::chrono::milliseconds call_timeout{2000};

template <class Call>
bool call_peer(inner_protocol::member_record const& peer, std::string const& purpose, Call&& body)
{
    inner_protocol::rpc_client<client> connection(peer.host, peer.control_port, call_timeout);
    return base::handle(
        [&]() -> base::result<bool>
        {
            return connection.call(
                [&](client& connected)
                {
                    body(connected);
                    return true;
                });
        },
        [&](base::error const& failure)
        {
            base::log_line(base::log_level::info, "peer_call_failed")
                .field("peer", peer.node_id)
                .field("purpose", purpose)
                .field("reason", failure.message);
            return false;
        });
}

} // namespace

void pull_configuration_if_due(membership_agent& agent, control_state& state)
{
    auto const peer = agent.start_pull();
    if (!peer)
        return;
    auto const since = state.confirmed_revision();
    bool const done = call_peer(*peer, "pull_configuration",
                                [&](client& connected)
                                {
                                    inner_protocol::configuration_page page;
                                    connected.pull_configuration(page, since);
                                    state.merge_peer(since, page);
                                });
    agent.finish_pull(peer->node_id, done);
}

void push_pull_members_if_due(membership_agent& agent)
{
    auto const peer = agent.next_push_pull_peer();
    if (!peer)
        return;
    auto const known = agent.push_pull({});
    call_peer(
        *peer, "exchange_members",
        [&](client& connected)
        {
            std::vector<inner_protocol::member_record> received;
            connected.exchange_members(received, known);
            if (std::all_of(received.begin(), received.end(), inner_protocol::is_valid_record))
                agent.push_pull(received);
        });
}

} // namespace jasminepier::control
