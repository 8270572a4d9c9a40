/// Decides how much a server may carry while it is cold.
#pragma once

#include "base/clock.hpp"

#include <span>
#include <string>
#include <string_view>

namespace jasminepier::decision
{

/// Returns how many of a cold server's `slots` node `self` holds. Slots are dealt to the nodes in
/// rendezvous order of the configuration's node list, so that nodes with the same list agree.
int count_local_slots(std::string_view server, std::span<std::string const> nodes,
                      std::string_view self, int slots);

class cold_start
{
public:
    /// Longer than the 12 s in which a node list is in force everywhere, so that the previous
    /// holder of a slot has given it up.
    static constexpr std::chrono::seconds gain_delay{15};
    static constexpr int default_allowance = 2;
    /// Good first tokens or completions that double the allowance.
    static constexpr int evidence_per_doubling = 8;
    /// Reports of a warm state that double the allowance at a node that holds no slot and so sees
    /// no token times.
    static constexpr int reports_per_doubling = 5;
    /// Slow token times in a row that mark a server cold.
    static constexpr int slow_times_in_a_row = 5;

    bool cold() const noexcept { return m_cold; }
    int allowance() const noexcept { return m_allowance; }

    /// Marks the server cold with `allowance` slots (0: the default).
    void turn_cold(int allowance);
    void turn_warm() noexcept { m_cold = false; }
    /// Takes over how many slots this node holds under the node list in force since
    /// `list_changed_at`. Gains by a new list count after the delay, losses at once. Gains by a
    /// grown allowance need no delay, because no other node has held them under the same list.
    void assign_slots(int slots, base::time_point list_changed_at, base::time_point now);
    /// Slots usable now. Has no meaning while the server is warm.
    int usable_slots(base::time_point now) const noexcept;

    /// Records a token time; returns true when the server has just been found cold.
    bool note_time(bool slow);
    /// Records a good first token or completion; returns true when the allowance grew.
    bool note_good(int full);
    /// Records a report that says warm; returns true when the allowance grew.
    bool note_warm_report(int full);
    /// Records a report that says cold.
    void note_cold_report() noexcept { m_report_cold = true; }

private:
    bool grow(int full);

    bool m_cold = false;
    bool m_report_cold = false;
    int m_allowance = default_allowance;
    int m_good = 0;
    int m_warm_reports = 0;
    int m_slow = 0;
    int m_usable = 0;
    int m_gained = 0;
    base::time_point m_list_changed_at{};
};

} // namespace jasminepier::decision
