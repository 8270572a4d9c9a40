#include "services/entry/non_idempotent_calls.hpp"

#include "decision/retry_policy.hpp"
#include "inner_protocol/rpc.hpp"
#include "services/entry/detached_call.hpp"

namespace jasminepier::entry
{
namespace
{

using base::error_kind;

/// Time after which a service is no longer expected to respond to a non-idempotent call.
constexpr base::milliseconds service_response_timeout{300000};
constexpr base::milliseconds peer_timeout{500};
constexpr base::milliseconds retry_interval{200};
constexpr base::milliseconds sweep_interval{600000};
constexpr std::size_t sweeping_node_count = 3;
constexpr std::size_t maximum_servers = 3;
constexpr std::size_t maximum_response_bytes = 8U << 20U;

claims::claim_progress from_thrift(inner_protocol::claim_progress::type progress)
{
    using thrift_progress = inner_protocol::claim_progress;
    switch (progress)
    {
    case thrift_progress::dispatched:
        return claims::claim_progress::dispatched;
    case thrift_progress::abandoned:
        return claims::claim_progress::abandoned;
    case thrift_progress::finished:
        return claims::claim_progress::finished;
    case thrift_progress::preparing:
        return claims::claim_progress::preparing;
    case thrift_progress::unknown_claim:
        break;
    }
    return claims::claim_progress::unknown;
}

base::result<selected_server> select_server(entry_state& state, plain_call const& call,
                                            std::set<std::string> const& excluded)
{
    acquire_request requirements;
    requirements.service = call.service;
    requirements.customer = call.customer;
    requirements.kind = configuration::work_kind::action;
    requirements.request_id = call.request_id;
    requirements.maximum_wait = std::max(call.time_left(), base::milliseconds(1));
    requirements.deadline = call.deadline;
    requirements.excluded = excluded;
    return state.acquire(requirements);
}

claims::dispatch_result make_failure(claims::dispatch_status status, base::error const& failure)
{
    return {status, {}, failure};
}

/// Sends the call to one server. The status is `not_sent` only if no connection was established.
claims::dispatch_result send_to(selected_server const& server, plain_call const& call,
                                base::time_point response_deadline)
{
    auto const response_timeout = std::chrono::duration_cast<base::milliseconds>(
        response_deadline - base::steady_clock_source{}.now());
    backend::http_exchange exchange(
        {server.host, server.port},
        {base::milliseconds(500), std::max(response_timeout, base::milliseconds(1))});
    return base::handle(
        [&]() -> base::result<claims::dispatch_result>
        {
            BOOST_LEAF_CHECK(exchange.send(call.forwarded));
            claims::dispatch_result result;
            BOOST_LEAF_ASSIGN(result.response.status, exchange.receive_status());
            BOOST_LEAF_ASSIGN(result.response.body, exchange.read_body(maximum_response_bytes));
            result.response.content_type = exchange.content_type();
            result.status = claims::dispatch_status::responded;
            return result;
        },
        [](base::error const& failure)
        {
            return make_failure(failure.kind == error_kind::server_unreachable
                                    ? claims::dispatch_status::not_sent
                                    : claims::dispatch_status::unknown,
                                failure);
        });
}

} // namespace

base::result<claims::claim_progress> node_peers::query_progress(std::string const& node,
                                                                std::string const& claim,
                                                                std::string const& nonce) const
{
    auto const snapshot = m_state.snapshot();
    auto const found = snapshot->nodes.find(node);
    if (found == snapshot->nodes.end())
        return base::fail(error_kind::server_unreachable, "node " + node + " is not listed");
    inner_protocol::rpc_client<inner_protocol::entry_nodeClient> client(
        found->second.host, found->second.entry_peer_port, peer_timeout);
    BOOST_LEAF_AUTO(progress, client.call([&](inner_protocol::entry_nodeClient& peer)
                                          { return peer.claim_status(claim, nonce); }));
    return from_thrift(progress);
}

claims::dispatch_result send_once(entry_state& state, plain_call const& call,
                                  base::time_point response_deadline)
{
    std::set<std::string> excluded;
    claims::dispatch_result result = make_failure(
        claims::dispatch_status::not_sent, {error_kind::no_server, "no server was attempted"});
    while (excluded.size() < maximum_servers)
    {
        base::error selection_error;
        auto const server = base::handle(
            [&]() -> base::result<std::optional<selected_server>>
            {
                BOOST_LEAF_AUTO(selected, select_server(state, call, excluded));
                return std::optional(selected);
            },
            [&](base::error const& failure)
            {
                selection_error = failure;
                return std::optional<selected_server>();
            });
        if (!server)
            return excluded.empty()
                       ? make_failure(claims::dispatch_status::not_sent, selection_error)
                       : result;
        result = send_to(*server, call, response_deadline);
        bool const responded = result.status == claims::dispatch_status::responded;
        state.finish(server->ticket,
                     responded ? attempt_outcome::completed : attempt_outcome::failed);
        if (result.status != claims::dispatch_status::not_sent ||
            decision::retry_action_for(
                configuration::work_kind::action, decision::attempt_failure::not_connected,
                decision::delivery_progress::nothing_delivered) != decision::retry_action::rerun)
            return result;
        excluded.insert(server->name);
    }
    return result;
}

non_idempotent_calls::non_idempotent_calls(entry_state& state,
                                           serving::process_shutdown const& shutdown,
                                           std::string node_id,
                                           store::http_object_store_settings const& platform)
    : m_state(state), m_shutdown(shutdown), m_node_id(std::move(node_id)), m_store(platform),
      m_peers(state), m_claimant(m_store, m_peers, m_clock, {m_node_id}),
      m_sweep(m_store, m_clock, {m_node_id}),
      m_retry_thread(retry_interval, [this] { m_claimant.retry_pending_writes(); }),
      m_sweep_thread(sweep_interval, [this] { sweep(); })
{
}

claims::execution_result non_idempotent_calls::execute(plain_call const& call)
{
    // The thread outlives the caller's deadline if the service is slow. The size of the claim table
    // limits the number of such threads. If none can be started, the caller may wait past its
    // deadline, but the claim gets an outcome.
    auto const result = run_detached(m_shutdown, call.deadline, [this, call] { return run(call); });
    return result.value_or(
        base::error{error_kind::in_progress, "the service has not responded yet"});
}

claims::execution_result non_idempotent_calls::run(plain_call const& call)
{
    auto acquisition = m_claimant.acquire_claim(
        {claims::claim_name(call.customer, call.service, call.idempotency_key), request_hash(call),
         call.deadline});
    if (auto* result = std::get_if<claims::execution_result>(&acquisition))
        return *result;
    return m_claimant.execute(std::get<claims::owned_claim>(acquisition),
                              [&] {
                                  return send_once(m_state, call,
                                                   base::steady_clock_source{}.now() +
                                                       service_response_timeout);
                              });
}

void non_idempotent_calls::sweep()
{
    auto const snapshot = m_state.snapshot();
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (auto const& [name, node] : snapshot->nodes)
        ranked.emplace_back(base::rendezvous_weight("claim-sweep", name), name);
    std::sort(ranked.rbegin(), ranked.rend());
    for (std::size_t i = 0; i < std::min(sweeping_node_count, ranked.size()); ++i)
        if (ranked[i].second == m_node_id)
            m_sweep.sweep_if_due();
}

} // namespace jasminepier::entry
