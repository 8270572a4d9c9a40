/// One HTTP call to the platform's store.
#pragma once

#include "base/error.hpp"
#include "store/object_dialect.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace jasminepier::store
{

struct http_object_store_settings
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds call_timeout{2000};
    std::chrono::milliseconds watch_timeout{20000};
    /// How much longer than its wait a watch may take.
    std::chrono::milliseconds watch_margin{2000};
};

struct store_response
{
    int status = 0;
    std::string body;
};

/// Sends `call` on a new connection and reads the whole answer. Fails with platform_unavailable
/// when there is none within `timeout`, or when `gives_up` returns true before the answer begins.
base::result<store_response> perform_request(http_object_store_settings const& settings,
                                             store_request const& request,
                                             std::chrono::milliseconds timeout,
                                             std::function<bool()> const& is_cancelled = {});

/// Returns the kind of error that a status other than 200 stands for.
base::error_kind error_kind_for_status(int status) noexcept;

} // namespace jasminepier::store
