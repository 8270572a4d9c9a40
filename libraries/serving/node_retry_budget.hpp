/// The part of a service's retry budget that one node may spend.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <deque>

namespace jasminepier::serving
{

/// The platform's limits on the retries of all nodes together.
struct retry_budget_limits
{
    /// Retries allowed for each request in the window.
    double ratio = 0.2;
    /// Retries allowed in each window in addition to the ratio.
    double slack = 0;
    base::milliseconds window{10000};
};

/// Counts the requests and retries of one service in a sliding window. Each node applies the ratio
/// to the requests that it received and uses an equal part of the slack, so the nodes together stay
/// within the limits without exchanging messages. Not synchronized.
class node_retry_budget
{
public:
    /// Fraction of the limits that the nodes use. The rest covers the time during which nodes
    /// count their peers differently because a node joins or leaves.
    static constexpr double used_fraction = 0.7;

    void add_request(base::time_point now) { m_requests.push_back(now); }
    /// Counts a retry and returns true if the limits allow it.
    bool try_spend(retry_budget_limits const& limits, std::size_t live_nodes, base::time_point now)
    {
        remove_before(m_requests, now - limits.window);
        remove_before(m_retries, now - limits.window);
        auto const maximum_retries =
            used_fraction *
            (limits.ratio * static_cast<double>(m_requests.size()) +
             limits.slack / static_cast<double>(std::max<std::size_t>(live_nodes, 1)));
        if (static_cast<double>(m_retries.size() + 1) > maximum_retries)
            return false;
        m_retries.push_back(now);
        return true;
    }

private:
    static void remove_before(std::deque<base::time_point>& times, base::time_point oldest_kept)
    {
        while (!times.empty() && times.front() < oldest_kept)
            times.pop_front();
    }

    std::deque<base::time_point> m_requests;
    std::deque<base::time_point> m_retries;
};

} // namespace jasminepier::serving
