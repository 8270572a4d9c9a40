#include "base/process_signals.hpp"

#include <csignal>

namespace jasminepier::base
{
namespace
{

sigset_t shutdown_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

sigset_t handled_signals()
{
    auto signals = shutdown_signals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void block_process_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_shutdown_signal()
{
    auto const signals = shutdown_signals();
    int received = 0;
    sigwait(&signals, &received);
}

process_signal wait_for_signal(std::chrono::milliseconds timeout)
{
    auto const signals = handled_signals();
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    timespec const timeout_spec{
        seconds.count(),
        std::chrono::duration_cast<std::chrono::nanoseconds>(timeout - seconds).count()};
    auto const received = sigtimedwait(&signals, nullptr, &timeout_spec);
    if (received == SIGHUP)
        return process_signal::reload;
    return received > 0 ? process_signal::shutdown : process_signal::none;
}

} // namespace jasminepier::base
