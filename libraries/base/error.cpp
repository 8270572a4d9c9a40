#include "base/error.hpp"

#include <array>
#include <cstddef>

namespace jasminepier::base
{
namespace
{

constexpr std::array table{
    error_response{error_kind::bad_request, 400, "bad_request", "invalid_request_error",
                   execution_status::not_run, 0},
    error_response{error_kind::unauthorized, 401, "invalid_api_key", "authentication_error",
                   execution_status::not_run, 0},
    error_response{error_kind::not_found, 404, "not_found", "invalid_request_error",
                   execution_status::not_run, 0},
    error_response{error_kind::method_not_allowed, 405, "method_not_allowed",
                   "invalid_request_error", execution_status::not_run, 0},
    error_response{error_kind::payload_too_large, 413, "payload_too_large", "invalid_request_error",
                   execution_status::not_run, 0},
    error_response{error_kind::header_too_large, 431, "header_too_large", "invalid_request_error",
                   execution_status::not_run, 0},
    error_response{error_kind::idempotency_key_required, 400, "idempotency_key_required",
                   "invalid_request_error", execution_status::not_run, 0},
    error_response{error_kind::idempotency_key_reused, 422, "idempotency_key_reused",
                   "invalid_request_error", execution_status::not_run, 0},
    error_response{error_kind::in_progress, 409, "in_progress", "conflict_error",
                   execution_status::unknown, 2},
    error_response{error_kind::conflict, 409, "conflict", "conflict_error",
                   execution_status::not_run, 0},
    error_response{error_kind::overloaded, 429, "overloaded", "rate_limit_error",
                   execution_status::not_run, 2},
    error_response{error_kind::deadline_exceeded, 503, "deadline_exceeded", "server_error",
                   execution_status::not_run, 2},
    error_response{error_kind::timed_out, 504, "timed_out", "server_error",
                   execution_status::unknown, 0},
    error_response{error_kind::request_timeout, 408, "request_timeout", "invalid_request_error",
                   execution_status::not_run, 0},
    error_response{error_kind::node_isolated, 503, "node_isolated", "server_error",
                   execution_status::not_run, 1},
    error_response{error_kind::node_stopping, 503, "node_stopping", "server_error",
                   execution_status::not_run, 1},
    error_response{error_kind::not_ready, 503, "not_ready", "server_error",
                   execution_status::not_run, 1},
    error_response{error_kind::no_server, 503, "no_server", "server_error",
                   execution_status::not_run, 2},
    error_response{error_kind::stream_not_resumable, 503, "stream_not_resumable", "server_error",
                   execution_status::not_run, 1},
    error_response{error_kind::request_crashes_servers, 422, "request_crashes_servers",
                   "invalid_request_error", execution_status::unknown, 0},
    error_response{error_kind::server_unreachable, 503, "server_unreachable", "server_error",
                   execution_status::not_run, 1},
    error_response{error_kind::server_failed, 502, "server_failed", "server_error",
                   execution_status::unknown, 0},
    error_response{error_kind::generation_lost, 502, "generation_lost", "server_error",
                   execution_status::unknown, 1},
    error_response{error_kind::outcome_unknown, 502, "outcome_unknown", "server_error",
                   execution_status::unknown, 0},
    error_response{error_kind::platform_unavailable, 503, "platform_unavailable", "server_error",
                   execution_status::not_run, 5},
    error_response{error_kind::rate_limited, 429, "rate_limited", "rate_limit_error",
                   execution_status::not_run, 1},
    error_response{error_kind::stale_fencing_number, 409, "stale_fencing_number", "conflict_error",
                   execution_status::not_run, 0},
    error_response{error_kind::invalid_setting, 500, "invalid_setting", "server_error",
                   execution_status::not_run, 0},
    error_response{error_kind::internal, 500, "internal", "server_error", execution_status::unknown,
                   0},
};

static_assert(table.size() == static_cast<std::size_t>(error_kind::internal) + 1);

} // namespace

std::span<error_response const> error_response_table() noexcept
{
    return table;
}

error_response const& error_response_for(error_kind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view to_string(execution_status execution) noexcept
{
    switch (execution)
    {
    case execution_status::ran:
        return "ran";
    case execution_status::not_run:
        return "not_run";
    case execution_status::unknown:
        break;
    }
    return "unknown";
}

std::string_view to_string(error_kind kind) noexcept
{
    return error_response_for(kind).code;
}

} // namespace jasminepier::base
