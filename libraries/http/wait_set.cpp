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
    // A full counter means that the thread is woken anyway.
    [[maybe_unused]] auto const written = ::eventfd_write(m_descriptor, 1);
}

void wakeup::clear() noexcept
{
    eventfd_t value = 0;
    // Fails only when there was no signal.
    [[maybe_unused]] auto const received = ::eventfd_read(m_descriptor, &value);
}

void wait_set::wait(base::time_point until)
{
    auto const left = until - base::steady_clock_source{}.now();
    // Rounded up, so that a wait never ends just before the time that it waits for.
    auto const timeout = std::clamp<std::int64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(left).count(), 0, 60000);
    for (auto& entry : m_entries)
        entry.revents = 0;
    if (::poll(m_entries.data(), m_entries.size(), static_cast<int>(timeout)) < 0)
        for (auto& entry : m_entries)
            entry.revents = 0;
}

} // namespace jasminepier::http
