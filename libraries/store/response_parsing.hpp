/// Parsing of responses of the platform's object API.
#pragma once

#include "base/json.hpp"
#include "store/object.hpp"

namespace jasminepier::store
{

enum class page_kind
{
    /// {"version","items":[object]}
    list,
    /// {"version","events":[{"type","object"}]}
    events,
};

/// Parses {"kind","name","version","value"}. Fails with bad_request.
base::result<object> parse_object(base::json_object const& source);

/// Parses the body of a list or watch response. Fails with bad_request or platform_unavailable.
base::result<object_page> parse_page(std::string const& body, page_kind kind);

} // namespace jasminepier::store
