/// The closed table that decides what follows a failed attempt, and the budgets for retries.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "configuration/types.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>

namespace jasminepier::decision
{

/// How an attempt ended.
enum class attempt_failure
{
    /// The connection was refused or never established; no byte was sent.
    not_connected,
    /// The server answered that it does not take the work now (429 or 503).
    declined,
    /// The server answered that the request itself is wrong (any other 4xx).
    rejected,
    /// The connection broke, or the answer was an unexpected status or unreadable.
    connection_lost,
    /// Nothing arrived for the silence limit.
    silent,
    /// A token index was repeated or left out.
    sequence_broken,
    /// The server no longer knows the generation, or cannot be reached to resume it.
    generation_gone,
};
inline constexpr std::size_t attempt_failure_count = 7;

/// What the caller has received of the answer.
enum class delivery_progress
{
    nothing_delivered,
    partly_delivered,
};
inline constexpr std::size_t delivery_progress_count = 2;

enum class retry_action
{
    /// Start again on another server; the budget pays unless nothing was sent.
    rerun,
    /// Continue the same generation on the same server.
    resume,
    /// Start again on another server and continue when the new text begins with the delivered text.
    verified_replay,
    /// Report that the work was not run.
    report_not_run,
    /// Report an error that says that the outcome is unknown.
    report_unknown,
    /// Pass the server's refusal on.
    report_rejected,
};

/// Returns the entry of the table; it has one for every combination.
retry_action retry_action_for(configuration::work_kind kind, attempt_failure failure,
                              delivery_progress progress) noexcept;

std::string_view to_string(attempt_failure failure) noexcept;
std::string_view to_string(retry_action action) noexcept;

/// A token bucket that each request fills by `share` and each retry empties by one. Not
/// synchronized.
class retry_budget
{
public:
    /// One server's whole batch can be rerun at once when the server dies.
    static constexpr double capacity = 100;

    void add_request(double share) noexcept { m_level = std::min(capacity, m_level + share); }
    bool try_spend() noexcept
    {
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }
    double level() const noexcept { return m_level; }

private:
    double m_level = capacity;
};

/// The retry budgets of all services; synchronized.
class retry_budgets
{
public:
    void add_request(std::string const& service, double share)
    {
        std::lock_guard lock(m_mutex);
        m_budgets[service].add_request(share);
    }
    bool try_spend(std::string const& service)
    {
        std::lock_guard lock(m_mutex);
        return m_budgets[service].try_spend();
    }

private:
    base::ordered_mutex<base::lock_level::retry_budgets> m_mutex;
    std::map<std::string, retry_budget> m_budgets;
};

} // namespace jasminepier::decision
