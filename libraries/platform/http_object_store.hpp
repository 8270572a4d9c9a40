/// The platform's object API over HTTP.
#pragma once

#include "platform/object.hpp"

#include <Poco/Net/SocketAddress.h>

#include <chrono>

namespace jasminepier::platform
{

struct http_object_store_settings
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds call_timeout{2000};
    std::chrono::milliseconds watch_timeout{20000};
};

/// A client of the object API; each call opens one connection, so that instances may be shared by
/// threads. Satisfies `object_store`.
class http_object_store
{
public:
    explicit http_object_store(http_object_store_settings settings);

    /// Fails with not_found, rate_limited or platform_unavailable.
    base::result<object> get(std::string const& kind, std::string const& name);
    base::result<object_page> list(std::string const& kind);

    /// Creates the object only if no object of that name exists.
    write_outcome create(std::string const& kind, std::string const& name,
                         std::string const& value);
    /// Replaces the value only if the stored version is still `changed.version`.
    write_outcome update(object const& changed);
    /// Deletes the object only if the stored version is still `existing.version`.
    write_outcome remove(object const& existing);

    /// Waits until an object of `kinds` changes after `version` and returns the changes; an empty
    /// page after the watch timeout. Fails with conflict when `version` is too old to watch from.
    base::result<object_page> watch(std::int64_t version, std::vector<std::string> const& kinds);

private:
    struct reply
    {
        int status = 0;
        std::string body;
    };
    base::result<reply> call(std::string const& method, std::string const& path,
                             std::string const& condition_name, std::string const& condition,
                             std::string const& body, std::chrono::milliseconds timeout);
    write_outcome write(std::string const& method, object const& target,
                        std::string const& condition_name, std::string const& condition);

    http_object_store_settings m_settings;
};

static_assert(object_store<http_object_store>);

} // namespace jasminepier::platform
