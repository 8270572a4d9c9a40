/// Reads files, stored objects and the operator's confirmation.
#pragma once

#include "store/http_object_store.hpp"

#include <optional>
#include <string>

namespace jasminepier::ctl
{

/// Maximum size of an object on the platform, bytes.
inline constexpr std::size_t maximum_object_bytes = 1U << 20U;

/// Reads a file, or standard input if `path` is "-". Fails with not_found if the file cannot be
/// opened, and with payload_too_large above maximum_object_bytes.
base::result<std::string> read_input(std::string const& path);

/// Returns the object, or nothing if it does not exist.
base::result<std::optional<store::object>>
find_object(store::http_object_store& store, std::string const& kind, std::string const& name);

/// Fails with bad_request unless `name` is a valid object name: 1 to 63 lower-case letters, digits,
/// dots, underscores and hyphens, not starting with a dot.
base::result<void> check_name(std::string const& name);

enum class confirmation
{
    confirmed,
    declined,
};

/// Asks the operator on the terminal. Returns `declined` if standard input is not a terminal.
confirmation ask_for_confirmation(std::string const& question);

} // namespace jasminepier::ctl
