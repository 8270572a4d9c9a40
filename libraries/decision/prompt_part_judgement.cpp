/// Verdicts about prompt parts, and trials of parts and requests that are rejected.
#include "decision/poison_request_detector.hpp"

#include <algorithm>

namespace jasminepier::decision
{

part_judgement poison_request_detector::judge_parts(std::span<std::uint64_t const> parts,
                                                    base::time_point now) const
{
    std::lock_guard lock(m_mutex);
    part_judgement judgement;
    for (auto const part : parts)
    {
        auto const verdict = judge_part(part, parts, now);
        if (verdict > judgement.verdict)
            judgement = {verdict, part, {}};
    }
    if (judgement.verdict == part_verdict::clean)
        return judgement;
    auto const times = distinct_crash_times(judgement.part, now);
    bool const settling = !times.empty() && now < times.back() + settling_time;
    auto const due = next_trial(judgement.part, judgement.verdict, now);
    judgement.retry_after =
        settling || due <= now ? trial_interval : std::chrono::ceil<base::milliseconds>(due - now);
    return judgement;
}

std::optional<std::uint64_t>
poison_request_detector::find_due_trial(std::span<std::uint64_t const> parts,
                                        base::time_point now) const
{
    std::lock_guard lock(m_mutex);
    auto const unclean = find_unclean(parts, now);
    bool const is_due = std::all_of(unclean.begin(), unclean.end(),
                                    [&](auto const& entry)
                                    { return now >= next_trial(entry.first, entry.second, now); });
    return is_due && !unclean.empty() ? std::optional(unclean.begin()->first) : std::nullopt;
}

bool poison_request_detector::try_begin_trial(std::span<std::uint64_t const> parts,
                                              fleet_position position, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_trials,
                  [&](auto const& entry) { return now - entry.second.time >= first_trial_delay; });
    auto const unclean = find_unclean(parts, now);
    if (unclean.empty() || m_trials.size() + unclean.size() > maximum_trials)
        return false;
    for (auto const& [part, verdict] : unclean)
        if (now < next_trial(part, verdict, now))
            return false;
    // The first part determines the turn, so that parts that only occur together can be tried.
    auto const& [first_part, first_verdict] = *unclean.begin();
    bool const needs_turn =
        std::any_of(unclean.begin(), unclean.end(),
                    [](auto const& entry) { return entry.second == part_verdict::rejected; });
    auto const overdue = std::chrono::duration_cast<base::milliseconds>(
        now - next_trial(first_part, first_verdict, now));
    if (needs_turn && !has_trial_turn(overdue, position))
        return false;
    for (auto const& [part, verdict] : unclean)
        m_trials[part] = {now, trial_transmissions};
    return true;
}

bool poison_request_detector::try_begin_request_trial(std::uint64_t fingerprint,
                                                      fleet_position position, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto const times = crash_times_since_answer(fingerprint, now);
    if (times.size() < rejection_threshold || m_trials.size() >= maximum_trials)
        return false;
    auto due = times.back() + next_trial_delay(times, rejection_threshold);
    // The outcome of a trial may never be known.
    if (auto const trial = m_trials.find(fingerprint); trial != m_trials.end())
        due = std::max<base::time_point>(due, trial->second.time + first_trial_delay);
    if (!has_trial_turn(std::chrono::duration_cast<base::milliseconds>(now - due), position))
        return false;
    m_trials[fingerprint] = {now, trial_transmissions};
    return true;
}

void poison_request_detector::merge_tried(std::span<tried_part const> parts, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    for (auto const& tried : parts)
    {
        auto const age = base::milliseconds(std::max<std::int64_t>(tried.age_milliseconds, 0));
        if (age >= first_trial_delay)
            continue;
        if (m_trials.size() >= maximum_trials && !m_trials.contains(tried.part))
            m_trials.erase(std::min_element(m_trials.begin(), m_trials.end(),
                                            [](auto const& left, auto const& right)
                                            { return left.second.time < right.second.time; }));
        auto& trial = m_trials[tried.part];
        trial.time = std::max<base::time_point>(trial.time, now - age);
    }
}

void poison_request_detector::add_trials(crash_report& report, std::size_t limit,
                                         base::time_point now)
{
    for (auto& [part, trial] : m_trials)
    {
        if (trial.transmissions == 0 || report.tried_parts.size() >= limit)
            continue;
        --trial.transmissions;
        report.has_news = true;
        report.has_more_news = report.has_more_news || trial.transmissions > 0;
        report.tried_parts.push_back(
            {part, std::chrono::ceil<base::milliseconds>(now - trial.time).count()});
    }
}

std::map<std::uint64_t, part_verdict>
poison_request_detector::find_unclean(std::span<std::uint64_t const> parts,
                                      base::time_point now) const
{
    std::map<std::uint64_t, part_verdict> unclean;
    for (auto const part : parts)
        if (auto const verdict = judge_part(part, parts, now); verdict != part_verdict::clean)
            unclean.emplace(part, verdict);
    return unclean;
}

base::time_point poison_request_detector::next_trial(std::uint64_t part, part_verdict verdict,
                                                     base::time_point now) const
{
    auto const trial = m_trials.find(part);
    if (verdict == part_verdict::ambiguous)
        return trial == m_trials.end() ? base::time_point{} : trial->second.time + trial_interval;
    auto const times = distinct_crash_times(part, now);
    base::time_point next{};
    if (!times.empty())
        next = times.back() + next_trial_delay(times, rejection_threshold_of(part));
    // The outcome of a trial may never be known.
    if (trial != m_trials.end())
        next = std::max<base::time_point>(next, trial->second.time + first_trial_delay);
    return next;
}

std::vector<base::time_point>
poison_request_detector::crash_times_since_answer(std::uint64_t fingerprint,
                                                  base::time_point now) const
{
    auto const answer = m_answers.find(fingerprint);
    std::vector<base::time_point> times;
    for (auto found = m_events.lower_bound({fingerprint, "", ""});
         found != m_events.end() && std::get<0>(found->first) == fingerprint; ++found)
    {
        auto const time = found->second.time;
        bool const answered_since = answer != m_answers.end() && time <= answer->second.last_answer;
        if (!answered_since && now - time < event_lifetime)
            times.push_back(time);
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::vector<base::time_point>
poison_request_detector::distinct_crash_times(std::uint64_t part, base::time_point now) const
{
    std::vector<base::time_point> distinct;
    for (auto const time : crash_times_since_answer(part, now))
        if (distinct.empty() || time >= distinct.back() + minimum_crash_distance)
            distinct.push_back(time);
    return distinct;
}

std::size_t poison_request_detector::count_crashes_since_answer(std::uint64_t part,
                                                                base::time_point now) const
{
    return distinct_crash_times(part, now).size();
}

std::size_t poison_request_detector::rejection_threshold_of(std::uint64_t part) const
{
    return m_answers.contains(part) ? answered_part_threshold : rejection_threshold;
}

bool poison_request_detector::is_part_rejected(std::uint64_t part, base::time_point now) const
{
    return count_crashes_since_answer(part, now) >= rejection_threshold_of(part);
}

std::set<std::pair<std::string, std::string>>
poison_request_detector::crash_sites(std::uint64_t part, base::time_point now) const
{
    auto const answer = m_answers.find(part);
    std::set<std::pair<std::string, std::string>> sites;
    for (auto found = m_events.lower_bound({part, "", ""});
         found != m_events.end() && std::get<0>(found->first) == part; ++found)
    {
        auto const time = found->second.time;
        bool const answered_since = answer != m_answers.end() && time <= answer->second.last_answer;
        if (!answered_since && now - time < event_lifetime)
            sites.emplace(std::get<1>(found->first), std::get<2>(found->first));
    }
    return sites;
}

part_verdict poison_request_detector::judge_part(std::uint64_t part,
                                                 std::span<std::uint64_t const> parts,
                                                 base::time_point now) const
{
    if (!is_part_rejected(part, now))
        return part_verdict::clean;
    auto const sites = crash_sites(part, now);
    std::map<std::uint64_t, std::size_t> common_sites;
    for (auto const& [key, state] : m_events)
    {
        auto const& [other, server, instance] = key;
        if (std::find(parts.begin(), parts.end(), other) == parts.end() &&
            sites.contains({server, instance}))
            ++common_sites[other];
    }
    auto verdict = part_verdict::rejected;
    for (auto const& [other, count] : common_sites)
    {
        if (count < sites.size() || !is_part_rejected(other, now))
            continue;
        if (crash_sites(other, now).size() > sites.size())
            return part_verdict::clean;
        verdict = part_verdict::ambiguous;
    }
    return verdict;
}

} // namespace jasminepier::decision
