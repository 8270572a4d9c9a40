#include "services/node/rollout_agent.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "platform/objects.hpp"
#include "platform/rollouts.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/object_updates.hpp"
#include "services/node/store_watcher.hpp"
#include "store/object_version.hpp"

#include <algorithm>

namespace jasminepier::node
{
namespace
{

// Time before another write: a failed one may take effect late.
constexpr base::milliseconds write_retry_delay{1000};
// Reports overtake the orders that followers of the store relay.
constexpr base::milliseconds missed_order_delay{1000};
constexpr base::milliseconds missed_order_interval{5000};
// Time that each node has for a write before the next one tries. Writes are conditional, so two at
// once do no harm.
constexpr base::milliseconds write_turn{2000};

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<base::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::optional<serving::rollout_order> read_rollout(store::object const& object)
{
    return base::handle(
        [&]() -> base::result<std::optional<serving::rollout_order>>
        {
            BOOST_LEAF_AUTO(order, platform::parse_rollout(object));
            return std::optional(std::move(order));
        },
        [&](base::error const& failure) -> std::optional<serving::rollout_order>
        {
            base::log_line(base::log_level::warning, "object_unreadable")
                .field("kind", object.kind)
                .field("name", object.name)
                .field("revision", store::format_version(object.version))
                .field("reason", failure.message);
            return std::nullopt;
        });
}

void log_step(serving::rollout_step const& step)
{
    base::log_line line(step.reason.empty() ? base::log_level::info : base::log_level::warning,
                        "rollout_step");
    line.field("service", step.service)
        .field("to", step.target)
        .field("stage", serving::to_string(step.stage))
        .field("reason", step.reason)
        .field("age_ms", step.age.count())
        .field("share", step.share)
        .field("new_sent", step.sums.target.sent)
        .field("new_answers", step.sums.target.answers)
        .field("new_failures", step.sums.target.failures)
        .field("new_slow", step.sums.target.slow)
        .field("old_sent", step.sums.others.sent)
        .field("old_answers", step.sums.others.answers)
        .field("old_failures", step.sums.others.failures)
        .field("old_slow", step.sums.others.slow);
    if (step.finding)
        line.field("route", step.route)
            .field("span_ms", step.finding->span.count())
            .field("route_new_answers", step.finding->target_answers)
            .field("route_new_bad", step.finding->target_bad)
            .field("route_old_answers", step.finding->other_answers)
            .field("route_old_bad", step.finding->other_bad);
}

} // namespace

void apply_rollout_changes(node_state& state, store::object_page const& page)
{
    auto const now = base::steady_clock_source{}.now();
    for (auto const& object : page.objects)
    {
        auto const order = object.deleted ? std::nullopt : read_rollout(object);
        // An earlier order stays in force.
        if (!object.deleted && !order)
            continue;
        std::size_t servers = 0;
        bool service_known = false;
        state.with(
            [&](node_state::tables& tables)
            {
                if (!order)
                {
                    tables.dispatcher.rollouts().remove_order(object.name, object.version);
                    return;
                }
                tables.dispatcher.apply_rollout(*order, now, unix_milliseconds());
                service_known = !tables.configuration ||
                                tables.configuration->find_service(order->service) != nullptr;
                for (auto const& [id, server] : tables.dispatcher.directory().servers())
                    servers += server.entry.service == order->service &&
                                       server.entry.version == order->target
                                   ? 1
                                   : 0;
            });
        if (!order)
        {
            base::log_line(base::log_level::info, "rollout_removed").field("service", object.name);
            continue;
        }
        base::log_line(service_known ? base::log_level::info : base::log_level::warning,
                       "rollout_order")
            .field("service", order->service)
            .field("to", order->target)
            .field("duration_ms", order->duration.count())
            .field("state", order->written ? serving::to_string(*order->written) : "ordered")
            .field("known_service", service_known ? 1 : 0)
            .field("servers", servers)
            .field("revision", store::format_version(object.version));
    }
}

rollout_agent::rollout_agent(node_state& state)
    : m_state(state), m_store(make_store_client_settings(state)),
      m_thread(interval, [this] { advance(); }), m_store_thread(interval, [this] { call_store(); })
{
}

void rollout_agent::advance()
{
    auto const now = base::steady_clock_source{}.now();
    auto const steps = m_state.with(
        [&](node_state::tables& tables)
        {
            auto changes = tables.dispatcher.advance_rollouts(now);
            if (!changes.empty())
            {
                tables.dispatcher.notify_leaving();
                notify_waiting_requests(tables);
            }
            return changes;
        });
    for (auto const& step : steps)
    {
        log_step(step);
        observe_event("rollout", serving::to_string(step.stage));
    }
    if (!steps.empty())
        m_state.report_due().signal();
    count_versions();
}

void rollout_agent::call_store()
{
    read_missed_orders();
    write_states();
}

void rollout_agent::count_versions()
{
    auto const counts = m_state.with([](node_state::tables& tables)
                                     { return tables.dispatcher.rollouts().take_own_counts(); });
    for (auto const& [service, sums] : counts)
        for (auto const& [role, version] : {std::pair("new", sums.target), {"old", sums.others}})
            for (auto const& [result, count] : {std::pair("sent", version.sent),
                                                {"answered", version.answers},
                                                {"failed", version.failures},
                                                {"slow", version.slow}})
                if (count > 0)
                    observe_version(service, role, result, static_cast<std::uint64_t>(count));
}

bool rollout_agent::decides(std::uint64_t order, base::time_point pending_since,
                            base::time_point now)
{
    return m_state.with(
        [&](node_state::tables& tables)
        {
            if (tables.store_call_failed)
                return false;
            auto const key = std::to_string(order);
            auto const weight = base::rendezvous_weight(key, tables.nodes.self().name);
            auto const peers = tables.nodes.peers_reaching_store(now);
            auto const ahead =
                std::count_if(peers.begin(), peers.end(),
                              [&](auto const& peer)
                              { return base::rendezvous_weight(key, peer.name) >= weight; });
            return now >= pending_since + ahead * write_turn;
        });
}

void rollout_agent::write_states()
{
    auto const started = base::steady_clock_source{}.now();
    auto const writes =
        m_state.with([&](node_state::tables& tables)
                     { return tables.dispatcher.rollouts().pending_writes(started); });
    std::map<std::uint64_t, pending_state> pending;
    for (auto const& write : writes)
    {
        auto const known = m_pending.find(write.order);
        bool const is_same = known != m_pending.end() && known->second.state == write.state;
        pending[write.order] = {write.state, is_same ? known->second.since : started};
    }
    m_pending = std::move(pending);
    if (started < m_next_write)
        return;
    for (auto const& write : writes)
    {
        if (!decides(write.order, m_pending[write.order].since, started))
            continue;
        store::object changed;
        changed.kind = platform::rollout_kind;
        changed.name = write.service;
        changed.value = platform::write_rollout_status(write, unix_milliseconds());
        changed.version = m_state.with(
            [&](node_state::tables& tables)
            {
                auto const* const order = tables.dispatcher.rollouts().find_order(write.service);
                return order == nullptr ? 0 : order->revision;
            });
        if (changed.version == 0)
            continue;
        auto const result = m_store.update_status(changed);
        bool const applied = result.status == store::write_status::applied;
        observe_event("rollout_write", applied ? "applied" : "failed");
        base::log_line(base::log_level::info, "rollout_written")
            .field("service", write.service)
            .field("to", write.target)
            .field("state", serving::to_string(write.state))
            .field("applied", applied ? 1 : 0)
            .field("conflict", result.status == store::write_status::conflict ? 1 : 0)
            .field("age_ms", write.age.count());
        m_next_write = base::steady_clock_source{}.now() + write_retry_delay;
        // Also after a conflict: the object is the stored one.
        if (applied || result.status == store::write_status::conflict)
        {
            auto current = result.current;
            current.name = write.service;
            apply_changes(m_state, current.kind, {current.version, {current}});
        }
    }
}

void rollout_agent::read_missed_orders()
{
    auto const now = base::steady_clock_source{}.now();
    auto const unknown_since =
        m_state.with([](node_state::tables& tables)
                     { return tables.dispatcher.rollouts().unknown_order_since(); });
    if (!unknown_since || now < *unknown_since + missed_order_delay || now < m_next_read)
        return;
    m_next_read = now + missed_order_interval;
    bool was_read = false;
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(page, m_store.list(platform::rollout_kind));
            apply_list(m_state, platform::rollout_kind, std::move(page));
            was_read = true;
            return {};
        },
        [](base::error const& failure) {
            base::log_line(base::log_level::info, "rollouts_not_read")
                .field("reason", failure.message);
        });
    m_state.with([&](node_state::tables& tables)
                 { tables.dispatcher.rollouts().forget_unknown_orders(now, was_read); });
}

} // namespace jasminepier::node
