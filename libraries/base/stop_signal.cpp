#include "base/stop_signal.hpp"

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

} // namespace

void block_stop_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal()
{
    auto const signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace jasminepier::base
