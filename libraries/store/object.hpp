/// Objects of the platform's store and the outcome of writes to it.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::store
{

/// An object in the platform's store. `value` is JSON text. `version` increases with every write to
/// the store, so it orders the writes to all objects; see object_version.hpp.
struct object
{
    std::string kind;
    std::string name;
    std::int64_t version = 0;
    std::string value;
    bool deleted = false;
};

/// Objects, and the version of the store at which they were read.
struct object_page
{
    std::int64_t version = 0;
    std::vector<object> objects;
    /// The name after which the next page of a list begins; unset on the last page.
    std::optional<std::string> next_after = std::nullopt;
};

/// What the client knows about a conditional write.
enum class write_status
{
    /// The write took effect; the object holds the new version.
    applied,
    /// The condition did not hold; the object is the stored one, marked deleted if there is none.
    conflict,
    /// The platform refused the request, so nothing was written.
    refused,
    /// The response was lost or late. The write may have taken effect or may still do so.
    unknown,
};

struct write_outcome
{
    write_status status = write_status::unknown;
    object current;
};

/// The operations on the platform's store that the rest of the system uses.
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
