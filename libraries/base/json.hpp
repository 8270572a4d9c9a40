/// Type-checked access to JSON documents, on top of Poco's parser and writer.
#pragma once

#include "base/error.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::base
{

using json_object = Poco::JSON::Object::Ptr;
using json_array = Poco::JSON::Array::Ptr;

/// Maximum nesting depth; deeper documents are rejected, since they could exhaust the stack.
inline constexpr int maximum_json_depth = 32;

/// Fails with bad_request if `text` is not valid JSON, is not an object, or nests deeper than
/// `maximum_json_depth`.
result<json_object> parse_json_object(std::string_view text);

/// Returns `text` with the values of the outermost members `name` that cannot be parsed by
/// themselves replaced by null, so that one of them does not make the whole document unreadable.
/// Text that is no JSON apart from these values may be returned as it is.
std::string replace_unreadable_members(std::string_view text, std::string_view name);

/// Serializes `object` without line breaks.
std::string write_json(json_object const& object);

/// Each `read_` function returns the member `name`. It fails with bad_request and names the member
/// if it is missing, null, of another type or out of range.
result<std::string> read_string(json_object const& object, std::string const& name);
result<std::int64_t> read_integer(json_object const& object, std::string const& name);
result<double> read_number(json_object const& object, std::string const& name);
result<json_object> read_object(json_object const& object, std::string const& name);

/// Each `_or` function returns `default_value` if the member is missing or null, and fails with
/// bad_request if it is of another type.
result<std::string> read_string_or(json_object const& object, std::string const& name,
                                   std::string default_value);
result<std::int64_t> read_integer_or(json_object const& object, std::string const& name,
                                     std::int64_t default_value);
result<double> read_number_or(json_object const& object, std::string const& name,
                              double default_value);
result<bool> read_bool_or(json_object const& object, std::string const& name, bool default_value);

/// Returns an empty list if the member is missing or null. Fails with bad_request if it is not a
/// list of strings.
result<std::vector<std::string>> read_string_list(json_object const& object,
                                                  std::string const& name);

} // namespace jasminepier::base
