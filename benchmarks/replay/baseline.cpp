#include "benchmarks/replay/baseline.hpp"

#include <algorithm>
#include <optional>

namespace jasminepier::benchmarks
{

void baseline_node::poll(base::time_point now, std::vector<decision::decision_result>& decisions)
{
    for (auto const& [ticket, request] : m_pending)
    {
        std::optional<std::uint32_t> chosen;
        ++m_next;
        for (std::uint32_t step = 0; step < m_servers.size(); ++step)
        {
            auto const index = static_cast<std::uint32_t>((m_next + step) % m_servers.size());
            auto const& server = m_servers.at(index);
            bool const excluded = std::find(request.excluded.begin(), request.excluded.end(),
                                            server.name) != request.excluded.end();
            if (excluded || m_servers.find_exclusion_reason(server, request.model, now) !=
                                decision::exclusion_reason::none)
                continue;
            if (!chosen || server.local_running < m_servers.at(*chosen).local_running)
                chosen = index;
            if (m_kind == baseline_kind::round_robin)
                break;
        }
        decision::decision_result result;
        result.ticket = ticket;
        result.refusal = base::error_kind::no_server;
        result.priority = m_preset.limits(request.kind).rank;
        if (chosen)
        {
            result.outcome = decision::decision_outcome::dispatched;
            result.server = *chosen;
            ++m_servers.at(*chosen).local_running;
            m_running.emplace(ticket, *chosen);
            if (m_kind == baseline_kind::round_robin)
                m_next = *chosen;
        }
        decisions.push_back(std::move(result));
    }
    m_pending.clear();
}

} // namespace jasminepier::benchmarks
