/// Pool of idle connections to servers.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"

#include <Poco/Net/StreamSocket.h>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace jasminepier::node
{

/// Keeps idle connections for each server. Only idempotent requests may use them: if the server
/// closes the connection while the request is sent, it is unknown whether the request ran.
/// Thread-safe.
class connection_pool
{
public:
    /// Servers close idle connections after a few seconds; the pool drops them well before that.
    static constexpr base::milliseconds maximum_idle_time{2000};
    static constexpr std::size_t maximum_connections_per_server = 8;

    /// Returns an open connection without unexpected input, if there is one.
    std::optional<Poco::Net::StreamSocket> try_acquire(std::string const& server,
                                                       base::time_point now);
    /// Adds a connection for reuse. `keep_alive` is the server's own idle timeout, if it states
    /// one.
    void release(std::string const& server, Poco::Net::StreamSocket const& connection,
                 std::optional<base::milliseconds> keep_alive, base::time_point now);
    void close_expired(base::time_point now);

private:
    struct idle_connection
    {
        Poco::Net::StreamSocket socket;
        base::time_point expires_at;
    };

    base::ordered_mutex<base::lock_level::connection_pool> m_mutex;
    std::map<std::string, std::deque<idle_connection>> m_connections;
};

} // namespace jasminepier::node
