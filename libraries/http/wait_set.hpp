/// Waiting for several sockets and a wake-up at once.
#pragma once

#include "base/clock.hpp"

#include <poll.h>
#include <vector>

namespace jasminepier::http
{

/// Wakes a thread that waits in `wait_set::wait`. `signal` may be called on any thread.
class wakeup
{
public:
    /// Throws std::system_error when the process has no descriptor left.
    wakeup();
    wakeup(wakeup const&) = delete;
    wakeup& operator=(wakeup const&) = delete;
    ~wakeup();

    void signal() noexcept;
    /// Forgets the signals received so far.
    void clear() noexcept;
    int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor = -1;
};

/// The descriptors that one thread waits for. Filled anew before each wait.
class wait_set
{
public:
    /// Adds a descriptor and returns its place; negative descriptors are never ready.
    std::size_t add(int descriptor, short events)
    {
        m_entries.push_back({descriptor, events, 0});
        return m_entries.size() - 1;
    }
    void clear() noexcept { m_entries.clear(); }
    /// Waits until an entry is ready or `until` has passed.
    void wait(base::time_point until);
    short ready(std::size_t place) const noexcept { return m_entries[place].revents; }

private:
    std::vector<pollfd> m_entries;
};

} // namespace jasminepier::http
