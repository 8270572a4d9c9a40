#include "decision/cold_start.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::decision
{

int count_local_slots(std::string_view server, std::span<std::string const> nodes,
                      std::string_view self, int slots)
{
    auto const own_weight = base::rendezvous_weight(server, self);
    int position = 0;
    bool listed = false;
    for (auto const& node : nodes)
    {
        listed = listed || node == self;
        if (node != self && base::rendezvous_weight(server, node) > own_weight)
            ++position;
    }
    if (!listed || position >= slots)
        return 0;
    return 1 + (slots - 1 - position) / static_cast<int>(nodes.size());
}

void cold_start::turn_cold(int allowance)
{
    m_cold = true;
    m_allowance = allowance > 0 ? allowance : default_allowance;
    m_good = 0;
    m_warm_reports = 0;
    m_slow = 0;
    m_usable = 0;
    m_gained = 0;
}

void cold_start::assign_slots(int slots, base::time_point list_changed_at, base::time_point now)
{
    if (list_changed_at != m_list_changed_at)
    {
        m_usable = usable_slots(now);
        m_list_changed_at = list_changed_at;
    }
    m_gained = slots;
    m_usable = std::min(m_usable, slots);
}

int cold_start::usable_slots(base::time_point now) const noexcept
{
    return now >= m_list_changed_at + gain_delay ? m_gained : m_usable;
}

bool cold_start::note_time(bool slow)
{
    m_slow = slow ? m_slow + 1 : 0;
    return m_slow == slow_times_in_a_row && !m_cold;
}

bool cold_start::note_good(int full)
{
    if (!m_cold || m_report_cold || ++m_good < evidence_per_doubling)
        return false;
    return grow(full);
}

bool cold_start::note_warm_report(int full)
{
    m_report_cold = false;
    if (!m_cold || ++m_warm_reports < reports_per_doubling)
        return false;
    return grow(full);
}

bool cold_start::grow(int full)
{
    m_good = 0;
    m_warm_reports = 0;
    m_allowance *= 2;
    if (m_allowance >= full)
        m_cold = false;
    return true;
}

} // namespace jasminepier::decision
