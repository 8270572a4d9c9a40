/// The closed list of error kinds and the table from kind to answer.
#pragma once

#include <boost/leaf.hpp>

#include <span>
#include <string>
#include <string_view>

namespace jasminepier::base
{

/// Every failure that the system reports is one of these kinds.
enum class error_kind
{
    bad_request,
    unauthorized,
    not_found,
    method_not_allowed,
    payload_too_large,
    header_too_large,
    idempotency_key_required,
    idempotency_key_reused,
    in_progress,
    conflict,
    overloaded,
    deadline_exceeded,
    timed_out,
    request_timeout,
    node_isolated,
    node_stopping,
    not_ready,
    no_server,
    request_crashes_servers,
    server_unreachable,
    server_failed,
    generation_lost,
    outcome_unknown,
    platform_unavailable,
    rate_limited,
    stale_fencing_number,
    invalid_setting,
    internal,
};

/// Says whether the caller's work was executed. `unknown` is never reported as `not_run`.
enum class execution_status
{
    ran,
    not_run,
    unknown,
};

/// One row of the table from error kind to the answer that a caller receives.
struct error_response
{
    error_kind kind;
    int http_status;
    std::string_view code;
    std::string_view type;
    execution_status execution;
    /// Seconds for the Retry-After header; 0 means that a retry is not advised.
    int retry_after_seconds;
};

/// Returns the whole table, one row per kind, in the order of the enumeration.
std::span<error_response const> error_response_table() noexcept;

/// Returns the row of `kind`.
error_response const& error_response_for(error_kind kind) noexcept;

/// Returns "ran", "not_run" or "unknown".
std::string_view to_string(execution_status execution) noexcept;

/// Returns the stable code of `kind`, as used in answers and logs.
std::string_view to_string(error_kind kind) noexcept;

/// An error as it travels through results: its kind and a sentence for people.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
};

template <class T>
using result = boost::leaf::result<T>;

/// Creates a failed result.
inline boost::leaf::error_id fail(error_kind kind, std::string message)
{
    return boost::leaf::new_error(error{kind, std::move(message)});
}

/// Runs `body`, which returns a result, and calls `on_error(error const&)` when it fails. Both must
/// yield the same value type.
template <class Body, class OnError>
auto handle(Body&& body, OnError&& on_error)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](error const& failure) { return on_error(failure); },
        [&] {
            return on_error(error{error_kind::internal, "unexpected failure"});
        });
}

} // namespace jasminepier::base
