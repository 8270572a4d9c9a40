/// The bounded queue of one model.
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
    /// Predicted tokens, prompt included.
    double cost = 0;
    base::time_point deadline{};
};

/// Within a kind, start-time fair queuing shares dispatches between customers by weight, charged in
/// predicted tokens. A customer's own requests stay in order.
class admission_queue
{
public:
    /// Adds a request. When the kind already has `limit` requests, the last request of the customer
    /// with the most queued work leaves instead; its ticket is returned, which may be the new one.
    std::optional<std::uint64_t> push(queued_request const& request, std::size_t limit);
    /// Returns the next request of `kind`, or null.
    queued_request const* front(configuration::work_kind kind) const;
    /// Removes the next request of `kind` and charges its customer.
    void pop(configuration::work_kind kind);
    /// Removes a request wherever it is. Returns false when it is not queued.
    bool remove(std::uint64_t ticket);
    /// Removes all requests whose deadline has passed and returns their tickets.
    std::vector<std::uint64_t> expire(base::time_point now);

    std::size_t size() const noexcept { return m_deadlines.size(); }
    std::size_t size(configuration::work_kind kind) const;
    /// Returns the predicted tokens of `kind` that are served before a new request of the customer.
    double work_ahead(configuration::work_kind kind, std::uint32_t customer, double weight) const;
    void set_fair(bool fair) noexcept { m_fair = fair; }

private:
    struct customer_flow
    {
        std::deque<queued_request> requests;
        double weight = 1;
        double queued_cost = 0;
        /// Start tag of the first request; the finish tag of the last one served when idle.
        double tag = 0;
    };
    struct kind_queue
    {
        std::unordered_map<std::uint32_t, customer_flow> flows;
        /// Flows with requests, by start tag.
        std::set<std::pair<double, std::uint32_t>> order;
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

    kind_queue& of(configuration::work_kind kind)
    {
        return m_kinds[static_cast<std::size_t>(kind)];
    }
    kind_queue const& of(configuration::work_kind kind) const
    {
        return m_kinds[static_cast<std::size_t>(kind)];
    }
    void erase(kind_queue& queue, std::uint32_t customer, std::size_t position);
    std::uint32_t largest_flow(kind_queue const& queue) const;

    std::array<kind_queue, configuration::work_kind_count> m_kinds;
    std::unordered_map<std::uint64_t, location> m_locations;
    std::set<std::pair<base::time_point, std::uint64_t>> m_deadlines;
    bool m_fair = true;
};

} // namespace jasminepier::decision
