#include "serving/server_pace.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::serving
{
namespace
{

// Time after which an estimate has lost this much of its distance from the usual pace: 1 - 1/e.
// Several times the seconds for which a long stream runs, since the pace of a VM lasts longer than
// its short spells.
constexpr std::chrono::seconds memory{20};
constexpr std::chrono::seconds estimate_lifetime{60};
// Weight of one statement in the estimate. A spell of a fraction of a second, which one or two
// statements show, hardly moves the estimate.
constexpr double statement_weight = 0.25;
// The first statement is all that is known, but may have been made in a short spell.
constexpr double first_statement_weight = 0.7;
// Reports of peers arrive with a delay that differs by some milliseconds.
constexpr base::milliseconds repeated_statement_margin{30};
// Reports are sent several times a second, so each statement is reported a few times.
constexpr base::milliseconds report_lifetime{1500};

/// Part of an estimate's distance from the usual pace that is left after `age`.
double remaining_fraction(base::time_point::duration age)
{
    return std::exp(-std::chrono::duration<double>(age) / memory);
}

} // namespace

void server_pace_table::record(server_hash server, pace_statement const& statement)
{
    if (statement.percent < minimum_percent || statement.percent > maximum_percent)
        return;
    auto const log_ratio = std::log(statement.percent / usual_pace_percent);
    auto const [found, added] = m_estimates.try_emplace(server);
    auto& entry = found->second;
    if (added)
    {
        entry = {statement, first_statement_weight * log_ratio};
        return;
    }
    auto const margin = statement.from_peer ? repeated_statement_margin : base::milliseconds(0);
    if (statement.stated <= entry.latest.stated + margin)
        return;
    auto const elapsed = statement.stated - entry.latest.stated;
    auto const weight = std::max(statement_weight, 1 - remaining_fraction(elapsed));
    entry.log_ratio += weight * (log_ratio - entry.log_ratio);
    entry.latest = statement;
}

pace_estimate server_pace_table::estimate(server_hash server, base::time_point now) const
{
    auto const found = m_estimates.find(server);
    if (found == m_estimates.end())
        return {};
    auto const& entry = found->second;
    auto const certainty =
        remaining_fraction(std::max(now - entry.latest.stated, base::time_point::duration(0)));
    return {usual_pace_percent * std::exp(entry.log_ratio * certainty), certainty};
}

std::optional<pace_report> server_pace_table::find_report(server_hash server,
                                                          base::time_point now) const
{
    auto const found = m_estimates.find(server);
    if (found == m_estimates.end())
        return std::nullopt;
    auto const& latest = found->second.latest;
    auto const age = std::chrono::duration_cast<base::milliseconds>(now - latest.stated);
    if (latest.from_peer || age > report_lifetime)
        return std::nullopt;
    return pace_report{latest.percent, age};
}

void server_pace_table::expire(base::time_point now)
{
    std::erase_if(m_estimates, [&](auto const& item)
                  { return now >= item.second.latest.stated + estimate_lifetime; });
}

} // namespace jasminepier::serving
