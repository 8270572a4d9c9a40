#include "decision/poison_request_detector.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::decision
{
namespace
{

// Ages of events are rounded by up to this much on the way. A difference below it is no earlier
// time; taking it over would make events older with each exchange.
constexpr std::chrono::seconds age_resolution{1};
// Distinguishes fingerprints of prompt parts from those of whole requests.
constexpr std::uint64_t prompt_part_seed = 0x70617274;

} // namespace

std::uint64_t fingerprint_prompt_part(std::string_view part) noexcept
{
    return base::stable_hash(part, prompt_part_seed);
}

bool poison_request_detector::record(crash_event const& event, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    return insert(event, now, news_transmissions);
}

void poison_request_detector::merge(std::span<crash_event const> events, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    for (auto const& event : events)
        insert(event, now);
}

poison_verdict poison_request_detector::classify(std::uint64_t fingerprint, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    auto const count = crash_times_since_answer(fingerprint, now).size();
    if (count >= rejection_threshold)
        return poison_verdict::rejected;
    return count > 0 ? poison_verdict::suspected : poison_verdict::clean;
}

std::vector<std::uint64_t>
poison_request_detector::record_unanswered(std::span<std::uint64_t const> parts,
                                           std::string const& server, std::string const& instance,
                                           base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    bool const is_explained = std::any_of(parts.begin(), parts.end(),
                                          [&](auto part) { return is_part_rejected(part, now); });
    std::vector<std::uint64_t> suspects;
    for (auto const part : parts)
    {
        if (is_explained && !is_part_rejected(part, now))
            continue;
        if (insert({part, server, instance, 0}, now, news_transmissions))
            suspects.push_back(part);
    }
    return suspects;
}

std::vector<std::uint64_t>
poison_request_detector::record_answered(std::span<std::uint64_t const> parts, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::uint64_t> cleared;
    for (auto const part : parts)
        if (record_local_answer(part, now))
            cleared.push_back(part);
    drop_old_answers();
    return cleared;
}

bool poison_request_detector::record_completed(std::uint64_t fingerprint, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    // Most requests are never suspected, so only those with crashes are remembered.
    if (crash_times_since_answer(fingerprint, now).empty())
        return false;
    auto const was_suspected = record_local_answer(fingerprint, now);
    drop_old_answers();
    return was_suspected;
}

bool poison_request_detector::record_local_answer(std::uint64_t fingerprint, base::time_point now)
{
    bool const was_suspected = !crash_times_since_answer(fingerprint, now).empty();
    auto& answer = m_answers[fingerprint];
    answer.last_answer = std::max(answer.last_answer, now);
    answer.last_local_answer = now;
    if (!was_suspected)
        return false;
    answer.transmissions = news_transmissions;
    answer.is_local_news = true;
    return true;
}

void poison_request_detector::merge_answered(std::span<answered_part const> parts,
                                             base::time_point now)
{
    std::lock_guard lock(m_mutex);
    for (auto const& answered : parts)
    {
        auto const age = base::milliseconds(std::max<std::int64_t>(answered.age_milliseconds, 0));
        if (age >= event_lifetime)
            continue;
        bool const was_suspected = count_crashes_since_answer(answered.part, now) > 0;
        auto& answer = m_answers[answered.part];
        answer.last_answer = std::max<base::time_point>(answer.last_answer, now - age);
        if (was_suspected && answer.transmissions == 0 &&
            count_crashes_since_answer(answered.part, now) == 0)
        {
            answer.transmissions = 1;
            answer.is_local_news = false;
        }
    }
    drop_old_answers();
}

std::vector<crash_event> poison_request_detector::events(base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    std::vector<crash_event> current;
    current.reserve(m_events.size());
    for (auto const& [key, state] : m_events)
        current.push_back(make_event(key, state.time, now));
    return current;
}

crash_report poison_request_detector::take_report(std::size_t limit, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    crash_report report;
    if (limit == 0)
        return report;
    std::set<event_key> sent;
    for (auto& [key, state] : m_events)
    {
        if (state.transmissions == 0)
            continue;
        if (report.crashes.size() >= limit)
        {
            report.has_more_news = true;
            break;
        }
        --state.transmissions;
        report.has_news = true;
        report.has_more_news = report.has_more_news || state.transmissions > 0;
        report.crashes.push_back(make_event(key, state.time, now));
        sent.insert(key);
    }
    auto position = m_events.upper_bound(m_last_sent_event);
    for (std::size_t i = 0; i < m_events.size() && report.crashes.size() < limit; ++i)
    {
        if (position == m_events.end())
            position = m_events.begin();
        m_last_sent_event = position->first;
        if (!sent.contains(position->first))
            report.crashes.push_back(make_event(position->first, position->second.time, now));
        ++position;
    }
    add_answers(report, limit, now);
    add_trials(report, limit, now);
    return report;
}

void poison_request_detector::add_answers(crash_report& report, std::size_t limit,
                                          base::time_point now)
{
    std::set<std::uint64_t> suspected_parts;
    for (auto const& [key, state] : m_events)
        suspected_parts.insert(std::get<0>(key));
    std::vector<std::uint64_t> candidates;
    for (auto const part : suspected_parts)
        if (auto const found = m_answers.find(part);
            found != m_answers.end() &&
            (found->second.last_local_answer || found->second.transmissions > 0))
            candidates.push_back(part);
    auto const next = std::upper_bound(candidates.begin(), candidates.end(), m_last_sent_answer);
    std::rotate(candidates.begin(), next, candidates.end());
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&](auto part) { return m_answers.at(part).transmissions > 0; });
    if (candidates.size() > limit)
        candidates.resize(limit);
    for (auto const part : candidates)
    {
        auto& answer = m_answers.at(part);
        auto time = answer.last_answer;
        if (answer.transmissions > 0)
        {
            --answer.transmissions;
            report.has_news = report.has_news || answer.is_local_news;
            report.has_more_news = report.has_more_news || answer.transmissions > 0;
        }
        else
        {
            m_last_sent_answer = part;
            time = *answer.last_local_answer;
        }
        report.answered_parts.push_back(
            {part, std::chrono::ceil<base::milliseconds>(now - time).count()});
    }
}

std::size_t poison_request_detector::count_news() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_events.begin(), m_events.end(),
                                                  [](auto const& entry)
                                                  { return entry.second.transmissions > 0; }));
}

std::size_t poison_request_detector::size() const
{
    std::lock_guard lock(m_mutex);
    return m_events.size();
}

bool poison_request_detector::try_reserve_server(std::string const& server)
{
    std::lock_guard lock(m_mutex);
    return m_reserved_servers.insert(server).second;
}

void poison_request_detector::release_server(std::string const& server)
{
    std::lock_guard lock(m_mutex);
    m_reserved_servers.erase(server);
}

bool poison_request_detector::insert(crash_event const& event, base::time_point now,
                                     int transmissions)
{
    auto const age = std::clamp<base::milliseconds>(
        event.age_milliseconds ? base::milliseconds(*event.age_milliseconds)
                               : base::milliseconds(std::chrono::seconds(event.age_seconds)),
        base::milliseconds(0), event_lifetime);
    if (age >= event_lifetime)
        return false;
    base::time_point const time = now - age;
    auto const [found, added] = m_events.try_emplace(
        {event.fingerprint, event.server, event.instance}, event_state{time, transmissions});
    if (time + age_resolution < found->second.time)
        found->second.time = time;
    if (m_events.size() > maximum_events)
        evict_oldest_event();
    return added;
}

void poison_request_detector::drop_expired(base::time_point now)
{
    std::erase_if(m_events,
                  [&](auto const& entry) { return now - entry.second.time >= event_lifetime; });
}

void poison_request_detector::evict_oldest_event()
{
    auto oldest_rejected = m_events.end();
    auto oldest_other = m_events.end();
    for (auto group = m_events.begin(); group != m_events.end();)
    {
        auto oldest = group;
        std::size_t crashes = 0;
        auto entry = group;
        for (; entry != m_events.end() && std::get<0>(entry->first) == std::get<0>(group->first);
             ++entry, ++crashes)
            if (entry->second.time < oldest->second.time)
                oldest = entry;
        auto& candidate = crashes < rejection_threshold ? oldest_other : oldest_rejected;
        if (candidate == m_events.end() || oldest->second.time < candidate->second.time)
            candidate = oldest;
        group = entry;
    }
    // A disruption of many servers must not clear the requests and parts that are rejected.
    m_events.erase(oldest_other != m_events.end() ? oldest_other : oldest_rejected);
}

void poison_request_detector::drop_old_answers()
{
    if (m_answers.size() <= maximum_answered_parts)
        return;
    std::vector<base::time_point> times;
    times.reserve(m_answers.size());
    for (auto const& [part, answer] : m_answers)
        times.push_back(answer.last_answer);
    auto const middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    // Without its answer, a part would be suspected again because of crashes before it.
    auto const has_crashes = [&](std::uint64_t part)
    {
        auto const event = m_events.lower_bound({part, "", ""});
        return event != m_events.end() && std::get<0>(event->first) == part;
    };
    std::erase_if(m_answers, [&](auto const& entry)
                  { return entry.second.last_answer <= *middle && !has_crashes(entry.first); });
}

crash_event poison_request_detector::make_event(event_key const& key, base::time_point time,
                                                base::time_point now)
{
    auto const age = now - time;
    return {std::get<0>(key), std::get<1>(key), std::get<2>(key),
            std::chrono::ceil<std::chrono::seconds>(age).count(),
            std::chrono::ceil<base::milliseconds>(age).count()};
}

} // namespace jasminepier::decision
