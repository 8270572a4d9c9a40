/// Serves calls to plain services.
#pragma once

#include "services/entry/entry_state.hpp"
#include "services/entry/http_answer.hpp"

namespace jasminepier::entry
{

/// Serves `/v1/services/{service}/{path}`; `target` is the part after the prefix.
base::result<void> serve_plain_call(entry_state& state, configuration::customer const& customer,
                                    std::string const& target, http_request& request,
                                    http_response& response);

} // namespace jasminepier::entry
