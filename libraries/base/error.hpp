/// The error kinds, the HTTP response to each of them, and the result type.
#pragma once

#include <boost/leaf.hpp>

#include <span>
#include <string>
#include <string_view>

namespace jasminepier::base
{

/// All kinds of errors that the system reports. The order is that of the response table.
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
    stream_not_resumable,
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

/// Whether a backend server executed the request. `not_run` is only reported if that is certain.
enum class execution_status
{
    ran,
    not_run,
    unknown,
};

/// The response that a caller receives for one kind of error.
struct error_response
{
    error_kind kind;
    int http_status;
    std::string_view code;
    std::string_view type;
    execution_status execution;
    /// Value of the Retry-After header; 0 omits the header, since a retry is not advised.
    int retry_after_seconds;
};

/// Returns one response per kind, in the order of the enumeration.
std::span<error_response const> error_response_table() noexcept;

error_response const& error_response_for(error_kind kind) noexcept;

/// Returns "ran", "not_run" or "unknown".
std::string_view to_string(execution_status execution) noexcept;

/// Returns the code of `kind`, as written in responses and logs; codes are stable.
std::string_view to_string(error_kind kind) noexcept;

/// The error of a failed result: its kind and a message for people.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
};

template <class T>
using result = boost::leaf::result<T>;

inline boost::leaf::error_id fail(error_kind kind, std::string message)
{
    return boost::leaf::new_error(error{kind, std::move(message)});
}

/// Returns the value of the result that `body` returns; if it failed, returns
/// `on_error(error const&)`. Both must have the same value type.
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
