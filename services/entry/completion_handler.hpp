/// Serves `POST /v1/chat/completions`.
#pragma once

#include "services/entry/entry_state.hpp"
#include "services/entry/http_messages.hpp"
#include "services/entry/serving_state.hpp"

namespace jasminepier::entry
{

/// Serves a completion for `customer`. Returns an error only if no byte of the response was sent.
base::result<void> serve_completion(entry_state& state, serving_state& serving,
                                    configuration::customer const& customer, http_request& request,
                                    http_response& response);

} // namespace jasminepier::entry
