#include "decision/decision_core.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::decision
{

decision_core::decision_core(core_settings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed),
      m_servers(m_settings.node, m_settings.switches),
      m_router(m_servers, m_settings.switches, m_settings.zone)
{
}

std::uint32_t decision_core::intern(std::unordered_map<std::string, std::uint32_t>& ids,
                                    std::string const& name)
{
    return ids.try_emplace(name, static_cast<std::uint32_t>(ids.size() + 1)).first->second;
}

std::uint32_t decision_core::find_or_add_pool(std::string const& service, std::string const& model)
{
    auto const [found, added] = m_pool_ids.try_emplace(std::pair{service, model},
                                                       static_cast<std::uint32_t>(m_pools.size()));
    if (added)
    {
        auto& pool = m_pools.emplace_back();
        pool.service = service;
        pool.model = model;
        pool.queue.set_fair_queuing(m_settings.switches.fair_queuing == toggle::on);
        update_pool_servers(pool);
    }
    return found->second;
}

void decision_core::update_pool_servers(pool_state& pool)
{
    std::vector<std::uint32_t> members;
    for (std::uint32_t index = 0; index < m_servers.size(); ++index)
        if (m_servers.at(index).listed && m_servers.at(index).service == pool.service)
            members.push_back(index);
    pool.servers.assign(std::move(members), m_servers);
}

void decision_core::apply_configuration(configuration::snapshot const& snapshot,
                                        base::time_point now)
{
    m_preset = snapshot.active_preset;
    m_weights.clear();
    for (auto const& [name, customer] : snapshot.customers)
        m_weights[name] = customer.weight;
    m_servers.apply_configuration(snapshot, now);
    auto const self = snapshot.nodes.find(m_settings.node);
    if (self != snapshot.nodes.end())
        m_settings.zone = self->second.zone;
    auto const zone = snapshot.zones.find(m_settings.zone);
    m_router.set_location(m_settings.zone, zone == snapshot.zones.end() ? "" : zone->second.region);
    for (auto& pool : m_pools)
        update_pool_servers(pool);
}

void decision_core::apply_report(std::string_view server, reported_load load,
                                 base::time_point measured_at, base::time_point now)
{
    if (auto const index = m_servers.apply_report(server, std::move(load), measured_at, now))
        subtract_local_load(*index);
}

void decision_core::subtract_local_load(std::uint32_t index)
{
    auto& server = m_servers.at(index);
    double reported_local_kv_tokens = 0;
    int reported_local_count = 0;
    double mean_kv_tokens = 0;
    server.local_unreported_demand = {};
    for (auto const generation_index : server.generations)
    {
        auto const& active = m_generations[generation_index];
        mean_kv_tokens = m_pools[active.pool].profile.mean_kv_tokens;
        if (active.dispatched_at >= server.measured_at)
        {
            server.local_unreported_demand += active.predicted;
            continue;
        }
        reported_local_kv_tokens +=
            static_cast<double>(active.prompt_tokens + active.produced_tokens);
        ++reported_local_count;
    }
    server.local_unreported = static_cast<int>(server.generations.size()) - reported_local_count;
    server.peer_running =
        std::max(0, server.load.running + server.load.waiting - reported_local_count);
    double const reported = static_cast<double>(server.load.kv_used_tokens) +
                            static_cast<double>(server.load.waiting) * mean_kv_tokens;
    server.peer_kv_tokens =
        server.peer_running == 0 ? 0 : std::max(0.0, reported - reported_local_kv_tokens);
}

void decision_core::record_cache_event(std::string_view server, std::uint64_t prefix_hash,
                                       bool stored)
{
    auto const index = m_servers.find(server);
    if (!index)
        return;
    for (auto& pool : m_pools)
        if (pool.service == m_servers.at(*index).service)
            pool.servers.record_prefix(prefix_hash, *index, stored);
}

void decision_core::mark_server_lost(std::string_view server, base::time_point now)
{
    if (auto const index = m_servers.find(server))
        m_servers.at(*index).lost_at = now;
}

void decision_core::update_service_rates(pool_state& pool, double elapsed)
{
    // The dispatches of a single node vary a lot from second to second. A weight of 1/20 averages
    // over about 20 s.
    constexpr double minimum_weight = 0.05;
    for (std::size_t kind = 0; kind < pool.service_rate.size(); ++kind)
    {
        bool const has_backlog = pool.queue.size(static_cast<configuration::work_kind>(kind)) > 0;
        auto& updates = pool.backlog_updates[kind];
        updates = has_backlog && pool.backlogged[kind] ? updates + 1 : 0;
        auto& rate = pool.service_rate[kind];
        double const measured = pool.dispatched_cost[kind] / elapsed;
        if (updates == 0)
            rate = 0;
        else
            rate += std::max(minimum_weight, 1.0 / updates) * (measured - rate);
        pool.backlogged[kind] = has_backlog;
        pool.dispatched_cost[kind] = 0;
    }
}

void decision_core::update_profile(pool_state& pool, base::time_point now)
{
    double const elapsed = std::chrono::duration<double>(now - pool.updated_at).count();
    if (elapsed < 1)
        return;
    pool.updated_at = now;
    // Exponential smoothing over a few seconds evens out the noise of nodes with little traffic.
    constexpr double smoothing_factor = 0.3;
    pool.dispatched_demand_rate.scale(1 - smoothing_factor);
    pool.dispatched_demand_rate.add_scaled(pool.dispatched_demand, smoothing_factor / elapsed);
    pool.dispatched_demand = {};
    update_service_rates(pool, elapsed);
    auto& profile = pool.profile;
    if (pool.local_generation_count >= 4)
        for (std::size_t i = 0; i < horizons.size(); ++i)
        {
            profile.ratio[i] +=
                smoothing_factor *
                (pool.local_demand.mean[i] / pool.local_demand.mean[0] - profile.ratio[i]);
            profile.variance[i] +=
                smoothing_factor *
                (pool.local_demand.variance[i] / pool.local_generation_count - profile.variance[i]);
        }
    if (pool.local_generation_count >= 1)
        profile.mean_kv_tokens +=
            smoothing_factor *
            (pool.local_demand.mean[0] / pool.local_generation_count - profile.mean_kv_tokens);
    // Assumes that peers dispatch at this node's rate, scaled by the number of generations they
    // run.
    constexpr std::size_t maximum_servers_read = 64;
    double peer_total = 0;
    double local_total = 0;
    auto const& members = pool.servers.servers();
    for (std::size_t i = 0; i < std::min(members.size(), maximum_servers_read); ++i)
    {
        peer_total += m_servers.at(members[i]).peer_running;
        local_total += m_servers.at(members[i]).local_running;
    }
    profile.peer_ratio +=
        smoothing_factor * (peer_total / std::max(1.0, local_total) - profile.peer_ratio);
    profile.peer_rate = pool.dispatched_demand_rate;
    if (!members.empty())
        profile.peer_rate.scale(profile.peer_ratio / static_cast<double>(members.size()));
}

double decision_core::fill_limit(pool_state const& pool, configuration::work_kind kind) const
{
    double limit = m_preset.fill_limit;
    if (m_settings.switches.reserves == toggle::off)
        return limit;
    // Only the unused part of another kind's reserve has to stay free.
    for (std::size_t other = 0; other < pool.local_demand_by_kind.size(); ++other)
    {
        if (other == static_cast<std::size_t>(kind))
            continue;
        double const used = pool.local_demand.mean[0] > 0
                                ? m_preset.fill_limit * pool.local_demand_by_kind[other] /
                                      std::max(1.0, pool.local_demand.mean[0])
                                : 0;
        limit -= std::max(0.0, m_preset.kinds[other].reserved_share - used);
    }
    return limit;
}

demand decision_core::predict_generation(length_key const& key, std::int64_t prompt_tokens,
                                         std::int64_t produced_tokens,
                                         std::int64_t output_limit) const
{
    return predict_demand(m_lengths.distribution(key), prompt_tokens + produced_tokens,
                          produced_tokens, output_limit);
}

std::uint64_t decision_core::submit(submission const& request, base::time_point now)
{
    auto const ticket = m_next_ticket++;
    auto const pool_index = find_or_add_pool(request.service, request.model);
    auto& pool = m_pools[pool_index];
    if (pool.servers.servers().empty())
        return refuse(ticket, base::error_kind::no_server, 2, "no_server_listed");
    auto const& limits = m_preset.limits(request.kind);
    waiting_request waiting;
    waiting.pool = pool_index;
    waiting.key = {intern(m_customer_ids, request.customer), intern(m_model_ids, request.model),
                   request.kind};
    waiting.prompt_tokens = request.prompt_tokens;
    waiting.output_limit = m_preset.maximum_output_tokens;
    if (request.maximum_tokens > 0)
        waiting.output_limit = std::min(waiting.output_limit, request.maximum_tokens);
    waiting.prefix_hash = request.prefix_hash;
    for (auto const& name : request.excluded)
        if (auto const index = m_servers.find(name))
            waiting.excluded.push_back(*index);
    waiting.submitted_at = now;
    base::milliseconds maximum_wait(limits.maximum_wait_milliseconds);
    if (request.maximum_wait.count() > 0)
        maximum_wait = std::min(maximum_wait, request.maximum_wait);
    waiting.deadline = now + maximum_wait;
    auto const weight = m_weights.find(request.customer);
    double const output = std::min(static_cast<double>(waiting.output_limit),
                                   m_lengths.distribution(waiting.key).remaining(0).mean);
    queued_request entry{ticket,
                         waiting.key.customer,
                         request.kind,
                         weight == m_weights.end() ? 1 : weight->second,
                         static_cast<double>(request.prompt_tokens) + output,
                         waiting.deadline};
    if (m_settings.switches.early_refusal == toggle::on && try_refuse_early(pool, entry, now))
        return ticket;
    m_waiting.emplace(ticket, std::move(waiting));
    auto const evicted = pool.queue.push(entry, static_cast<std::size_t>(limits.maximum_queued));
    if (evicted)
    {
        m_waiting.erase(*evicted);
        refuse(*evicted, base::error_kind::overloaded, 2, "queue_full");
    }
    return ticket;
}

bool decision_core::try_refuse_early(pool_state const& pool, queued_request const& entry,
                                     base::time_point now)
{
    constexpr int minimum_backlog_updates = 5;
    auto const kind = static_cast<std::size_t>(entry.kind);
    auto const rate = pool.service_rate[kind];
    if (rate <= 0 || pool.backlog_updates[kind] < minimum_backlog_updates)
        return false;
    double const predicted_wait =
        pool.queue.cost_ahead(entry.kind, entry.customer, entry.weight) / rate;
    double const available_seconds = std::chrono::duration<double>(entry.deadline - now).count();
    if (predicted_wait <= available_seconds)
        return false;
    constexpr double maximum_retry_after_seconds = 60;
    refuse(entry.ticket, base::error_kind::overloaded,
           static_cast<int>(std::clamp(std::ceil(predicted_wait - available_seconds), 1.0,
                                       maximum_retry_after_seconds)),
           "predicted_wait_exceeds_deadline");
    return true;
}

std::uint64_t decision_core::refuse(std::uint64_t ticket, base::error_kind kind, int retry_after,
                                    std::string_view reason)
{
    decision_result result;
    result.ticket = ticket;
    result.refusal = kind;
    result.retry_after_seconds = retry_after;
    result.reason = reason;
    m_pending_refusals.push_back(std::move(result));
    return ticket;
}

bool decision_core::cancel_waiting(std::uint64_t ticket)
{
    auto const found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return false;
    m_pools[found->second.pool].queue.remove(ticket);
    m_waiting.erase(found);
    return true;
}

std::size_t decision_core::queued() const
{
    return m_waiting.size();
}

void decision_core::poll(base::time_point now, std::vector<decision_result>& decisions)
{
    for (std::uint32_t index = 0; index < m_pools.size(); ++index)
    {
        update_profile(m_pools[index], now);
        if (m_pools[index].queue.size() > 0)
            poll_pool(index, now, decisions);
    }
    for (auto& refusal : m_pending_refusals)
        decisions.push_back(std::move(refusal));
    m_pending_refusals.clear();
}

void decision_core::poll_pool(std::uint32_t index, base::time_point now,
                              std::vector<decision_result>& decisions)
{
    auto& pool = m_pools[index];
    expire_requests(pool, now, decisions);
    std::array<configuration::work_kind, configuration::work_kind_count> kinds{};
    for (std::size_t i = 0; i < kinds.size(); ++i)
        kinds[i] = static_cast<configuration::work_kind>(i);
    std::stable_sort(kinds.begin(), kinds.end(),
                     [&](auto left, auto right)
                     { return m_preset.limits(left).rank < m_preset.limits(right).rank; });
    // A kind that waits for memory blocks all kinds of lower priority. They would otherwise take
    // the memory as soon as it becomes free.
    int blocked_rank = 1000;
    for (auto const kind : kinds)
    {
        if (m_preset.limits(kind).rank > blocked_rank)
            break;
        while (pool.queue.front(kind) != nullptr)
            if (!try_dispatch_front(pool, kind, now, decisions))
            {
                blocked_rank = m_preset.limits(kind).rank;
                break;
            }
    }
}

void decision_core::expire_requests(pool_state& pool, base::time_point now,
                                    std::vector<decision_result>& decisions)
{
    for (auto const ticket : pool.queue.expire(now))
    {
        auto const found = m_waiting.find(ticket);
        auto const last_reason = found->second.last_exclusion_reason;
        bool const no_server = last_reason == exclusion_reason::zone_out ||
                               last_reason == exclusion_reason::leaving ||
                               last_reason == exclusion_reason::unreachable ||
                               last_reason == exclusion_reason::other_model;
        decision_result result;
        result.ticket = ticket;
        result.refusal =
            no_server ? base::error_kind::no_server : base::error_kind::deadline_exceeded;
        result.retry_after_seconds = base::error_response_for(result.refusal).retry_after_seconds;
        result.reason = no_server ? to_string(last_reason) : "deadline_passed_in_queue";
        result.waited =
            std::chrono::duration_cast<base::milliseconds>(now - found->second.submitted_at);
        decisions.push_back(std::move(result));
        m_waiting.erase(found);
    }
}

bool decision_core::examined_all_servers(pool_state const& pool,
                                         waiting_request const& request) const
{
    return m_candidates.size() + request.excluded.size() >= pool.servers.servers().size();
}

bool decision_core::try_dispatch_front(pool_state& pool, configuration::work_kind kind,
                                       base::time_point now,
                                       std::vector<decision_result>& decisions)
{
    auto const ticket = pool.queue.front(kind)->ticket;
    auto const found = m_waiting.find(ticket);
    auto& request = found->second;
    auto const request_demand =
        predict_generation(request.key, request.prompt_tokens, 0, request.output_limit);
    route_query const query{pool.model,         request_demand,         request.prefix_hash,
                            request.excluded,   fill_limit(pool, kind), m_preset.margin_deviations,
                            m_preset.candidates};
    auto const selected =
        m_router.select(pool.servers, pool.profile, query, now, m_random, m_candidates);
    if (!selected)
    {
        request.last_exclusion_reason =
            m_candidates.empty() ? exclusion_reason::unreachable : m_candidates.front().reason;
        for (auto const& option : m_candidates)
            if (option.reason >= exclusion_reason::cold_full)
                request.last_exclusion_reason = option.reason;
        if (request.last_exclusion_reason >= exclusion_reason::cold_full ||
            !examined_all_servers(pool, request))
            return false;
        // Waiting can't help because every server is unavailable. A retry by the caller or another
        // entry node may succeed.
        pool.queue.remove(ticket);
        refuse(ticket, base::error_kind::no_server, 2, to_string(request.last_exclusion_reason));
        m_waiting.erase(found);
        return true;
    }
    decision_result result;
    result.ticket = ticket;
    result.outcome = decision_outcome::dispatched;
    result.server = *selected;
    result.priority = m_preset.limits(kind).rank;
    result.reason = "lowest_score";
    result.waited = std::chrono::duration_cast<base::milliseconds>(now - request.submitted_at);
    result.candidates = m_candidates;
    decisions.push_back(std::move(result));
    start_generation(ticket, request, *selected, request_demand, now);
    pool.dispatched_cost[static_cast<std::size_t>(kind)] += pool.queue.front(kind)->cost;
    pool.queue.pop(kind);
    if (pool.queue.size(kind) == 0)
        pool.backlogged[static_cast<std::size_t>(kind)] = false;
    m_waiting.erase(found);
    return true;
}

} // namespace jasminepier::decision
