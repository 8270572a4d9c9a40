#include "decision/poison_request_detector.hpp"

#include <algorithm>

namespace jasminepier::decision
{

bool poison_request_detector::record(crash_event const& event, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    return insert(event, now);
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
    std::size_t count = 0;
    for (auto found = m_events.lower_bound({fingerprint, "", ""});
         found != m_events.end() && std::get<0>(found->first) == fingerprint; ++found)
        ++count;
    if (count >= rejection_threshold)
        return poison_verdict::rejected;
    return count > 0 ? poison_verdict::suspected : poison_verdict::clean;
}

std::vector<crash_event> poison_request_detector::events(base::time_point now)
{
    std::lock_guard lock(m_mutex);
    drop_expired(now);
    std::vector<crash_event> current;
    current.reserve(m_events.size());
    for (auto const& [key, time] : m_events)
    {
        auto const age = std::chrono::ceil<std::chrono::seconds>(now - time);
        current.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), age.count()});
    }
    return current;
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

bool poison_request_detector::insert(crash_event const& event, base::time_point now)
{
    auto const age = std::chrono::seconds(std::clamp<std::int64_t>(
        event.age_seconds, 0, static_cast<std::int64_t>(event_lifetime.count())));
    if (age >= event_lifetime)
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

void poison_request_detector::drop_expired(base::time_point now)
{
    std::erase_if(m_events,
                  [&](auto const& entry) { return now - entry.second >= event_lifetime; });
}

} // namespace jasminepier::decision
