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

/// Parses a response of a store whose objects have their values in the member `value_member`.
/// Values that cannot be parsed are read as null: other writers may store any value, and one that
/// is too deep or has a number out of range must not hide the other objects.
base::result<base::json_object> parse_response(std::string const& body,
                                               std::string const& value_member);

/// Parses the body of a list or watch response. Fails with bad_request or platform_unavailable.
base::result<object_page> parse_page(std::string const& body, page_kind kind);

} // namespace jasminepier::store
