#include "base/process_signals.hpp"

#include <csignal>

namespace jasminepier::base
{
namespace
{

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

sigset_t stop_and_reload_signals()
{
    auto signals = stop_signals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void block_process_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const signals = stop_and_reload_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_shutdown_signal()
{
    auto const signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

process_signal wait_for_signal(std::chrono::milliseconds limit)
{
    auto const signals = stop_and_reload_signals();
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    timespec const wait{
        seconds.count(),
        std::chrono::duration_cast<std::chrono::nanoseconds>(limit - seconds).count()};
    auto const received = sigtimedwait(&signals, nullptr, &wait);
    if (received == SIGHUP)
        return process_signal::reload;
    return received > 0 ? process_signal::shutdown : process_signal::none;
}

} // namespace jasminepier::base
