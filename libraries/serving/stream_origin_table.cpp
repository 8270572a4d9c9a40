#include "serving/stream_origin_table.hpp"

namespace jasminepier::serving
{

void stream_origin_table::add(stream_origin origin, bool from_own_zone, base::time_point now)
{
    auto const [found, added] =
        m_origins.try_emplace(origin.stream, dated_origin{origin, from_own_zone, now});
    found->second.time = now;
    m_order.emplace_back(now, origin.stream);
    while (m_origins.size() > maximum_origins)
        forget_oldest();
}

void stream_origin_table::record(std::string_view request_id, std::string_view service,
                                 version_hash version, base::time_point now)
{
    stream_origin const origin{hash_stream(request_id), version};
    add(origin, true, now);
    m_pending.push_back({origin, std::string(service)});
    if (m_pending.size() > maximum_origins)
        m_pending.pop_front();
}

void stream_origin_table::merge(std::span<stream_origin const> origins, bool from_own_zone,
                                base::time_point now)
{
    // Repeated reports of a stream don't prolong its time.
    for (auto const& origin : origins)
        if (!m_origins.contains(origin.stream))
            add(origin, from_own_zone, now);
}

std::optional<version_hash> stream_origin_table::find(std::string_view request_id) const
{
    auto const found = m_origins.find(hash_stream(request_id));
    return found == m_origins.end() ? std::nullopt : std::optional(found->second.origin.version);
}

std::vector<stream_origin> stream_origin_table::summarize(std::size_t limit,
                                                          base::time_point now) const
{
    std::vector<stream_origin> summary;
    for (auto item = m_order.rbegin(); item != m_order.rend() && summary.size() < limit; ++item)
    {
        if (now >= item->first + summary_period)
            break;
        auto const found = m_origins.find(item->second);
        if (found != m_origins.end() && found->second.from_own_zone &&
            found->second.time == item->first)
            summary.push_back(found->second.origin);
    }
    return summary;
}

void stream_origin_table::forget_oldest()
{
    auto const [time, stream] = m_order.front();
    m_order.pop_front();
    auto const found = m_origins.find(stream);
    if (found != m_origins.end() && found->second.time == time)
        m_origins.erase(found);
}

void stream_origin_table::expire(base::milliseconds window, base::time_point now)
{
    while (!m_order.empty() && now >= m_order.front().first + window)
        forget_oldest();
}

} // namespace jasminepier::serving
