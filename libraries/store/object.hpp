/// Objects of the platform's store and the outcome of calls to it.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::store
{

/// One object as the platform stores it. `value` is JSON text. `version` grows with every write to
/// the store, so it orders all writes to all objects.
struct object
{
    std::string kind;
    std::string name;
    std::int64_t version = 0;
    std::string value;
    bool deleted = false;
};

/// Objects and the store's version at which they were read.
struct object_page
{
    std::int64_t version = 0;
    std::vector<object> objects;
    /// Set when a list goes on: the name after which the next page begins.
    std::optional<std::string> next_after = std::nullopt;
};

/// What is known after a conditional write.
enum class write_status
{
    /// The write took effect; the object holds the new version.
    applied,
    /// The condition did not hold; the object is the one in the store (deleted when absent).
    conflict,
    /// The platform refused the call, so nothing was written.
    refused,
    /// The answer was lost or late: the write may or may not take effect, even later.
    unknown,
};

struct write_outcome
{
    write_status status = write_status::unknown;
    object current;
};

/// The platform's object API as the rest of the system uses it.
template <class T>
concept object_store = requires(T& store, std::string const& text, object const& value,
                                std::int64_t version, std::vector<std::string> const& kinds)
{
    {
        store.get(text, text)
        } -> std::same_as<base::result<object>>;
    {
        store.list(text)
        } -> std::same_as<base::result<object_page>>;
    {
        store.create(text, text, text)
        } -> std::same_as<write_outcome>;
    {
        store.update(value)
        } -> std::same_as<write_outcome>;
    {
        store.remove(value)
        } -> std::same_as<write_outcome>;
    {
        store.watch(version, kinds)
        } -> std::same_as<base::result<object_page>>;
};

} // namespace jasminepier::store
