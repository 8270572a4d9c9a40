/// The table of actions after a failed attempt, and retry budgets.
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
    /// The server responded that it can't take the work now (429 or 503).
    declined,
    /// The server responded that the request is invalid (any other 4xx).
    rejected,
    /// The connection was lost, or the response had an unexpected status or was malformed.
    connection_lost,
    /// Nothing arrived within the engine's silence timeout.
    silent,
    /// A token index was repeated or skipped.
    sequence_broken,
    /// The server no longer has the generation, or can't be reached to resume it.
    generation_gone,
};
inline constexpr std::size_t attempt_failure_count = 7;

/// How much of the response the caller has received.
enum class delivery_progress
{
    nothing_delivered,
    partly_delivered,
};
inline constexpr std::size_t delivery_progress_count = 2;

enum class retry_action
{
    /// Start again on another server. Consumes retry budget if the request was sent.
    rerun,
    /// Continue the same generation on the same server.
    resume,
    /// Start again on another server and continue if the new text begins with the delivered text.
    verified_replay,
    /// Report that the work was not executed.
    report_not_run,
    /// Report that the outcome is unknown.
    report_unknown,
    /// Forward the server's rejection.
    report_rejected,
};

/// Returns the action after a failed attempt. The table covers every combination.
retry_action retry_action_for(configuration::work_kind kind, attempt_failure failure,
                              delivery_progress progress) noexcept;

std::string_view to_string(attempt_failure failure) noexcept;
std::string_view to_string(retry_action action) noexcept;

/// A token bucket: each request adds a fraction of a token, each retry consumes one. Not
/// synchronized.
class retry_budget
{
public:
    /// Enough to rerun the full batch of one server that dies.
    static constexpr double capacity = 100;

    void add_request(double fraction) noexcept
    {
        m_tokens = std::min(capacity, m_tokens + fraction);
    }
    /// Consumes a token. Returns false if none is available.
    bool try_spend() noexcept
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }
    double available() const noexcept { return m_tokens; }

private:
    double m_tokens = capacity;
};

/// The retry budgets of all services. Thread-safe.
class retry_budgets
{
public:
    void add_request(std::string const& service, double fraction)
    {
        std::lock_guard lock(m_mutex);
        m_budgets[service].add_request(fraction);
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
