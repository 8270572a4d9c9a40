#include "services/entry/entry_state.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "services/entry/entry_metrics.hpp"

#include <cstdio>

namespace jasminepier::entry
{

namespace
{

/// Interval at which the core is polled for waiting requests if nothing else triggers it.
constexpr base::milliseconds poll_interval{20};

decision::reported_state to_reported_state(std::int32_t state)
{
    switch (state)
    {
    case 0:
        return decision::reported_state::cold;
    case 1:
        return decision::reported_state::warm;
    case 2:
        return decision::reported_state::leaving;
    default:
        return decision::reported_state::unreachable;
    }
}

decision::generation_outcome to_generation_outcome(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::completed:
        return decision::generation_outcome::completed;
    case attempt_outcome::cancelled:
        return decision::generation_outcome::cancelled;
    case attempt_outcome::failed:
        break;
    }
    return decision::generation_outcome::failed;
}

/// Formats the candidates as server:occupancy:score:exclusion-reason, separated by commas.
std::string describe(std::vector<decision::candidate> const& candidates,
                     decision::server_table const& servers)
{
    std::string text;
    for (auto const& candidate : candidates)
    {
        char scores[48];
        std::snprintf(scores, sizeof scores, ":%.3f:%.3f:", candidate.occupancy, candidate.score);
        text += (text.empty() ? "" : ",") + servers.at(candidate.server).name + scores;
        text += to_string(candidate.reason);
    }
    return text;
}

} // namespace

entry_state::entry_state(std::string node, serving::process_shutdown const& shutdown)
    : m_shutdown(shutdown),
      m_core(decision::core_settings{std::move(node), "", base::stable_hash(base::random_id()), {}})
{
}

void entry_state::apply(inner_protocol::control_update const& update)
{
    std::lock_guard lock(m_mutex);
    auto const objects = inner_protocol::from_thrift(update.objects);
    if (m_store.merge(objects))
    {
        m_snapshot = configuration::build_snapshot(m_store, m_snapshot.get());
        m_core.apply_configuration(*m_snapshot, m_clock.now());
    }
    for (auto const& digest : update.loads)
        apply_load(digest);
    m_load_sequence = update.load_sequence;
    m_ready = update.ready;
    poll_core();
}

void entry_state::apply_load(inner_protocol::load_digest const& digest)
{
    m_loads[digest.server_id] = digest;
    decision::reported_load load;
    load.instance = digest.instance;
    load.state = to_reported_state(digest.state);
    load.running = digest.running;
    load.waiting = digest.waiting;
    load.kv_used_tokens = digest.kv_used_tokens;
    load.kv_capacity_tokens = digest.kv_capacity_tokens;
    load.cold_capacity = digest.cold_capacity;
    load.max_running = digest.max_running;
    load.models = digest.models;
    auto const now = m_clock.now();
    m_core.apply_report(digest.server_id, std::move(load),
                        now - base::milliseconds(digest.age_milliseconds), now);
}

configuration::snapshot_ptr entry_state::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

std::int64_t entry_state::load_sequence() const
{
    std::lock_guard lock(m_mutex);
    return m_load_sequence;
}

bool entry_state::ready() const
{
    std::lock_guard lock(m_mutex);
    return m_ready;
}

base::result<selected_server> entry_state::acquire(acquire_request const& request)
{
    std::unique_lock lock(m_mutex);
    BOOST_LEAF_CHECK(m_shutdown.check_start(request.deadline));
    decision::submission submitted;
    submitted.service = request.service;
    submitted.model = request.model;
    submitted.customer = request.customer;
    submitted.kind = request.kind;
    submitted.prompt_tokens = request.prompt_tokens;
    submitted.maximum_tokens = request.maximum_tokens;
    submitted.prefix_hash = request.prefix_hash;
    submitted.maximum_wait = request.maximum_wait;
    submitted.excluded.assign(request.excluded.begin(), request.excluded.end());
    waiter waiting;
    waiting.deadline = request.deadline;
    auto const ticket = m_core.submit(submitted, m_clock.now());
    m_waiters.emplace(ticket, &waiting);
    poll_core();
    wait_for_decision(lock, waiting);
    auto selected = resolve_decision(request, *waiting.result);
    if (!selected)
        m_core.finish(ticket, decision::generation_outcome::cancelled, m_clock.now());
    return selected;
}

void entry_state::reject_waiters_at_shutdown()
{
    if (m_waiters_checked || !m_shutdown.begun())
        return;
    m_waiters_checked = true;
    for (auto const& [ticket, waiting] : m_waiters)
    {
        // A request that the core no longer queues has a decision.
        if (m_shutdown.admission().admits(waiting->deadline) || !m_core.cancel_waiting(ticket))
            continue;
        decision::decision_result rejected;
        rejected.ticket = ticket;
        rejected.refusal = base::error_kind::node_stopping;
        rejected.retry_after_seconds =
            base::error_response_for(rejected.refusal).retry_after_seconds;
        rejected.reason = base::to_string(rejected.refusal);
        m_decisions.push_back(std::move(rejected));
    }
}

void entry_state::poll_core()
{
    m_decisions.clear();
    reject_waiters_at_shutdown();
    m_core.poll(m_clock.now(), m_decisions);
    for (auto& decided : m_decisions)
    {
        auto const found = m_waiters.find(decided.ticket);
        if (found == m_waiters.end())
            continue;
        found->second->result = std::move(decided);
        found->second->decision_ready.notify_one();
        m_waiters.erase(found);
    }
}

void entry_state::wait_for_decision(std::unique_lock<table_mutex>& lock, waiter& waiting)
{
    while (!waiting.result)
    {
        if (m_poller_active)
        {
            waiting.decision_ready.wait(lock);
            continue;
        }
        m_poller_active = true;
        waiting.decision_ready.wait_for(lock, poll_interval);
        m_poller_active = false;
        poll_core();
    }
    // The next waiter continues polling.
    if (!m_poller_active && !m_waiters.empty())
        m_waiters.begin()->second->decision_ready.notify_one();
}

base::result<selected_server>
entry_state::resolve_decision(acquire_request const& request,
                              decision::decision_result const& decided) const
{
    bool const dispatched = decided.outcome == decision::decision_outcome::dispatched;
    base::log_line line(base::log_level::info, dispatched ? "route" : "refuse");
    line.field("request_id", request.request_id)
        .field("service", request.service)
        .field("model", request.model)
        .field("customer", request.customer)
        .field("kind", to_string(request.kind))
        .field("waited_milliseconds", decided.waited.count())
        .field("candidates", describe(decided.candidates, m_core.servers()))
        .field("reason", decided.reason);
    if (!dispatched)
    {
        line.field("error", to_string(decided.refusal))
            .field("retry_after_seconds", decided.retry_after_seconds);
        return base::fail(decided.refusal, "no server can accept the request now (" +
                                               std::string(decided.reason) + "); retry after " +
                                               std::to_string(decided.retry_after_seconds) + " s");
    }
    auto const& name = m_core.servers().at(decided.server).name;
    auto const found = m_snapshot->servers.find(name);
    if (found == m_snapshot->servers.end())
        return base::fail(base::error_kind::no_server, "server " + name + " has been removed");
    line.field("server", name).field("zone", found->second.zone);
    observe_route({request.service, name, found->second.zone, std::string(decided.reason),
                   static_cast<int>(decided.candidates.size()), request.request_id});
    return selected_server{name, found->second.host, found->second.port, decided.ticket,
                           decided.priority};
}

void entry_state::record_tokens(std::uint64_t ticket, std::int64_t count)
{
    std::lock_guard lock(m_mutex);
    m_core.record_tokens(ticket, count, m_clock.now());
}

void entry_state::finish(std::uint64_t ticket, attempt_outcome outcome)
{
    std::lock_guard lock(m_mutex);
    m_core.finish(ticket, to_generation_outcome(outcome), m_clock.now());
    poll_core();
}

void entry_state::mark_server_lost(std::string const& server)
{
    std::lock_guard lock(m_mutex);
    m_core.mark_server_lost(server, m_clock.now());
}

std::optional<inner_protocol::load_digest> entry_state::load(std::string const& server) const
{
    std::lock_guard lock(m_mutex);
    auto const found = m_loads.find(server);
    return found == m_loads.end() ? std::nullopt : std::optional(found->second);
}

} // namespace jasminepier::entry
