#include "serving/server_rate_limits.hpp"

#include <algorithm>

namespace jasminepier::serving
{

int server_rate_limits::count_permitted_requests(double requests_per_second)
{
    constexpr double maximum_per_window = 1e6;
    auto const accepted = requests_per_second * static_cast<double>(window.count());
    return static_cast<int>(
        std::min(accepted + used_tolerance * (tolerated_fraction * accepted + tolerated_requests),
                 maximum_per_window));
}

std::optional<base::time_point>
server_rate_limits::find_next_start(std::deque<base::time_point> const& start_times, int share)
{
    if (share <= 0)
        return std::nullopt;
    base::time_point earliest{};
    auto const apply_limit = [&](int requests, std::chrono::seconds duration)
    {
        auto const count = static_cast<std::size_t>(requests);
        if (start_times.size() >= count)
            earliest = std::max<base::time_point>(
                earliest, start_times[start_times.size() - count] + duration);
    };
    auto const seconds_per_window = static_cast<int>(window.count());
    apply_limit(share, window);
    apply_limit((share + seconds_per_window - 1) / seconds_per_window, std::chrono::seconds(1));
    return earliest;
}

bool server_rate_limits::record(server_hash server, rate_limit_statement const& statement)
{
    auto const found = m_statements.find(server);
    if (found == m_statements.end())
    {
        if (!statement.requests_per_second)
            return false;
        m_statements.emplace(server, statement);
        return true;
    }
    auto& current = found->second;
    if (statement.stated <= current.stated)
        return false;
    bool const changed = statement.requests_per_second != current.requests_per_second;
    current = statement;
    return changed;
}

rate_limit_statement const* server_rate_limits::find(server_hash server) const
{
    auto const found = m_statements.find(server);
    return found == m_statements.end() ? nullptr : &found->second;
}

std::optional<double> server_rate_limits::find_limit(server_hash server) const
{
    auto const* const statement = find(server);
    return statement == nullptr ? std::nullopt : statement->requests_per_second;
}

void server_rate_limits::expire(base::time_point now)
{
    std::erase_if(m_statements,
                  [&](auto const& item) { return now >= item.second.stated + statement_lifetime; });
}

} // namespace jasminepier::serving
