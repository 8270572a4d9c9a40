#include "services/node/connection_pool.hpp"

#include <algorithm>
#include <poll.h>

namespace jasminepier::node
{

std::optional<Poco::Net::StreamSocket> connection_pool::take(std::string const& server,
                                                             base::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto& idle = m_idle[server];
    while (!idle.empty())
    {
        auto const candidate = idle.back();
        idle.pop_back();
        pollfd entry{candidate.socket.impl()->sockfd(), POLLIN | POLLRDHUP, 0};
        bool const quiet = ::poll(&entry, 1, 0) == 0;
        if (quiet && now < candidate.until)
            return candidate.socket;
    }
    return std::nullopt;
}

void connection_pool::put(std::string const& server, Poco::Net::StreamSocket const& connection,
                          std::optional<base::milliseconds> idle, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto& kept = m_idle[server];
    // Half of what the server grants leaves time for a request on its way.
    auto const life = std::min(longest_idle, idle ? *idle / 2 : longest_idle);
    kept.push_back({connection, now + life});
    if (kept.size() > most_per_server)
        kept.pop_front();
}

void connection_pool::expire(base::time_point now)
{
    std::lock_guard lock(m_mutex);
    for (auto& [server, idle] : m_idle)
        std::erase_if(idle, [&](auto const& kept) { return now >= kept.until; });
    std::erase_if(m_idle, [](auto const& item) { return item.second.empty(); });
}

} // namespace jasminepier::node
