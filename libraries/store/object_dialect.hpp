/// The HTTP requests and responses of an object API.
#pragma once

#include "base/error.hpp"
#include "http/message.hpp"
#include "store/object.hpp"

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::store
{

/// An HTTP request to the store.
struct store_request
{
    std::string method;
    std::string path;
    /// Name of the header field with the precondition; empty for an unconditional request.
    std::string condition_name;
    std::string condition;
    std::string body;
};

/// Meaning of the status of a response to a write. A status without a documented meaning leaves the
/// outcome unknown.
enum class write_response
{
    applied,
    /// The condition did not hold.
    conflict,
    /// The store guarantees that nothing was written.
    refused,
    unknown,
};

/// Names, paths and formats of one object API. A dialect is stateless and only translates. The
/// versions that it reads and writes are the store's revisions.
template <class T>
concept object_dialect = requires(std::string const& text, object const& value,
                                  std::int64_t version, std::vector<std::string> const& kinds,
                                  std::chrono::milliseconds wait, int status,
                                  http::header_list const& headers)
{
    {
        T::get(text, text)
        } -> std::same_as<store_request>;
    {
        T::list(text, text)
        } -> std::same_as<store_request>;
    {
        T::create(value)
        } -> std::same_as<store_request>;
    {
        T::update(value)
        } -> std::same_as<store_request>;
    {
        T::remove(value)
        } -> std::same_as<store_request>;
    {
        T::watch(version, kinds, wait)
        } -> std::same_as<store_request>;
    {
        T::read_object(text, text)
        } -> std::same_as<base::result<object>>;
    {
        T::read_list(text, text)
        } -> std::same_as<base::result<object_page>>;
    {
        T::read_events(text, kinds)
        } -> std::same_as<base::result<object_page>>;
    {
        T::read_write_status(status)
        } -> std::same_as<write_response>;
    {
        T::read_epoch(headers)
        } -> std::same_as<std::int64_t>;
};

} // namespace jasminepier::store
