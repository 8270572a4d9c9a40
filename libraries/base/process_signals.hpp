/// Synchronous handling of the signals for shutdown and reload.
#pragma once

#include <chrono>

namespace jasminepier::base
{

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in threads that it starts later, and
/// ignores SIGPIPE. Call this first in main, so that no thread of a library receives the signals.
void block_process_signals();

/// Blocks until SIGTERM or SIGINT arrives.
void wait_for_shutdown_signal();

enum class process_signal
{
    /// SIGTERM or SIGINT.
    shutdown,
    /// SIGHUP: settings may have changed.
    reload,
    none,
};

/// Waits up to `timeout` for a signal. Returns process_signal::none if none arrives.
process_signal wait_for_signal(std::chrono::milliseconds timeout);

} // namespace jasminepier::base
