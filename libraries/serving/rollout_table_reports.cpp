#include "base/hash.hpp"
#include "serving/rollout_table.hpp"

#include <algorithm>

namespace jasminepier::serving
{

namespace
{

using base::milliseconds;

// How long an order that the store doesn't have is not looked for again.
constexpr milliseconds minimum_absence{10000};
constexpr milliseconds maximum_absence{160000};

} // namespace

std::vector<rollout_write> rollout_table::pending_writes(base::time_point now) const
{
    std::vector<rollout_write> writes;
    for (auto const& [service, item] : m_rollouts)
    {
        std::optional<rollout_state> wanted;
        if (item.order.has_ended())
            wanted = item.order.written;
        else if (!item.stop_reason.empty())
            wanted = rollout_state::rolled_back;
        else if (item.may_complete)
            wanted = rollout_state::completed;
        else if (item.stage != rollout_stage::waiting)
            wanted = rollout_state::in_progress;
        if (wanted && wanted != item.stored)
            writes.push_back({service, item.order.target, item.order.id, *wanted,
                              std::chrono::duration_cast<milliseconds>(now - item.start),
                              item.order.started_unix_milliseconds, item.order.duration});
    }
    return writes;
}

std::vector<rollout_report> rollout_table::reports(bool of_zone, base::time_point now) const
{
    std::vector<rollout_report> result;
    for (auto const& [service, item] : m_rollouts)
    {
        if (item.ended && now >= *item.ended + ended_report_duration)
            continue;
        rollout_report report;
        report.service_hash = static_cast<std::int32_t>(base::stable_hash(service));
        report.order = item.order.id;
        if (!item.start_is_uncertain)
            report.age = std::chrono::duration_cast<milliseconds>(now - item.start);
        report.stopped = item.stage == rollout_stage::rolled_back;
        report.counts = of_zone ? item.evidence.zone_sum() : item.evidence.own();
        result.push_back(std::move(report));
    }
    return result;
}

void rollout_table::apply_report(evidence_source const& source, rollout_report const& report,
                                 base::time_point now)
{
    if (!enabled())
        return;
    auto const found =
        std::find_if(m_rollouts.begin(), m_rollouts.end(),
                     [&](auto const& item) { return item.second.order.id == report.order; });
    if (found == m_rollouts.end())
    {
        auto const absent = m_absent_orders.find(report.order);
        bool const is_absent = absent != m_absent_orders.end() && now < absent->second.until;
        if (is_absent)
            return;
        m_unknown_orders.insert(report.order);
        if (!m_unknown_since)
            m_unknown_since = now;
        return;
    }
    auto& item = found->second;
    item.evidence.merge(source, report.counts, now);
    if (report.age)
    {
        auto const start = now - *report.age;
        if (item.start_is_uncertain || start < item.start)
            item.start = start;
        item.start_is_uncertain = false;
    }
    bool const has_news = report.stopped && item.stop_reason.empty() && !item.order.has_ended();
    if (!has_news)
        return;
    // At once; the next look logs it.
    item.stop_reason = stopped_by_peer;
    item.stage = rollout_stage::rolled_back;
    item.share = 0;
}

void rollout_table::forget_unknown_orders(base::time_point now, bool was_read)
{
    std::erase_if(m_absent_orders,
                  [&](auto const& item) { return now >= item.second.until + maximum_absence; });
    if (was_read)
        for (auto const order : m_unknown_orders)
        {
            auto& absent = m_absent_orders[order];
            absent.delay = std::clamp(2 * absent.delay, minimum_absence, maximum_absence);
            absent.until = now + absent.delay;
        }
    m_unknown_orders.clear();
    m_unknown_since.reset();
}

std::map<std::string, version_sums> rollout_table::take_own_counts()
{
    std::map<std::string, version_sums> result;
    for (auto& [service, item] : m_rollouts)
    {
        auto const current = item.evidence.own_sums();
        result[service] = {current.target - item.taken.target, current.others - item.taken.others};
        item.taken = current;
    }
    return result;
}

} // namespace jasminepier::serving
