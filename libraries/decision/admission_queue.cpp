#include "decision/admission_queue.hpp"

#include <algorithm>

namespace jasminepier::decision
{

std::optional<std::uint64_t> admission_queue::push(queued_request const& request, std::size_t limit)
{
    if (limit == 0)
        return request.ticket;
    auto& queue = of(request.kind);
    // Without fair queuing all customers share one flow, which is first come, first served.
    auto const customer = m_fair ? request.customer : 0;
    auto& flow = queue.flows[customer];
    if (flow.requests.empty())
    {
        flow.tag = std::max(flow.tag, queue.virtual_time);
        queue.order.emplace(flow.tag, customer);
        flow.weight = m_fair ? request.weight : 1;
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
    double most = -1;
    for (auto const& [tag, customer] : queue.order)
    {
        auto const& flow = queue.flows.at(customer);
        if (flow.queued_cost / flow.weight > most)
        {
            most = flow.queued_cost / flow.weight;
            largest = customer;
        }
    }
    return largest;
}

queued_request const* admission_queue::front(configuration::work_kind kind) const
{
    auto const& queue = of(kind);
    if (queue.order.empty())
        return nullptr;
    return &queue.flows.at(queue.order.begin()->second).requests.front();
}

void admission_queue::pop(configuration::work_kind kind)
{
    auto& queue = of(kind);
    auto const [tag, customer] = *queue.order.begin();
    queue.virtual_time = tag;
    auto& flow = queue.flows[customer];
    double const finish = tag + flow.requests.front().cost / flow.weight;
    queue.order.erase(queue.order.begin());
    flow.tag = finish;
    queue.order.emplace(finish, customer);
    erase(queue, customer, 0);
}

void admission_queue::erase(kind_queue& queue, std::uint32_t customer, std::size_t position)
{
    auto& flow = queue.flows[customer];
    auto const removed = flow.requests[position];
    flow.requests.erase(flow.requests.begin() + static_cast<std::ptrdiff_t>(position));
    flow.queued_cost -= removed.cost;
    queue.queued_cost -= removed.cost;
    --queue.count;
    m_locations.erase(removed.ticket);
    m_deadlines.erase({removed.deadline, removed.ticket});
    if (!flow.requests.empty())
        return;
    queue.order.erase({flow.tag, customer});
    queue.queued_weight -= flow.weight;
    // A flow whose tag is not ahead of the virtual time has no history worth keeping.
    if (flow.tag <= queue.virtual_time)
        queue.flows.erase(customer);
}

bool admission_queue::remove(std::uint64_t ticket)
{
    auto const found = m_locations.find(ticket);
    if (found == m_locations.end())
        return false;
    auto& queue = of(found->second.kind);
    auto const customer = found->second.customer;
    auto const& requests = queue.flows[customer].requests;
    auto const position =
        std::find_if(requests.begin(), requests.end(),
                     [&](queued_request const& request) { return request.ticket == ticket; });
    erase(queue, customer, static_cast<std::size_t>(position - requests.begin()));
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
    return of(kind).count;
}

double admission_queue::work_ahead(configuration::work_kind kind, std::uint32_t customer,
                                   double weight) const
{
    auto const& queue = of(kind);
    auto const found = queue.flows.find(m_fair ? customer : 0);
    bool const waiting = found != queue.flows.end() && !found->second.requests.empty();
    double const own = waiting ? found->second.queued_cost : 0;
    double const total_weight = queue.queued_weight + (waiting ? 0 : weight);
    return std::min(queue.queued_cost, own * total_weight / weight);
}

} // namespace jasminepier::decision
