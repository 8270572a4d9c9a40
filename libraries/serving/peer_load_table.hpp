/// Loads that peers report, with a running total for each server.
#pragma once

#include "base/clock.hpp"
#include "serving/server_load.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminepier::serving
{

/// What reported a load: a node, or a zone whose nodes report among themselves and send the other
/// zones a summary.
struct load_source
{
    std::string zone;
    /// Empty for the summary of a zone.
    std::string node;
    /// A summary that does not fit in one datagram has several parts.
    int part = 0;

    bool is_zone_summary() const noexcept { return node.empty(); }
    friend auto operator<=>(load_source const&, load_source const&) = default;
};

/// The latest report of each source. The totals are updated with each report, so that looking them
/// up costs the same however many sources there are. Not synchronized.
class peer_load_table
{
public:
    struct source_report
    {
        std::vector<server_load> loads;
        base::time_point received{};
    };
    /// Sums over all sources.
    struct totals
    {
        std::int64_t running = 0;
        std::int64_t reserved_tokens = 0;
        std::int64_t unread_prompt_tokens = 0;
        std::int64_t gap_bounded_streams = 0;
        /// In hundredths; see server_load.
        std::int64_t recent_attempts = 0;
        std::int64_t recent_failures = 0;
        int unreachable_reports = 0;
        int reports = 0;
    };

    /// Replaces the source's earlier report.
    void merge(load_source const& source, std::span<server_load const> loads, base::time_point now);
    void remove(load_source const& source);
    /// Removes the reports of all sources for which `predicate(source, report)` is true.
    template <class Predicate>
    void remove_if(Predicate&& predicate)
    {
        for (auto it = m_reports.begin(); it != m_reports.end();)
        {
            if (!predicate(it->first, it->second))
            {
                ++it;
                continue;
            }
            add_to_totals(it->second, -1);
            it = m_reports.erase(it);
        }
    }

    totals find_totals(server_hash server) const
    {
        auto const found = m_totals.find(server);
        return found == m_totals.end() ? totals{} : found->second;
    }
    /// Age of the oldest report that names the server, or zero if none does. Visits every source.
    base::milliseconds oldest_report_age(server_hash server, base::time_point now) const;
    std::map<load_source, source_report> const& reports() const noexcept { return m_reports; }

private:
    void add_to_totals(source_report const& added, std::int64_t sign);

    std::map<load_source, source_report> m_reports;
    std::unordered_map<server_hash, totals> m_totals;
};

} // namespace jasminepier::serving
