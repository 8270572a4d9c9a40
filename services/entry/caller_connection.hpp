/// Checks and limits on the connection to a caller.
#pragma once

#include "services/entry/http_messages.hpp"

namespace jasminepier::entry
{

/// Returns true if the caller has closed the connection. Does not block.
bool caller_disconnected(http_request& request);

/// Lets writes fail if the caller reads nothing for `write_timeout_seconds`. Otherwise such a
/// caller would occupy a worker indefinitely.
void set_write_timeout(http_request& request);
inline constexpr int write_timeout_seconds = 30;

} // namespace jasminepier::entry
