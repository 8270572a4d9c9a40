/// Limits the concurrency of a server that is still warming up (slow start).
#pragma once

#include "base/clock.hpp"

#include <span>
#include <string>
#include <string_view>

namespace jasminepier::decision
{

/// Returns how many of a cold server's `slots` are assigned to `local_node`. Slots are assigned
/// round robin in the rendezvous-hashing order of the configured node list, so nodes with the same
/// list agree without communication.
int count_local_slots(std::string_view server, std::span<std::string const> nodes,
                      std::string_view local_node, int slots);

/// Slow-start state of one server. A cold server has a small slot limit that doubles with successes
/// until it reaches the batch size. Not synchronized.
class cold_start
{
public:
    /// Delay before newly assigned slots become usable. It exceeds the 12 s in which a changed node
    /// list reaches every node, so the slot's previous owner has released it.
    static constexpr std::chrono::seconds slot_gain_delay{15};
    static constexpr int default_slot_limit = 2;
    /// Timely first tokens or completions that double the slot limit.
    static constexpr int successes_per_doubling = 8;
    /// Load reports with a warm state that double the slot limit. A node without slots receives no
    /// tokens and depends on these reports.
    static constexpr int reports_per_doubling = 5;
    /// Consecutive slow token times after which a server counts as cold.
    static constexpr int consecutive_slow_times = 5;

    bool is_cold() const noexcept { return m_cold; }
    int slot_limit() const noexcept { return m_slot_limit; }

    /// Marks the server cold and limits it to `slot_limit` slots; 0 selects the default.
    void mark_cold(int slot_limit);
    void mark_warm() noexcept { m_cold = false; }
    /// Sets the number of slots assigned to this node by the node list that has applied since
    /// `node_list_changed_at`. Slots gained through a new list become usable after
    /// `slot_gain_delay`; lost slots become unusable at once. Slots gained through a higher slot
    /// limit need no delay, because no other node owned them under the same list.
    void assign_slots(int slots, base::time_point node_list_changed_at, base::time_point now);
    /// Returns the slots that this node may use now. Meaningless while the server is warm.
    int usable_slots(base::time_point now) const noexcept;

    /// Records whether a token was slow. Returns true if a warm server has to be marked cold.
    bool record_token_time(bool slow);
    /// Records a timely first token or a completion. Returns true if the slot limit grew.
    /// `batch_slots` is the server's full batch size, at which the server becomes warm.
    bool record_success(int batch_slots);
    /// Records a load report with a warm state. Returns true if the slot limit grew.
    bool record_warm_report(int batch_slots);
    /// Records a load report with a cold state; successes don't raise the slot limit until a warm
    /// report follows.
    void record_cold_report() noexcept { m_last_report_cold = true; }

private:
    bool double_slot_limit(int batch_slots);

    bool m_cold = false;
    bool m_last_report_cold = false;
    int m_slot_limit = default_slot_limit;
    int m_successes = 0;
    int m_warm_reports = 0;
    int m_consecutive_slow_times = 0;
    int m_usable_slots = 0;
    int m_assigned_slots = 0;
    base::time_point m_node_list_changed_at{};
};

} // namespace jasminepier::decision
