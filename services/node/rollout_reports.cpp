#include "services/node/rollout_reports.hpp"

#include <algorithm>
#include <limits>

namespace jasminepier::node
{
namespace
{

// About 30 bytes each; loads of servers take the larger part of a datagram.
constexpr std::size_t maximum_entries = 10;

std::int32_t narrow(std::int64_t count)
{
    constexpr std::int64_t maximum = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, 0, maximum));
}

inner_protocol::version_outcomes to_message(serving::rollout_report const& report,
                                            serving::evidence_key const& key,
                                            serving::outcome_counts const& counts)
{
    inner_protocol::version_outcomes entry;
    entry.service_hash = report.service_hash;
    entry.order_revision = static_cast<std::int64_t>(report.order);
    entry.new_version = key.is_target;
    entry.route_hash = key.route;
    entry.requests = narrow(counts.answers);
    entry.failures = narrow(counts.failures);
    entry.slow_responses = narrow(counts.slow);
    entry.__set_server_group(key.group);
    entry.__set_sent(narrow(counts.sent));
    return entry;
}

} // namespace

bool add_rollouts(inner_protocol::node_report& report, serving::rollout_table const& rollouts,
                  bool of_zone, rollout_report_position& position, base::time_point now)
{
    auto const known = rollouts.reports(of_zone, now);
    if (known.empty())
        return false;
    auto const order_count = std::min(known.size(), maximum_entries);
    auto const entries_per_order = maximum_entries / order_count;
    // Each report begins where the one before has ended.
    for (std::size_t i = 0; i < order_count; ++i)
    {
        auto const& rollout = known[(position.order + i) % known.size()];
        std::vector<inner_protocol::version_outcomes> entries;
        for (auto const& [key, counts] : rollout.counts)
            entries.push_back(to_message(rollout, key, counts));
        if (entries.empty())
            entries.push_back(to_message(rollout, {}, {}));
        if (entries.size() > entries_per_order)
        {
            auto& first = position.entries[rollout.order];
            first %= entries.size();
            std::rotate(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(first),
                        entries.end());
            entries.resize(entries_per_order);
            first += entries_per_order;
        }
        if (rollout.age)
            entries.front().__set_age_milliseconds(narrow(rollout.age->count()));
        entries.front().__set_stopped(rollout.stopped);
        report.versions.insert(report.versions.end(), entries.begin(), entries.end());
    }
    position.order = (position.order + order_count) % known.size();
    std::erase_if(position.entries,
                  [&](auto const& item)
                  {
                      return std::none_of(known.begin(), known.end(),
                                          [&](auto const& rollout)
                                          { return rollout.order == item.first; });
                  });
    report.__isset.versions = true;
    return true;
}

void apply_rollouts(inner_protocol::node_report const& report, serving::rollout_table& rollouts,
                    base::time_point now)
{
    std::map<std::int64_t, serving::rollout_report> known;
    for (auto const& entry : report.versions)
    {
        auto& rollout = known[entry.order_revision];
        rollout.service_hash = entry.service_hash;
        rollout.order = static_cast<std::uint64_t>(entry.order_revision);
        if (entry.__isset.age_milliseconds)
            rollout.age = base::milliseconds(std::max(entry.age_milliseconds, 0));
        rollout.stopped = rollout.stopped || (entry.__isset.stopped && entry.stopped);
        auto const group =
            std::clamp(entry.server_group, 0, serving::rollout_evidence::group_count - 1);
        rollout.counts[{entry.new_version, entry.route_hash, group}] = {
            std::max(entry.sent, 0), std::max(entry.requests, 0), std::max(entry.failures, 0),
            std::max(entry.slow_responses, 0)};
    }
    bool const is_summary = report.summary_parts > 0;
    serving::evidence_source const source =
        is_summary ? serving::evidence_source{report.zone, "", 0, report.node, report.started}
                   : serving::evidence_source{report.zone, report.node, report.started, "", 0};
    for (auto const& [order, rollout] : known)
        rollouts.apply_report(source, rollout, now);
}

} // namespace jasminepier::node
