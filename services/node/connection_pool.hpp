/// Open connections to servers that wait for their next request.
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

/// Keeps connections per server. Only repeatable requests use them: a connection that the server
/// closes at the same moment leaves open whether the request ran. Synchronized.
class connection_pool
{
public:
    /// Servers close idle connections after a few seconds; a connection is used well before that.
    static constexpr base::milliseconds longest_idle{2000};
    static constexpr std::size_t most_per_server = 8;

    /// Returns an open connection on which nothing unexpected has arrived.
    std::optional<Poco::Net::StreamSocket> take(std::string const& server, base::time_point now);
    /// `idle` is the time for which the server keeps the connection, when it says so.
    void put(std::string const& server, Poco::Net::StreamSocket const& connection,
             std::optional<base::milliseconds> idle, base::time_point now);
    /// Closes connections that have been idle for too long.
    void expire(base::time_point now);

private:
    struct idle_connection
    {
        Poco::Net::StreamSocket socket;
        base::time_point until;
    };

    base::ordered_mutex<base::lock_level::connection_pool> m_mutex;
    std::map<std::string, std::deque<idle_connection>> m_idle;
};

} // namespace jasminepier::node
