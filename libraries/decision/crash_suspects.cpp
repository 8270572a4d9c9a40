#include "decision/crash_suspects.hpp"

#include <algorithm>

namespace jasminepier::decision
{

bool crash_suspects::record(crash_event const& event, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    return insert(event, now);
}

void crash_suspects::merge(std::span<crash_event const> events, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    for (auto const& event : events)
        insert(event, now);
}

crash_verdict crash_suspects::judge(std::uint64_t fingerprint, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    std::size_t count = 0;
    for (auto found = m_events.lower_bound({fingerprint, "", ""});
         found != m_events.end() && std::get<0>(found->first) == fingerprint; ++found)
        ++count;
    if (count >= refusal_threshold)
        return crash_verdict::refused;
    return count > 0 ? crash_verdict::suspect : crash_verdict::unsuspected;
}

std::vector<crash_event> crash_suspects::events(base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    std::vector<crash_event> held;
    held.reserve(m_events.size());
    for (auto const& [name, time] : m_events)
    {
        auto const age = std::chrono::ceil<std::chrono::seconds>(now - time);
        held.push_back({std::get<0>(name), std::get<1>(name), std::get<2>(name), age.count()});
    }
    return held;
}

std::size_t crash_suspects::size() const
{
    std::lock_guard lock(m_mutex);
    return m_events.size();
}

bool crash_suspects::try_occupy(std::string const& server)
{
    std::lock_guard lock(m_mutex);
    return m_occupied.insert(server).second;
}

void crash_suspects::vacate(std::string const& server)
{
    std::lock_guard lock(m_mutex);
    m_occupied.erase(server);
}

bool crash_suspects::insert(crash_event const& event, base::time_point now)
{
    auto const age = std::chrono::seconds(std::clamp<std::int64_t>(
        event.age_seconds, 0, static_cast<std::int64_t>(lifetime.count())));
    if (age >= lifetime)
        return false;
    auto const time = now - age;
    auto const [found, added] =
        m_events.try_emplace({event.fingerprint, event.server, event.instance}, time);
    found->second = std::min(found->second, time);
    if (m_events.size() > maximum_events)
        m_events.erase(std::min_element(m_events.begin(), m_events.end(),
                                        [](auto const& left, auto const& right)
                                        { return left.second < right.second; }));
    return added;
}

void crash_suspects::drop_expired(base::time_point now)
{
    std::erase_if(m_events, [&](auto const& entry) { return now - entry.second >= lifetime; });
}

} // namespace jasminepier::decision
