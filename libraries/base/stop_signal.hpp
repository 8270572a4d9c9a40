/// Waiting for the signals that ask a program to stop.
#pragma once

namespace jasminepier::base
{

/// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later, and ignores
/// SIGPIPE. Call it first in main, so that no library thread takes the signal.
void block_stop_signals();

/// Waits until SIGTERM or SIGINT arrives.
void wait_for_stop_signal();

} // namespace jasminepier::base
