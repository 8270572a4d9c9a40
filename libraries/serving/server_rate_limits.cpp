#include "serving/server_rate_limits.hpp"

namespace jasminepier::serving
{

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
