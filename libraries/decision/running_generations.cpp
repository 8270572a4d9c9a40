/// The part of the decision core that follows running generations.
#include "decision/decision_core.hpp"

#include <algorithm>

namespace jasminepier::decision
{

void decision_core::start(std::uint64_t ticket, waiting_request const& request,
                          std::uint32_t server_index, demand const& predicted, base::time_point now)
{
    std::uint32_t slot = 0;
    if (m_free.empty())
    {
        slot = static_cast<std::uint32_t>(m_generations.size());
        m_generations.emplace_back();
    }
    else
    {
        slot = m_free.back();
        m_free.pop_back();
    }
    auto& server = m_servers.at(server_index);
    auto& pool = m_pools[request.pool];
    generation one;
    one.ticket = ticket;
    one.pool = request.pool;
    one.server = server_index;
    one.position = static_cast<std::uint32_t>(server.generations.size());
    one.key = request.key;
    one.prompt = request.prompt;
    one.limit = request.limit;
    one.predicted = predicted;
    one.sent_at = now;
    one.last_token_at = now;
    m_generations[slot] = one;
    server.generations.push_back(slot);
    ++server.local_running;
    ++server.local_unreported;
    ++pool.own_count;
    add_demand(one, 1);
    pool.sent += predicted;
    m_running.emplace(ticket, slot);
    if (request.prefix_hash != 0)
        pool.servers.note_prefix(request.prefix_hash, server_index, true);
}

void decision_core::add_demand(generation const& one, double sign)
{
    auto& pool = m_pools[one.pool];
    auto& server = m_servers.at(one.server);
    server.own.add_scaled(one.predicted, sign);
    if (one.sent_at >= server.measured_at)
        server.own_recent.add_scaled(one.predicted, sign);
    pool.own.add_scaled(one.predicted, sign);
    pool.own_by_kind[static_cast<std::size_t>(one.key.kind)] += sign * one.predicted.mean[0];
}

void decision_core::refresh(generation& one)
{
    add_demand(one, -1);
    one.predicted = predict(one.key, one.prompt, one.produced, one.limit);
    add_demand(one, 1);
    // Predictions change slowly once a generation is long, so they are renewed at growing steps.
    one.refresh_at = one.produced + std::max<std::int64_t>(16, one.produced / 16);
}

void decision_core::record_tokens(std::uint64_t ticket, std::int64_t count, base::time_point now)
{
    auto const found = m_running.find(ticket);
    if (found == m_running.end() || count <= 0)
        return;
    auto& one = m_generations[found->second];
    note_gap(one, count, now);
    one.produced += count;
    one.last_token_at = now;
    if (one.produced >= one.refresh_at)
        refresh(one);
}

void decision_core::note_gap(generation& one, std::int64_t count, base::time_point now)
{
    auto& server = m_servers.at(one.server);
    double const gap = std::chrono::duration<double, std::milli>(now - one.last_token_at).count() /
                       static_cast<double>(count);
    bool slow = false;
    if (one.produced == 0)
    {
        slow = gap > slow_factor * first_token_target_milliseconds;
        if (!slow && server.cold.note_good(server.full_batch()))
            m_servers.assign_slots(server, now);
    }
    else
    {
        // Before the mean has settled, only the target is a measure.
        bool const far_from_usual =
            server.usual_gap > 0 && gap > slow_factor_of_usual * server.usual_gap;
        slow = gap > slow_factor * between_token_target_milliseconds || far_from_usual;
        if (!slow)
            server.usual_gap += (gap - server.usual_gap) / (server.usual_gap > 0 ? 64 : 1);
    }
    // The streams of one batch receive a slow step together; it counts once.
    constexpr base::milliseconds same_step{5};
    if (slow && now - server.last_time_noted_at < same_step)
        return;
    server.last_time_noted_at = now;
    if (server.cold.note_time(slow))
        m_servers.turn_cold(one.server, now);
}

void decision_core::finish(std::uint64_t ticket, generation_outcome end, base::time_point now)
{
    auto const found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    auto const slot = found->second;
    auto const one = m_generations[slot];
    auto& server = m_servers.at(one.server);
    if (end == generation_outcome::completed)
    {
        if (m_settings.switches.learned_lengths == toggle::on && one.produced > 0)
            m_lengths.observe(one.key, one.produced);
        if (server.cold.note_good(server.full_batch()))
            m_servers.assign_slots(server, now);
    }
    if (end == generation_outcome::failed)
        server.failed_at = now;
    add_demand(one, -1);
    --m_pools[one.pool].own_count;
    --server.local_running;
    if (one.sent_at >= server.measured_at)
        --server.local_unreported;
    auto const last = server.generations.back();
    server.generations[one.position] = last;
    m_generations[last].position = one.position;
    server.generations.pop_back();
    m_free.push_back(slot);
    m_running.erase(found);
}

} // namespace jasminepier::decision
