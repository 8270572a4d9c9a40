#include "serving/peer_load_table.hpp"

#include <algorithm>

namespace jasminepier::serving
{

void peer_load_table::merge(load_source const& source, std::span<server_load const> loads,
                            base::time_point now)
{
    auto& current = m_reports[source];
    add_to_totals(current, -1);
    current.loads.assign(loads.begin(), loads.end());
    current.received = now;
    add_to_totals(current, 1);
}

void peer_load_table::remove(load_source const& source)
{
    auto const found = m_reports.find(source);
    if (found == m_reports.end())
        return;
    add_to_totals(found->second, -1);
    m_reports.erase(found);
}

base::milliseconds peer_load_table::oldest_report_age(server_hash server,
                                                      base::time_point now) const
{
    base::milliseconds oldest{0};
    for (auto const& [source, report] : m_reports)
    {
        bool const names_server =
            std::any_of(report.loads.begin(), report.loads.end(),
                        [&](server_load const& load) { return load.server == server; });
        if (names_server)
            oldest = std::max(
                oldest, std::chrono::duration_cast<base::milliseconds>(now - report.received));
    }
    return oldest;
}

void peer_load_table::add_to_totals(source_report const& added, std::int64_t sign)
{
    for (auto const& load : added.loads)
    {
        auto& sum = m_totals[load.server];
        sum.running += sign * load.running;
        sum.reserved_tokens += sign * load.reserved_tokens;
        sum.unread_prompt_tokens += sign * load.unread_prompt_tokens;
        sum.gap_bounded_streams += sign * load.gap_bounded_streams;
        sum.recent_attempts += sign * load.recent_attempts;
        sum.recent_failures += sign * load.recent_failures;
        sum.unreachable_reports += static_cast<int>(sign) * (load.unreachable ? 1 : 0);
        sum.reports += static_cast<int>(sign);
        if (sum.reports == 0)
            m_totals.erase(load.server);
    }
}

} // namespace jasminepier::serving
