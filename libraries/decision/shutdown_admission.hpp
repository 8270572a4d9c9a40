/// Admission of requests by a process that shuts down.
#pragma once

#include "base/clock.hpp"

#include <atomic>
#include <optional>

namespace jasminepier::decision
{

/// Decides which requests a process may still start while it shuts down. A process that ends breaks
/// off the requests that it runs, so it starts only those whose deadline lies before its end.
/// Estimates of a response's duration are not used: a single estimate is often far too short.
/// Thread-safe.
class shutdown_admission
{
public:
    /// Starts the shutdown; called once. Without an `end`, the process waits for all its requests.
    void begin(base::time_point now, std::optional<base::time_point> end);
    bool begun() const noexcept { return m_begun; }
    /// Returns the time since `begin`; negative for a time before it. Valid only after `begin`.
    base::milliseconds elapsed(base::time_point now) const noexcept;
    /// Returns true if a request may be started that ends at `deadline` at the latest. A request
    /// without a deadline may take any time.
    bool admits(std::optional<base::time_point> deadline) const noexcept;
    /// Returns the time at which a running request must have been answered: its own deadline or the
    /// end of the shutdown, whichever is earlier.
    base::time_point response_deadline(base::time_point deadline) const noexcept;

private:
    std::atomic<base::time_point> m_begin{};
    std::atomic<base::time_point> m_end{base::time_point::max()};
    std::atomic<bool> m_begun{false};
};

} // namespace jasminepier::decision
