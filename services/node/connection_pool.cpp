#include "services/node/connection_pool.hpp"

#include <algorithm>
#include <poll.h>

namespace jasminepier::node
{

std::optional<Poco::Net::StreamSocket> connection_pool::try_acquire(std::string const& server,
                                                                    base::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto& connections = m_connections[server];
    while (!connections.empty())
    {
        auto const candidate = connections.back();
        connections.pop_back();
        pollfd entry{candidate.socket.impl()->sockfd(), POLLIN | POLLRDHUP, 0};
        bool const is_idle = ::poll(&entry, 1, 0) == 0;
        if (is_idle && now < candidate.expires_at)
            return candidate.socket;
    }
    return std::nullopt;
}

void connection_pool::release(std::string const& server, Poco::Net::StreamSocket const& connection,
                              std::optional<base::milliseconds> keep_alive, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto& connections = m_connections[server];
    // Half of the server's timeout, so that it does not close a connection while a request is on
    // its way.
    auto const lifetime =
        std::min(maximum_idle_time, keep_alive ? *keep_alive / 2 : maximum_idle_time);
    connections.push_back({connection, now + lifetime});
    if (connections.size() > maximum_connections_per_server)
        connections.pop_front();
}

void connection_pool::close_expired(base::time_point now)
{
    std::lock_guard lock(m_mutex);
    for (auto& [server, connections] : m_connections)
        std::erase_if(connections,
                      [&](auto const& connection) { return now >= connection.expires_at; });
    std::erase_if(m_connections, [](auto const& item) { return item.second.empty(); });
}

} // namespace jasminepier::node
