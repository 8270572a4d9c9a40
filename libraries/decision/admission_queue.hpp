/// Bounded request queue of one model with fair queuing between customers.
#pragma once

#include "base/clock.hpp"
#include "configuration/types.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminepier::decision
{

struct queued_request
{
    std::uint64_t ticket = 0;
    std::uint32_t customer = 0;
    configuration::work_kind kind = configuration::work_kind::question;
    double weight = 1;
    /// Predicted tokens, including the prompt.
    double cost = 0;
    base::time_point deadline{};
};

/// Holds one queue per work kind. Within a kind, start-time fair queuing divides dispatches between
/// customers by weight and charges them in predicted tokens. Requests of one customer stay in FIFO
/// order.
class admission_queue
{
public:
    /// Adds a request. If the kind already has `limit` requests, evicts the last request of the
    /// customer with the most queued tokens per weight and returns its ticket, which may be the
    /// ticket of `request`.
    std::optional<std::uint64_t> push(queued_request const& request, std::size_t limit);
    /// Returns the next request of `kind`, or null if none is queued.
    queued_request const* front(configuration::work_kind kind) const;
    /// Removes the next request of `kind` and charges its customer.
    void pop(configuration::work_kind kind);
    /// Removes a request at any position. Returns false if it is not queued.
    bool remove(std::uint64_t ticket);
    /// Removes the requests whose deadline has passed and returns their tickets.
    std::vector<std::uint64_t> expire(base::time_point now);

    std::size_t size() const noexcept { return m_deadlines.size(); }
    std::size_t size(configuration::work_kind kind) const;
    /// Returns the predicted tokens of `kind` that are dispatched before a new request of the
    /// customer.
    double cost_ahead(configuration::work_kind kind, std::uint32_t customer, double weight) const;
    void set_fair_queuing(bool fair) noexcept { m_fair_queuing = fair; }

private:
    struct customer_flow
    {
        std::deque<queued_request> requests;
        double weight = 1;
        double queued_cost = 0;
        /// Virtual start time of the first request. While the flow is idle, the virtual finish time
        /// of its last dispatched request.
        double start_tag = 0;
    };
    struct kind_queue
    {
        std::unordered_map<std::uint32_t, customer_flow> flows;
        /// Flows that have requests, ordered by start tag.
        std::set<std::pair<double, std::uint32_t>> flows_by_start_tag;
        double virtual_time = 0;
        double queued_cost = 0;
        double queued_weight = 0;
        std::size_t count = 0;
    };
    struct location
    {
        configuration::work_kind kind;
        std::uint32_t customer;
        base::time_point deadline;
    };

    kind_queue& queue_for(configuration::work_kind kind)
    {
        return m_kinds[static_cast<std::size_t>(kind)];
    }
    kind_queue const& queue_for(configuration::work_kind kind) const
    {
        return m_kinds[static_cast<std::size_t>(kind)];
    }
    void erase(kind_queue& queue, std::uint32_t customer, std::size_t index);
    std::uint32_t largest_flow(kind_queue const& queue) const;

    std::array<kind_queue, configuration::work_kind_count> m_kinds;
    std::unordered_map<std::uint64_t, location> m_locations;
    std::set<std::pair<base::time_point, std::uint64_t>> m_deadlines;
    bool m_fair_queuing = true;
};

} // namespace jasminepier::decision
