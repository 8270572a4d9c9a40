/// Graceful shutdown of a process that serves callers.
#pragma once

#include "base/error.hpp"
#include "decision/shutdown_admission.hpp"
#include "http/wait_set.hpp"

#include <optional>

namespace jasminepier::serving
{

/// Tells the threads that serve requests which ones they may still start and until when they must
/// have responded, and wakes those that wait when the shutdown begins. Thread-safe.
class process_shutdown
{
public:
    /// Starts the shutdown; called once. All responses must have been sent at `end`; without it,
    /// the process waits for all its requests.
    void begin(base::time_point now, std::optional<base::time_point> end);
    bool begun() const noexcept { return m_admission.begun(); }
    decision::shutdown_admission const& admission() const noexcept { return m_admission; }

    /// Fails with `node_stopping` if a request that ends at `deadline` at the latest must not be
    /// started any more. Call this before every send, since the shutdown may have begun after the
    /// last one.
    base::result<void> check_start(std::optional<base::time_point> deadline) const;
    /// Returns the time by which a running request must have been answered.
    base::time_point response_deadline(base::time_point deadline) const noexcept
    {
        return m_admission.response_deadline(deadline);
    }

    /// Signalled when the shutdown begins and never cleared.
    http::wakeup& begin_event() noexcept { return m_begin_event; }
    /// Descriptor that wakes a thread when the shutdown begins; -1 afterwards. Call this before
    /// `response_deadline`, or a shutdown that begins between the two calls goes unnoticed.
    int pending_descriptor() const noexcept { return begun() ? -1 : m_begin_event.descriptor(); }
    /// Waits until `done()` returns true, which `event` announces. Returns false if the response is
    /// due before.
    template <class Condition>
    bool wait_for(http::wakeup& event, base::time_point deadline, Condition&& done) const
    {
        http::wait_set poll_set;
        while (!done())
        {
            poll_set.clear();
            poll_set.add(event.descriptor(), POLLIN);
            poll_set.add(pending_descriptor(), POLLIN);
            auto const end = response_deadline(deadline);
            if (base::steady_clock_source{}.now() >= end)
                return false;
            poll_set.wait(end);
            event.clear();
        }
        return true;
    }

private:
    decision::shutdown_admission m_admission;
    http::wakeup m_begin_event;
};

} // namespace jasminepier::serving
