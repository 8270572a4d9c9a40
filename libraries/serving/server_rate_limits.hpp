/// Rates of requests that servers accept, as they state in their responses.
#pragma once

#include "base/clock.hpp"
#include "serving/server_load.hpp"

#include <deque>
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
    /// A peer got the response and reported it.
    bool from_peer = false;
};

/// The latest statement about each server that has ever stated a limit. Not synchronized.
class server_rate_limits
{
public:
    /// Statements older than this are forgotten. A server that is in use states its limit in each
    /// response, and nodes report it to each other at least once a second.
    static constexpr std::chrono::seconds statement_lifetime{60};

    /// The window in which the requests to a server are counted.
    static constexpr std::chrono::seconds window{4};

    /// What servers tolerate beyond a window's requests: a fraction of them, and a number.
    static constexpr double tolerated_fraction = 0.5;
    static constexpr double tolerated_requests = 5;
    /// Part of the tolerance that the nodes use. The rest covers the time during which nodes count
    /// their peers differently because a node joins or leaves.
    static constexpr double used_tolerance = 0.5;

    /// Requests that all nodes together may start in each window. At least one for any limit, since
    /// nodes learn from its response when the server accepts more.
    static int count_permitted_requests(double requests_per_second);
    /// Returns when a node may start another request that has started some at `start_times`, in
    /// order, if its share is `share` requests a window. A window's share is spread over its
    /// seconds, so that a server does not get all at once. Returns nothing without a share.
    static std::optional<base::time_point>
    find_next_start(std::deque<base::time_point> const& start_times, int share);

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
