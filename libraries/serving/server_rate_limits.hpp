/// Rates of requests that servers accept, as they state in their responses.
#pragma once

#include "base/clock.hpp"
#include "serving/server_load.hpp"

#include <optional>
#include <unordered_map>

namespace jasminepier::serving
{

/// What a response said about the rate of requests that its server accepts.
struct rate_limit_statement
{
    /// Requests per second from all nodes together; empty if the server accepts any rate.
    std::optional<double> requests_per_second;
    /// When the response arrived.
    base::time_point stated{};
};

/// The latest statement about each server that has ever stated a limit. Not synchronized.
class server_rate_limits
{
public:
    /// Statements older than this are forgotten. A server that is in use states its limit in each
    /// response, and nodes report it to each other at least once a second.
    static constexpr std::chrono::seconds statement_lifetime{60};

    /// Takes over a statement that is newer than the present one. Returns true if the limit has
    /// changed.
    bool record(server_hash server, rate_limit_statement const& statement);
    /// Returns nothing if no limit has ever been stated.
    rate_limit_statement const* find(server_hash server) const;
    /// Returns the requests per second that the server accepts; nothing if it accepts any rate.
    std::optional<double> find_limit(server_hash server) const;
    void expire(base::time_point now);

private:
    std::unordered_map<server_hash, rate_limit_statement> m_statements;
};

} // namespace jasminepier::serving
