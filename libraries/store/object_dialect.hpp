/// How an object API spells its calls and answers.
#pragma once

#include "base/error.hpp"
#include "store/object.hpp"

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::store
{

/// One call as it goes over HTTP.
struct store_request
{
    std::string method;
    std::string path;
    /// A header field for conditional calls; an empty name means none.
    std::string condition_name;
    std::string condition;
    std::string body;
};

/// What the status of an answer to a write says. Statuses that are listed nowhere leave the outcome
/// unknown.
enum class write_response
{
    applied,
    /// The condition did not hold.
    conflict,
    /// The store promises that nothing was done.
    refused,
    unknown,
};

/// Names, paths and formats of one object API. Dialects hold no state and decide nothing.
template <class T>
concept object_dialect = requires(std::string const& text, object const& value,
                                  std::int64_t version, std::vector<std::string> const& kinds,
                                  std::chrono::milliseconds wait, int status)
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
};

} // namespace jasminepier::store
