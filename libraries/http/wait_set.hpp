/// Waits for several sockets and wakeups with poll().
#pragma once

#include "base/clock.hpp"

#include <poll.h>
#include <vector>

namespace jasminepier::http
{

/// Wakes a thread that waits in `wait_set::wait` for this object's descriptor. `signal` is
/// thread-safe.
class wakeup
{
public:
    /// Throws std::system_error if no descriptor can be created.
    wakeup();
    wakeup(wakeup const&) = delete;
    wakeup& operator=(wakeup const&) = delete;
    ~wakeup();

    void signal() noexcept;
    /// Discards pending signals.
    void clear() noexcept;
    int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor = -1;
};

/// The descriptors that a thread waits for. The thread adds them again before each wait.
class wait_set
{
public:
    /// Adds a descriptor and returns its index for `ready`. Negative descriptors are never ready.
    std::size_t add(int descriptor, short events)
    {
        m_entries.push_back({descriptor, events, 0});
        return m_entries.size() - 1;
    }
    void clear() noexcept { m_entries.clear(); }
    /// Waits until a descriptor is ready, `deadline` has passed or a minute is over.
    void wait(base::time_point deadline);
    short ready(std::size_t index) const noexcept { return m_entries[index].revents; }

private:
    std::vector<pollfd> m_entries;
};

} // namespace jasminepier::http
