/// The share of a service's retries that one node may use.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <deque>

namespace jasminepier::serving
{

/// The platform's bound on retries, over all nodes.
struct retry_budget_limits
{
    /// Retries allowed for each request.
    double ratio = 0.2;
    /// Retries allowed beside the ratio in each window.
    double slack = 0;
    base::milliseconds window{10000};
};

/// Counts the requests and retries of one service in a sliding window. Each node keeps to the ratio
/// over its own requests and to an equal part of the slack, so the sum over nodes keeps the bound
/// without messages. Not synchronized.
class node_retry_budget
{
public:
    /// Part of the bound that is used. The rest covers nodes that count their peers differently
    /// while one joins or leaves.
    static constexpr double used_fraction = 0.7;

    void add_request(base::time_point now) { m_requests.push_back(now); }
    /// Takes one retry when the bound allows it.
    bool try_spend(retry_budget_limits const& bound, std::size_t nodes, base::time_point now)
    {
        forget(m_requests, now - bound.window);
        forget(m_retries, now - bound.window);
        auto const allowed =
            used_fraction * (bound.ratio * static_cast<double>(m_requests.size()) +
                             bound.slack / static_cast<double>(std::max<std::size_t>(nodes, 1)));
        if (static_cast<double>(m_retries.size() + 1) > allowed)
            return false;
        m_retries.push_back(now);
        return true;
    }

private:
    static void forget(std::deque<base::time_point>& times, base::time_point before)
    {
        while (!times.empty() && times.front() < before)
            times.pop_front();
    }

    std::deque<base::time_point> m_requests;
    std::deque<base::time_point> m_retries;
};

} // namespace jasminepier::serving
