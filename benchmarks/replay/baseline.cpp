#include "benchmarks/replay/baseline.hpp"

#include <algorithm>
#include <optional>

namespace jasminepier::benchmarks
{

void baseline_node::poll(base::time_point now, std::vector<decision::decision_result>& decisions)
{
    for (auto const& [ticket, request] : m_pending)
    {
        std::optional<std::uint32_t> selected;
        ++m_next_server;
        for (std::uint32_t offset = 0; offset < m_servers.size(); ++offset)
        {
            auto const index =
                static_cast<std::uint32_t>((m_next_server + offset) % m_servers.size());
            auto const& server = m_servers.at(index);
            bool const excluded = std::find(request.excluded.begin(), request.excluded.end(),
                                            server.name) != request.excluded.end();
            if (excluded || m_servers.find_exclusion_reason(server, request.model, now) !=
                                decision::exclusion_reason::none)
                continue;
            if (!selected || server.local_running < m_servers.at(*selected).local_running)
                selected = index;
            if (m_kind == baseline_kind::round_robin)
                break;
        }
        decision::decision_result result;
        result.ticket = ticket;
        result.refusal = base::error_kind::no_server;
        result.priority = m_preset.limits(request.kind).rank;
        if (selected)
        {
            result.outcome = decision::decision_outcome::dispatched;
            result.server = *selected;
            ++m_servers.at(*selected).local_running;
            m_running.emplace(ticket, *selected);
            if (m_kind == baseline_kind::round_robin)
                m_next_server = *selected;
        }
        decisions.push_back(std::move(result));
    }
    m_pending.clear();
}

} // namespace jasminepier::benchmarks
