#include "membership/member_table.hpp"

#include <algorithm>

namespace jasminepier::membership
{

std::string crash_record_set::make_key(crash_record const& record)
{
    return std::to_string(record.fingerprint) + '/' + record.server_id + '/' + record.instance;
}

bool crash_record_set::merge(base::time_point now, crash_record const& record)
{
    if (record.age_seconds < 0 || record.age_seconds >= expiry_seconds)
        return false;
    auto const crash_time = now - std::chrono::seconds(record.age_seconds);
    auto const [position, added] =
        m_records.try_emplace(make_key(record), stored_record{record, crash_time});
    // Ages are transferred in whole seconds, so a repeated record can seem younger. The earliest
    // time counts.
    position->second.crash_time = std::min(position->second.crash_time, crash_time);
    if (added && m_records.size() > maximum_records)
        m_records.erase(
            std::min_element(m_records.begin(), m_records.end(),
                             [](auto const& left, auto const& right)
                             { return left.second.crash_time < right.second.crash_time; }));
    return added;
}

std::vector<crash_record> crash_record_set::records(base::time_point now)
{
    expire(now);
    std::vector<crash_record> current_records;
    current_records.reserve(m_records.size());
    for (auto const& [key, entry] : m_records)
        current_records.push_back(*find(now, key));
    return current_records;
}

std::optional<crash_record> crash_record_set::find(base::time_point now,
                                                   std::string const& key) const
{
    auto const found = m_records.find(key);
    if (found == m_records.end())
        return std::nullopt;
    auto record = found->second.record;
    record.age_seconds = static_cast<std::int32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now - found->second.crash_time).count());
    return record;
}

void crash_record_set::expire(base::time_point now)
{
    std::erase_if(m_records,
                  [now](auto const& entry) {
                      return now - entry.second.crash_time >= std::chrono::seconds(expiry_seconds);
                  });
}

} // namespace jasminepier::membership
