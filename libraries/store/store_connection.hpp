/// A single HTTP request to the platform's store.
#pragma once

#include "base/error.hpp"
#include "http/message.hpp"
#include "store/object_dialect.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace jasminepier::store
{

/// Size of a response, and of all pages of a list together, above which a call fails. The objects
/// of the largest fleet planned for take less than 2 MiB, and a node has 88 MiB for everything.
inline constexpr std::size_t maximum_response_bytes = std::size_t{8} * 1024 * 1024;

struct http_object_store_settings
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    /// Time until a connection is established, until the response to any call but a watch begins,
    /// and from there until it ends, plus the time that its size takes on a slow link.
    std::chrono::milliseconds call_timeout{2000};
    std::chrono::milliseconds watch_timeout{20000};
    /// Time allowed for a watch response beyond the wait that the request asks for.
    std::chrono::milliseconds watch_margin{2000};
};

struct store_response
{
    int status = 0;
    http::header_list headers;
    std::string body;
};

/// Sends `request` on a new connection and reads the complete response. Fails with
/// platform_unavailable if the response does not begin within `timeout`, arrives too slowly or
/// exceeds `maximum_response_bytes`, or if `is_cancelled` returns true before it begins.
base::result<store_response> perform_request(http_object_store_settings const& settings,
                                             store_request const& request,
                                             std::chrono::milliseconds timeout,
                                             std::function<bool()> const& is_cancelled = {});

/// Maps a status other than 200 to an error kind.
base::error_kind error_kind_for_status(int status) noexcept;

} // namespace jasminepier::store
