/// Waiting for the signals that ask a program to stop.
#pragma once

#include <chrono>

namespace jasminepier::base
{

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in threads that it starts later, and
/// ignores SIGPIPE. Call it first in main, so that no library thread takes the signal.
void block_process_signals();

/// Waits until SIGTERM or SIGINT arrives.
void wait_for_shutdown_signal();

enum class process_signal
{
    shutdown,
    /// SIGHUP: settings may have changed.
    reload,
    none,
};

/// Waits up to `limit` for a signal.
process_signal wait_for_signal(std::chrono::milliseconds limit);

} // namespace jasminepier::base
