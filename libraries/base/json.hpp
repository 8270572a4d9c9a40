/// Checked access to JSON documents; Poco does the parsing and writing.
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

/// Deeper documents are refused before they can exhaust the stack.
inline constexpr int maximum_json_depth = 32;

/// Parses a JSON object. Fails with bad_request on invalid text, on another type of document and on
/// nesting deeper than `maximum_json_depth`.
result<json_object> parse_json_object(std::string_view text);

/// Writes `object` without line breaks.
std::string write_json(json_object const& object);

/// Each `read_` function returns the member of that type; it fails with bad_request and names the
/// member when it is missing or of another type.
result<std::string> read_string(json_object const& object, std::string const& name);
result<std::int64_t> read_integer(json_object const& object, std::string const& name);
result<double> read_number(json_object const& object, std::string const& name);
result<json_object> read_object(json_object const& object, std::string const& name);

/// Each `_or` function returns `fallback` when the member is missing, and fails with bad_request
/// when it is of another type.
result<std::string> read_string_or(json_object const& object, std::string const& name,
                                   std::string fallback);
result<std::int64_t> read_integer_or(json_object const& object, std::string const& name,
                                     std::int64_t fallback);
result<double> read_number_or(json_object const& object, std::string const& name, double fallback);
result<bool> read_bool_or(json_object const& object, std::string const& name, bool fallback);

/// Returns a list of strings; a missing member is an empty list.
result<std::vector<std::string>> read_string_list(json_object const& object,
                                                  std::string const& name);

} // namespace jasminepier::base
