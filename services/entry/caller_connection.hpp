/// The connection to a caller, looked after while an answer is prepared.
#pragma once

#include "services/entry/http_messages.hpp"

namespace jasminepier::entry
{

/// Returns true when the caller has closed the connection.
bool caller_disconnected(http_request& request);

/// Ends writes to a caller that reads nothing for `maximum_write_seconds`, so that it cannot occupy
/// a worker for good.
void set_write_timeout(http_request& request);
inline constexpr int write_timeout_seconds = 30;

} // namespace jasminepier::entry
