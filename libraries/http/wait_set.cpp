#include "http/wait_set.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace jasminepier::http
{

wakeup::wakeup() : m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

wakeup::~wakeup()
{
    ::close(m_descriptor);
}

void wakeup::signal() noexcept
{
    // Writing fails only if the counter is full; the thread is woken in that case, too.
    [[maybe_unused]] auto const written = ::eventfd_write(m_descriptor, 1);
}

void wakeup::clear() noexcept
{
    eventfd_t value = 0;
    // Reading fails if no signal is pending.
    [[maybe_unused]] auto const received = ::eventfd_read(m_descriptor, &value);
}

void wait_set::wait(base::time_point deadline)
{
    auto const remaining = deadline - base::steady_clock_source{}.now();
    // Round up so that poll() does not return just before the deadline.
    auto const timeout = std::clamp<std::int64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(remaining).count(), 0, 60000);
    for (auto& entry : m_entries)
        entry.revents = 0;
    if (::poll(m_entries.data(), m_entries.size(), static_cast<int>(timeout)) < 0)
        for (auto& entry : m_entries)
            entry.revents = 0;
}

} // namespace jasminepier::http
