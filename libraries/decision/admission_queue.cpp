#include "decision/admission_queue.hpp"

#include <algorithm>

namespace jasminepier::decision
{

std::optional<std::uint64_t> admission_queue::push(queued_request const& request, std::size_t limit)
{
    if (limit == 0)
        return request.ticket;
    auto& queue = queue_for(request.kind);
    // Without fair queuing, all customers share one FIFO flow.
    auto const customer = m_fair_queuing ? request.customer : 0;
    auto& flow = queue.flows[customer];
    if (flow.requests.empty())
    {
        flow.start_tag = std::max(flow.start_tag, queue.virtual_time);
        queue.flows_by_start_tag.emplace(flow.start_tag, customer);
        flow.weight = m_fair_queuing ? request.weight : 1;
        queue.queued_weight += flow.weight;
    }
    flow.requests.push_back(request);
    flow.queued_cost += request.cost;
    queue.queued_cost += request.cost;
    ++queue.count;
    m_locations.emplace(request.ticket, location{request.kind, customer, request.deadline});
    m_deadlines.emplace(request.deadline, request.ticket);
    if (queue.count <= limit)
        return std::nullopt;
    auto const largest = largest_flow(queue);
    auto const evicted = queue.flows[largest].requests.back().ticket;
    erase(queue, largest, queue.flows[largest].requests.size() - 1);
    return evicted;
}

std::uint32_t admission_queue::largest_flow(kind_queue const& queue) const
{
    std::uint32_t largest = 0;
    double largest_cost = -1;
    for (auto const& [start_tag, customer] : queue.flows_by_start_tag)
    {
        auto const& flow = queue.flows.at(customer);
        if (flow.queued_cost / flow.weight > largest_cost)
        {
            largest_cost = flow.queued_cost / flow.weight;
            largest = customer;
        }
    }
    return largest;
}

queued_request const* admission_queue::front(configuration::work_kind kind) const
{
    auto const& queue = queue_for(kind);
    if (queue.flows_by_start_tag.empty())
        return nullptr;
    return &queue.flows.at(queue.flows_by_start_tag.begin()->second).requests.front();
}

void admission_queue::pop(configuration::work_kind kind)
{
    auto& queue = queue_for(kind);
    auto const [start_tag, customer] = *queue.flows_by_start_tag.begin();
    queue.virtual_time = start_tag;
    auto& flow = queue.flows[customer];
    double const finish_tag = start_tag + flow.requests.front().cost / flow.weight;
    queue.flows_by_start_tag.erase(queue.flows_by_start_tag.begin());
    flow.start_tag = finish_tag;
    queue.flows_by_start_tag.emplace(finish_tag, customer);
    erase(queue, customer, 0);
}

void admission_queue::erase(kind_queue& queue, std::uint32_t customer, std::size_t index)
{
    auto& flow = queue.flows[customer];
    auto const removed = flow.requests[index];
    flow.requests.erase(flow.requests.begin() + static_cast<std::ptrdiff_t>(index));
    flow.queued_cost -= removed.cost;
    queue.queued_cost -= removed.cost;
    --queue.count;
    m_locations.erase(removed.ticket);
    m_deadlines.erase({removed.deadline, removed.ticket});
    if (!flow.requests.empty())
        return;
    queue.flows_by_start_tag.erase({flow.start_tag, customer});
    queue.queued_weight -= flow.weight;
    // A later request restarts such a flow at the virtual time anyway, so its tag isn't needed.
    if (flow.start_tag <= queue.virtual_time)
        queue.flows.erase(customer);
}

bool admission_queue::remove(std::uint64_t ticket)
{
    auto const found = m_locations.find(ticket);
    if (found == m_locations.end())
        return false;
    auto& queue = queue_for(found->second.kind);
    auto const customer = found->second.customer;
    auto const& requests = queue.flows[customer].requests;
    auto const index =
        std::find_if(requests.begin(), requests.end(),
                     [&](queued_request const& request) { return request.ticket == ticket; });
    erase(queue, customer, static_cast<std::size_t>(index - requests.begin()));
    return true;
}

std::vector<std::uint64_t> admission_queue::expire(base::time_point now)
{
    std::vector<std::uint64_t> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        expired.push_back(m_deadlines.begin()->second);
        remove(expired.back());
    }
    return expired;
}

std::size_t admission_queue::size(configuration::work_kind kind) const
{
    return queue_for(kind).count;
}

double admission_queue::cost_ahead(configuration::work_kind kind, std::uint32_t customer,
                                   double weight) const
{
    auto const& queue = queue_for(kind);
    auto const found = queue.flows.find(m_fair_queuing ? customer : 0);
    bool const is_queued = found != queue.flows.end() && !found->second.requests.empty();
    double const customer_cost = is_queued ? found->second.queued_cost : 0;
    double const total_weight = queue.queued_weight + (is_queued ? 0 : weight);
    return std::min(queue.queued_cost, customer_cost * total_weight / weight);
}

} // namespace jasminepier::decision
