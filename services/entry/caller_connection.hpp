/// The connection to a caller, looked after while an answer is prepared.
#pragma once

#include "services/entry/http_answer.hpp"

namespace jasminepier::entry
{

/// Returns true when the caller has closed the connection.
bool caller_is_gone(http_request& request);

/// Ends writes to a caller that reads nothing for `maximum_write_seconds`, so that it cannot occupy
/// a worker for good.
void limit_writes(http_request& request);
inline constexpr int maximum_write_seconds = 30;

} // namespace jasminepier::entry
