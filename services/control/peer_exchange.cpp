#include "services/control/peer_exchange.hpp"

#include "base/log.hpp"
#include "inner_protocol/rpc.hpp"

#include <algorithm>

namespace jasminepier::control
{
namespace
{

using client = inner_protocol::control_nodeClient;

// After two timeouts in a row, a third peer can still deliver a change within the target of 12 s.
constexpr std::chrono::milliseconds call_timeout{2000};

template <class Call>
bool call_peer(inner_protocol::member_record const& peer, std::string const& purpose,
               Call&& function)
{
    inner_protocol::rpc_client<client> connection(peer.host, peer.control_port, call_timeout);
    return base::handle(
        [&]() -> base::result<bool>
        {
            return connection.call(
                [&](client& connected_client)
                {
                    function(connected_client);
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
    auto const since_revision = state.confirmed_revision();
    bool const succeeded = call_peer(*peer, "pull_configuration",
                                     [&](client& connected_client)
                                     {
                                         inner_protocol::configuration_page page;
                                         connected_client.pull_configuration(page, since_revision);
                                         state.merge_peer(since_revision, page);
                                     });
    agent.finish_pull(peer->node_id, succeeded);
}

void push_pull_members_if_due(membership_agent& agent)
{
    auto const peer = agent.next_push_pull_peer();
    if (!peer)
        return;
    auto const local_records = agent.push_pull({});
    call_peer(
        *peer, "exchange_members",
        [&](client& connected_client)
        {
            std::vector<inner_protocol::member_record> received;
            connected_client.exchange_members(received, local_records);
            if (std::all_of(received.begin(), received.end(), inner_protocol::is_valid_record))
                agent.push_pull(received);
        });
}

} // namespace jasminepier::control
