#include "serving/rollout_evidence.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;

constexpr milliseconds snapshot_interval{500};
// Time without a report after which another node's reports for a zone are followed.
constexpr milliseconds reporter_silence{3000};
// The whole time since the order is compared, too; a version that turns bad shows in short spans.
constexpr std::array spans{milliseconds(3000), milliseconds(10000), milliseconds(30000)};
// Negative logarithm of the probability that a good version shows what was seen. A roll-out makes
// some thousands of comparisons, most of them of nearly the same counts.
constexpr double required_evidence = 14;
// The same for the whole time since the order, in which successive comparisons differ little.
constexpr double required_evidence_of_whole = 11;
// The same for a single comparison.
constexpr double required_evidence_of_last_look = 6;
// Part of the required evidence that has to stand without the worst group of servers.
constexpr double fraction_without_worst_group = 0.4;
constexpr std::int64_t minimum_bad_answers = 5;
constexpr std::int64_t minimum_bad_answers_without_worst_group = 3;
// Without answers of other groups, so many stand alone.
constexpr std::int64_t sufficient_bad_answers_of_group = 40;
// Smaller differences are not a fault of the version.
constexpr double minimum_failure_excess = 0.06;
constexpr double minimum_slow_excess = 0.12;
// Lower limits of the old version's rate, whose own failures come in bursts.
constexpr double minimum_failure_rate = 0.01;
constexpr double minimum_slow_rate = 0.03;
// The same if the old version has no answers in the same span: overload may be the reason.
constexpr double unmatched_failure_rate = 0.1;
constexpr double unmatched_slow_rate = 0.25;
constexpr std::int64_t minimum_matched_answers = 20;
// The old version's rate is taken this many standard deviations above its estimate.
constexpr double rate_deviations = 2;
// Part of the expected answers of a route with little traffic that has to be there.
constexpr double expected_answer_fraction = 0.3;

struct sample
{
    std::int64_t answers = 0;
    std::int64_t bad = 0;
};

sample make_sample(outcome_counts const& counts, bad_sign sign)
{
    return {counts.answers, sign == bad_sign::failures ? counts.failures : counts.slow};
}

double rate_of(sample const& seen)
{
    return seen.answers > 0 ? static_cast<double>(seen.bad) / static_cast<double>(seen.answers) : 0;
}

double upper_rate(sample const& seen)
{
    auto const count = static_cast<double>(seen.answers) + 1;
    auto const rate = (static_cast<double>(seen.bad) + 0.5) / count;
    return rate + rate_deviations * std::sqrt(std::max(rate * (1 - rate), 0.0) / count);
}

/// Chernoff's bound on the probability of so many bad answers at the given rate, as a negative
/// logarithm; 0 if there are not more than expected.
double evidence_against(sample const& seen, double rate)
{
    auto const observed = rate_of(seen);
    if (seen.answers == 0 || observed <= rate)
        return 0;
    auto divergence = observed * std::log(observed / rate);
    if (observed < 1)
        divergence += (1 - observed) * std::log((1 - observed) / (1 - rate));
    return static_cast<double>(seen.answers) * divergence;
}

outcome_counts find_counts(evidence_table const& table, evidence_key const& key)
{
    auto const found = table.find(key);
    return found == table.end() ? outcome_counts{} : found->second;
}

version_sums add_up(evidence_table const& table)
{
    version_sums result;
    for (auto const& [key, value] : table)
        (key.is_target ? result.target : result.others) += value;
    return result;
}

outcome_counts find_maximum(outcome_counts const& a, outcome_counts const& b)
{
    return {std::max(a.sent, b.sent), std::max(a.answers, b.answers),
            std::max(a.failures, b.failures), std::max(a.slow, b.slow)};
}

/// Counts of one route within a span.
struct route_sample
{
    sample target;
    sample others;
    std::array<sample, rollout_evidence::group_count> groups;
};

} // namespace

outcome_counts& outcome_counts::operator+=(outcome_counts const& other) noexcept
{
    sent += other.sent;
    answers += other.answers;
    failures += other.failures;
    slow += other.slow;
    return *this;
}

outcome_counts outcome_counts::operator-(outcome_counts const& other) const noexcept
{
    return {sent - other.sent, answers - other.answers, failures - other.failures,
            slow - other.slow};
}

void rollout_evidence::add(evidence_key const& key, outcome_counts const& counts)
{
    m_own[key] += counts;
    m_totals[key] += counts;
}

void rollout_evidence::merge(evidence_source const& source, evidence_table const& counts,
                             base::time_point now)
{
    if (source.is_zone())
        merge_zone(source, counts, now);
    else if (!m_zone_reporters.contains(source.zone))
        merge_node(source, counts);
}

void rollout_evidence::merge_node(evidence_source const& source, evidence_table const& counts)
{
    auto& known = m_reported[source];
    for (auto const& [key, value] : counts)
    {
        auto& stored = known[key];
        auto const grown = find_maximum(stored, value);
        m_totals[key] += grown - stored;
        stored = grown;
    }
}

void rollout_evidence::merge_zone(evidence_source const& source, evidence_table const& counts,
                                  base::time_point now)
{
    auto const [position, is_new] = m_zone_reporters.try_emplace(source.zone);
    auto& reporter = position->second;
    // The zone's sum contains the counts of its nodes.
    if (is_new)
        for (auto& [other, table] : m_reported)
            if (other.zone == source.zone)
            {
                for (auto const& [key, value] : table)
                    m_totals[key] = m_totals[key] - value;
                table.clear();
            }
    bool const is_same =
        reporter.node == source.reporter && reporter.started == source.reporter_started;
    bool const has_restarted =
        reporter.node == source.reporter && reporter.started < source.reporter_started;
    if (!is_new && !is_same && !has_restarted && now < reporter.heard + reporter_silence)
        return;
    if (is_new || !is_same)
        reporter = {source.reporter, source.reporter_started, now, {}};
    reporter.heard = now;
    auto& added = m_zone_counts[source.zone];
    for (auto const& [key, value] : counts)
    {
        auto const [last, is_first] = reporter.counts.try_emplace(key);
        auto const grown = find_maximum(last->second, value);
        // Another reporter has counted this key before; only what is new from now on is added.
        if (!is_first || !added.contains(key))
        {
            m_totals[key] += grown - last->second;
            added[key] += grown - last->second;
        }
        last->second = grown;
    }
}

evidence_table rollout_evidence::zone_sum() const
{
    auto sum = m_own;
    for (auto const& [source, table] : m_reported)
        for (auto const& [key, value] : table)
            sum[key] += value;
    return sum;
}

version_sums rollout_evidence::sums() const
{
    return add_up(m_totals);
}

version_sums rollout_evidence::own_sums() const
{
    return add_up(m_own);
}

bool rollout_evidence::has_seen_routes(std::int64_t answers, double share) const
{
    std::map<std::int32_t, version_sums> routes;
    for (auto const& [key, value] : m_totals)
        (key.is_target ? routes[key.route].target : routes[key.route].others) += value;
    return std::all_of(routes.begin(), routes.end(),
                       [&](auto const& item)
                       {
                           auto const expected = static_cast<std::int64_t>(
                               expected_answer_fraction * share *
                               static_cast<double>(item.second.others.answers));
                           return item.second.target.answers >= std::min(answers, expected);
                       });
}

void rollout_evidence::take_snapshot(base::time_point now)
{
    if (!m_history.empty() && now < m_history.back().time + snapshot_interval)
        return;
    m_history.push_back({now, m_totals});
    while (m_history.size() > 1 && m_history[1].time + spans.back() <= now)
        m_history.pop_front();
}

std::optional<rollout_finding>
rollout_evidence::judge(base::time_point now, bool has_several_servers, bool is_last_look) const
{
    std::set<std::int32_t> routes;
    for (auto const& [key, value] : m_totals)
        if (key.is_target)
            routes.insert(key.route);
    evidence_table const nothing;
    auto const sample_route = [&](evidence_table const& before, std::int32_t route, bad_sign sign)
    {
        route_sample result;
        auto const difference = [&](evidence_key const& key)
        { return make_sample(find_counts(m_totals, key) - find_counts(before, key), sign); };
        result.others = difference({false, route, 0});
        for (std::int32_t group = 0; group < group_count; ++group)
        {
            auto& seen = result.groups[static_cast<std::size_t>(group)];
            seen = difference({true, route, group});
            result.target.answers += seen.answers;
            result.target.bad += seen.bad;
        }
        return result;
    };
    auto const compare = [&](evidence_table const& before, milliseconds span, std::int32_t route,
                             bad_sign sign) -> std::optional<rollout_finding>
    {
        bool const is_failure = sign == bad_sign::failures;
        auto const required = is_last_look              ? required_evidence_of_last_look
                              : span == milliseconds(0) ? required_evidence_of_whole
                                                        : required_evidence;
        auto const seen = sample_route(before, route, sign);
        if (seen.target.bad < minimum_bad_answers)
            return std::nullopt;
        // A short span of the old version may show fewer failures than it usually has.
        auto const usual = sample_route(nothing, route, sign).others;
        bool const matched = seen.others.answers >= minimum_matched_answers;
        auto const& baseline = matched ? seen.others : usual;
        auto const floor = is_failure ? (matched ? minimum_failure_rate : unmatched_failure_rate)
                                      : (matched ? minimum_slow_rate : unmatched_slow_rate);
        auto const rate =
            std::min(std::max({upper_rate(baseline), upper_rate(usual), floor}), 0.99);
        auto const excess = is_failure ? minimum_failure_excess : minimum_slow_excess;
        if (rate_of(seen.target) < std::max(rate_of(baseline), rate_of(usual)) + excess ||
            evidence_against(seen.target, rate) < required)
            return std::nullopt;
        if (has_several_servers)
        {
            auto rest = seen.target;
            auto const worst =
                std::max_element(seen.groups.begin(), seen.groups.end(),
                                 [](auto const& a, auto const& b) { return a.bad < b.bad; });
            rest.answers -= worst->answers;
            rest.bad -= worst->bad;
            // Servers that answer nothing cannot clear the version.
            bool const rest_is_silent = rest.answers < minimum_bad_answers_without_worst_group &&
                                        seen.target.bad >= sufficient_bad_answers_of_group;
            if (!rest_is_silent &&
                (rest.bad < minimum_bad_answers_without_worst_group ||
                 evidence_against(rest, rate) < fraction_without_worst_group * required))
                return std::nullopt;
        }
        return rollout_finding{
            route,       sign, span, seen.target.answers, seen.target.bad, baseline.answers,
            baseline.bad};
    };
    for (auto const route : routes)
        for (auto const sign : {bad_sign::failures, bad_sign::slow_answers})
        {
            if (auto found = compare(nothing, milliseconds(0), route, sign))
                return found;
            for (auto const span : spans)
            {
                auto const before =
                    std::find_if(m_history.rbegin(), m_history.rend(),
                                 [&](auto const& item) { return item.time + span <= now; });
                if (before == m_history.rend())
                    break;
                if (auto found = compare(before->totals, span, route, sign))
                    return found;
            }
        }
    return std::nullopt;
}

} // namespace jasminepier::serving
