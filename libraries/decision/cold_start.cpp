#include "decision/cold_start.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::decision
{

int count_local_slots(std::string_view server, std::span<std::string const> nodes,
                      std::string_view local_node, int slots)
{
    auto const local_weight = base::rendezvous_weight(server, local_node);
    int rank = 0;
    bool listed = false;
    for (auto const& node : nodes)
    {
        listed = listed || node == local_node;
        if (node != local_node && base::rendezvous_weight(server, node) > local_weight)
            ++rank;
    }
    if (!listed || rank >= slots)
        return 0;
    return 1 + (slots - 1 - rank) / static_cast<int>(nodes.size());
}

void cold_start::mark_cold(int slot_limit)
{
    m_cold = true;
    m_slot_limit = slot_limit > 0 ? slot_limit : default_slot_limit;
    m_successes = 0;
    m_warm_reports = 0;
    m_consecutive_slow_times = 0;
    m_usable_slots = 0;
    m_assigned_slots = 0;
}

void cold_start::assign_slots(int slots, base::time_point node_list_changed_at,
                              base::time_point now)
{
    if (node_list_changed_at != m_node_list_changed_at)
    {
        m_usable_slots = usable_slots(now);
        m_node_list_changed_at = node_list_changed_at;
    }
    m_assigned_slots = slots;
    m_usable_slots = std::min(m_usable_slots, slots);
}

int cold_start::usable_slots(base::time_point now) const noexcept
{
    return now >= m_node_list_changed_at + slot_gain_delay ? m_assigned_slots : m_usable_slots;
}

bool cold_start::record_token_time(bool slow)
{
    m_consecutive_slow_times = slow ? m_consecutive_slow_times + 1 : 0;
    return m_consecutive_slow_times == consecutive_slow_times && !m_cold;
}

bool cold_start::record_success(int batch_slots)
{
    if (!m_cold || m_last_report_cold || ++m_successes < successes_per_doubling)
        return false;
    return double_slot_limit(batch_slots);
}

bool cold_start::record_warm_report(int batch_slots)
{
    m_last_report_cold = false;
    if (!m_cold || ++m_warm_reports < reports_per_doubling)
        return false;
    return double_slot_limit(batch_slots);
}

bool cold_start::double_slot_limit(int batch_slots)
{
    m_successes = 0;
    m_warm_reports = 0;
    m_slot_limit *= 2;
    if (m_slot_limit >= batch_slots)
        m_cold = false;
    return true;
}

} // namespace jasminepier::decision
