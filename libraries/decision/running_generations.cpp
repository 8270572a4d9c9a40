/// Tracking of running generations in the decision core.
#include "decision/decision_core.hpp"

#include <algorithm>

namespace jasminepier::decision
{

void decision_core::start_generation(std::uint64_t ticket, waiting_request const& request,
                                     std::uint32_t server_index, demand const& predicted,
                                     base::time_point now)
{
    std::uint32_t index = 0;
    if (m_free_indexes.empty())
    {
        index = static_cast<std::uint32_t>(m_generations.size());
        m_generations.emplace_back();
    }
    else
    {
        index = m_free_indexes.back();
        m_free_indexes.pop_back();
    }
    auto& server = m_servers.at(server_index);
    auto& pool = m_pools[request.pool];
    generation active;
    active.ticket = ticket;
    active.pool = request.pool;
    active.server = server_index;
    active.index_on_server = static_cast<std::uint32_t>(server.generations.size());
    active.key = request.key;
    active.prompt_tokens = request.prompt_tokens;
    active.output_limit = request.output_limit;
    active.predicted = predicted;
    active.dispatched_at = now;
    active.last_token_at = now;
    m_generations[index] = active;
    server.generations.push_back(index);
    ++server.local_running;
    ++server.local_unreported;
    ++pool.local_generation_count;
    add_demand(active, 1);
    pool.dispatched_demand += predicted;
    m_running.emplace(ticket, index);
    if (request.prefix_hash != 0)
        pool.servers.record_prefix(request.prefix_hash, server_index, true);
}

void decision_core::add_demand(generation const& active, double sign)
{
    auto& pool = m_pools[active.pool];
    auto& server = m_servers.at(active.server);
    server.local_demand.add_scaled(active.predicted, sign);
    if (active.dispatched_at >= server.measured_at)
        server.local_unreported_demand.add_scaled(active.predicted, sign);
    pool.local_demand.add_scaled(active.predicted, sign);
    pool.local_demand_by_kind[static_cast<std::size_t>(active.key.kind)] +=
        sign * active.predicted.mean[0];
}

void decision_core::refresh_prediction(generation& active)
{
    add_demand(active, -1);
    active.predicted = predict_generation(active.key, active.prompt_tokens, active.produced_tokens,
                                          active.output_limit);
    add_demand(active, 1);
    // The prediction of a long generation changes slowly, so the refresh interval grows with it.
    active.next_refresh_tokens =
        active.produced_tokens + std::max<std::int64_t>(16, active.produced_tokens / 16);
}

void decision_core::record_tokens(std::uint64_t ticket, std::int64_t count, base::time_point now)
{
    auto const found = m_running.find(ticket);
    if (found == m_running.end() || count <= 0)
        return;
    auto& active = m_generations[found->second];
    record_token_interval(active, count, now);
    active.produced_tokens += count;
    active.last_token_at = now;
    if (active.produced_tokens >= active.next_refresh_tokens)
        refresh_prediction(active);
}

void decision_core::record_token_interval(generation& active, std::int64_t count,
                                          base::time_point now)
{
    auto& server = m_servers.at(active.server);
    double const interval =
        std::chrono::duration<double, std::milli>(now - active.last_token_at).count() /
        static_cast<double>(count);
    bool slow = false;
    if (active.produced_tokens == 0)
    {
        slow = interval > slow_factor_of_target * first_token_target_milliseconds;
        if (!slow && server.cold.record_success(server.batch_slots()))
            m_servers.assign_slots(server, now);
    }
    else
    {
        // The mean is 0 until the first interval; then only the latency target applies.
        bool const far_above_mean = server.mean_token_interval > 0 &&
                                    interval > slow_factor_of_mean * server.mean_token_interval;
        slow =
            interval > slow_factor_of_target * between_token_target_milliseconds || far_above_mean;
        if (!slow)
            server.mean_token_interval +=
                (interval - server.mean_token_interval) / (server.mean_token_interval > 0 ? 64 : 1);
    }
    // All streams of a batch see the same slow engine step at the same time. Count it once.
    constexpr base::milliseconds same_step_interval{5};
    if (slow && now - server.last_token_time_at < same_step_interval)
        return;
    server.last_token_time_at = now;
    if (server.cold.record_token_time(slow))
        m_servers.mark_cold(active.server, now);
}

void decision_core::finish(std::uint64_t ticket, generation_outcome outcome, base::time_point now)
{
    auto const found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    auto const index = found->second;
    auto const active = m_generations[index];
    auto& server = m_servers.at(active.server);
    if (outcome == generation_outcome::completed)
    {
        if (m_settings.switches.learned_lengths == toggle::on && active.produced_tokens > 0)
            m_lengths.observe(active.key, active.produced_tokens);
        if (server.cold.record_success(server.batch_slots()))
            m_servers.assign_slots(server, now);
    }
    if (outcome == generation_outcome::failed)
        server.failed_at = now;
    add_demand(active, -1);
    --m_pools[active.pool].local_generation_count;
    --server.local_running;
    if (active.dispatched_at >= server.measured_at)
        --server.local_unreported;
    auto const last = server.generations.back();
    server.generations[active.index_on_server] = last;
    m_generations[last].index_on_server = active.index_on_server;
    server.generations.pop_back();
    m_free_indexes.push_back(index);
    m_running.erase(found);
}

} // namespace jasminepier::decision
