#include "tests/soak/history_queries.hpp"
#include "tests/soak/individual_checks.hpp"

#include <algorithm>
#include <set>

namespace jasminepier::tests::soak
{
namespace
{

/// Returns the ids of the complete events in the body of a stream.
std::vector<int> event_numbers(std::string const& body)
{
    std::vector<int> numbers;
    std::size_t at = 0;
    while ((at = body.find("id: ", at)) != std::string::npos)
    {
        if (body.find("\n\n", at) == std::string::npos)
            break;
        numbers.push_back(std::stoi(body.substr(at + 4)));
        at += 4;
    }
    return numbers;
}

bool reports_not_executed(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

violations check_responses(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& request : recorded.requests)
    {
        if (request.status < 200 || request.status >= 300)
            continue;
        if (!request.has_signature)
            detected_violations.push_back(request.id +
                                          ": success response without the server's signature");
        if (request.last_event_number > 0)
        {
            auto expected = request.first_event_number;
            for (int const number : event_numbers(request.body))
                if (number != expected++)
                {
                    detected_violations.push_back(request.id + ": event " + std::to_string(number) +
                                                  " instead of " + std::to_string(expected - 1));
                    break;
                }
            if (request.is_complete && expected != request.last_event_number + 1)
                detected_violations.push_back(request.id +
                                              ": stream ended without an error after event " +
                                              std::to_string(expected - 1));
        }
        else if (request.is_complete && request.body != "response to " + request.id)
            detected_violations.push_back(request.id + ": received '" + request.body + "'");
        auto const request_arrivals = arrivals.find(request.id);
        if (request.is_complete &&
            (request_arrivals == arrivals.end() ||
             std::none_of(request_arrivals->second.begin(), request_arrivals->second.end(),
                          [](auto const* arrival) { return arrival->succeeded; })))
            detected_violations.push_back(request.id + ": success response that no server sent");
    }
    return detected_violations;
}

violations check_single_executions(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& request : recorded.requests)
    {
        auto const request_arrivals = arrivals.find(request.id);
        if (may_retry(request.kind) || request_arrivals == arrivals.end())
            continue;
        auto const executions = std::count_if(
            request_arrivals->second.begin(), request_arrivals->second.end(),
            [](auto const* arrival) { return arrival->executed && arrival->copy_source.empty(); });
        if (executions > 1)
            detected_violations.push_back(request.id + ": ran " + std::to_string(executions) +
                                          " times");
    }
    return detected_violations;
}

violations check_rejections(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& request : recorded.requests)
    {
        auto const request_arrivals = arrivals.find(request.id);
        if (!may_retry(request.kind) && reports_not_executed(request.status) &&
            request_arrivals != arrivals.end() &&
            std::any_of(request_arrivals->second.begin(), request_arrivals->second.end(),
                        [](auto const* arrival) { return arrival->executed; }))
            detected_violations.push_back(request.id + ": responded with " +
                                          std::to_string(request.status) + " but ran");
    }
    return detected_violations;
}

violations check_attempts(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& request : recorded.requests)
    {
        auto const request_arrivals = arrivals.find(request.id);
        if (!may_retry(request.kind) || request_arrivals == arrivals.end())
            continue;
        std::set<std::string> servers;
        for (auto const* const arrival : request_arrivals->second)
        {
            auto const& server = recorded.servers.at(arrival->server);
            bool const server_failed =
                (server.ended_at && *server.ended_at <= request.ended_at) ||
                !recorded.is_undisturbed(arrival->server, arrival->arrived_at, request.ended_at);
            if (arrival->executed && !server_failed)
                servers.insert(arrival->server);
        }
        if (servers.size() > test_settings::maximum_attempts)
            detected_violations.push_back(request.id + ": ran on " +
                                          std::to_string(servers.size()) + " servers");
    }
    return detected_violations;
}

violations check_retry_budget(history const& recorded)
{
    violations detected_violations;
    auto const requests = requests_by_id(recorded);
    std::map<std::string, std::vector<time_point>> retry_times;
    std::map<std::string, std::vector<time_point>> request_times;
    std::map<std::string, std::string> first_service;
    for (auto const& [id, request_arrivals] : arrivals_by_id(recorded))
        for (auto const* const arrival : request_arrivals)
            if (arrival->copy_source.empty() && !first_service.emplace(id, arrival->service).second)
                retry_times[arrival->service].push_back(arrival->arrived_at);
    // Requests that reached no server count for the service of their kind. The configuration moves
    // non-idempotent requests between services, so those are left out.
    std::map<request_kind, std::string> service_of_kind;
    for (auto const& [id, service] : first_service)
        if (auto const request = requests.find(id); request != requests.end())
        {
            request_times[service].push_back(request->second->sent_at);
            if (request->second->kind != request_kind::non_idempotent)
                service_of_kind[request->second->kind] = service;
        }
    for (auto const& request : recorded.requests)
        if (auto const service = service_of_kind.find(request.kind);
            service != service_of_kind.end() && !request.connect_failed &&
            !first_service.contains(request.id))
            request_times[service->second].push_back(request.sent_at);
    for (auto& [service, times] : retry_times)
    {
        std::sort(times.begin(), times.end());
        for (auto const& start : times)
        {
            auto const count_from = [](std::vector<time_point> const& list, time_point from)
            {
                return static_cast<double>(std::count_if(
                    list.begin(), list.end(),
                    [&](time_point at) { return at >= from && at < from + limits::retry_window; }));
            };
            auto const allowed =
                limits::retry_ratio *
                    std::max({count_from(request_times[service], start),
                              count_from(request_times[service], start - limits::retry_window / 2),
                              count_from(request_times[service], start - limits::retry_window)}) +
                limits::retry_slack;
            if (count_from(times, start) > allowed)
            {
                detected_violations.push_back(
                    service + ": " + std::to_string(count_from(times, start)) + " retries where " +
                    std::to_string(allowed) + " are allowed");
                break;
            }
        }
    }
    return detected_violations;
}

violations check_disconnects(history const& recorded)
{
    violations detected_violations;
    for_each_undisturbed_arrival(
        recorded,
        [&](arrival_record const& arrival, request_record const& request)
        {
            if (!request.disconnected_at ||
                !is_node_undisturbed(recorded, request.node,
                                     *request.disconnected_at + limits::disconnect_propagation) ||
                !recorded.is_undisturbed(host_subject, *request.disconnected_at,
                                         *request.disconnected_at +
                                             limits::disconnect_propagation) ||
                !recorded.is_undisturbed(arrival.server, *request.disconnected_at,
                                         *request.disconnected_at + limits::disconnect_propagation))
                return;
            auto const deadline = *request.disconnected_at + limits::disconnect_propagation;
            if (arrival.arrived_at > deadline)
                detected_violations.push_back(
                    arrival.id + ": reached a server after its caller had disconnected");
            else if (may_retry(request.kind) && (!arrival.ended_at || *arrival.ended_at > deadline))
                detected_violations.push_back(arrival.id +
                                              ": continued after its caller had disconnected");
        });
    return detected_violations;
}

violations check_timeouts(history const& recorded)
{
    violations detected_violations;
    for (auto const& request : recorded.requests)
    {
        auto const deadline =
            request.sent_at + test_settings::route_timeout(request.kind) + limits::timeout_slack;
        if (request.ended_at > deadline && !request.connect_failed &&
            is_node_undisturbed(recorded, request.node, request.sent_at) &&
            is_node_undisturbed(recorded, request.node, deadline) &&
            recorded.is_undisturbed(host_subject, request.sent_at, deadline))
            detected_violations.push_back(request.id +
                                          ": no response half a second after its route's timeout");
    }
    return detected_violations;
}

violations check_forwarding(history const& recorded)
{
    violations detected_violations;
    auto const requests = requests_by_id(recorded);
    for (auto const& arrival : recorded.arrivals)
    {
        auto const request = requests.find(arrival.id);
        if (request == requests.end())
        {
            detected_violations.push_back(arrival.id + ": no caller sent this request");
            continue;
        }
        if (arrival.has_api_key || arrival.customer != test_settings::customer)
            detected_violations.push_back(arrival.id + ": forwarded with customer '" +
                                          arrival.customer +
                                          (arrival.has_api_key ? "' and the caller's key" : "'"));
        auto const remaining =
            request->second->deadline.value_or(test_settings::request_deadline) -
            std::chrono::duration_cast<milliseconds>(arrival.arrived_at - request->second->sent_at);
        bool const undisturbed =
            is_node_undisturbed(recorded, request->second->node, arrival.arrived_at) &&
            recorded.is_undisturbed(host_subject, request->second->sent_at, arrival.arrived_at) &&
            recorded.is_undisturbed(arrival.server, request->second->sent_at, arrival.arrived_at);
        if (undisturbed && (arrival.deadline <= milliseconds(0) ||
                            arrival.deadline > remaining + limits::deadline_slack))
            detected_violations.push_back(
                arrival.id + ": forwarded with a deadline of " +
                std::to_string(arrival.deadline.count()) +
                " ms; milliseconds left: " + std::to_string(remaining.count()));
    }
    return detected_violations;
}

} // namespace jasminepier::tests::soak
