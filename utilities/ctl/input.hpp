/// Reading of objects, files and confirmations.
#pragma once

#include "store/http_object_store.hpp"

#include <optional>
#include <string>

namespace jasminepier::ctl
{

/// Longest object that the platform stores, bytes.
inline constexpr std::size_t maximum_object_bytes = 1U << 20U;

/// Reads a file, or standard input when `path` is "-". Fails with not_found and payload_too_large.
base::result<std::string> read_input(std::string const& path);

/// Returns the object, or nothing when it does not exist.
base::result<std::optional<store::object>>
find_object(store::http_object_store& store, std::string const& kind, std::string const& name);

/// Fails with bad_request unless `name` can be the name of an object: 1 to 63 lower-case letters,
/// digits, dots, underscores and hyphens.
base::result<void> check_name(std::string const& name);

enum class confirmation
{
    given,
    refused,
};

/// Asks on the terminal; without a terminal the answer is `refused`.
confirmation ask(std::string const& question);

} // namespace jasminepier::ctl
