#include "tests/soak/history_queries.hpp"

#include <algorithm>

namespace jasminepier::tests::soak
{

bool is_success(request_record const& request)
{
    return request.status >= 200 && request.status < 300 && request.is_complete;
}

milliseconds allowed_time(request_record const& request)
{
    return std::min(test_settings::route_timeout(request.kind),
                    request.deadline.value_or(test_settings::request_deadline));
}

std::map<std::string, request_record const*> requests_by_id(history const& recorded)
{
    std::map<std::string, request_record const*> requests;
    for (auto const& request : recorded.requests)
        requests[request.id] = &request;
    return requests;
}

std::map<std::string, std::vector<arrival_record const*>> arrivals_by_id(history const& recorded)
{
    std::map<std::string, std::vector<arrival_record const*>> arrivals;
    for (auto const& arrival : recorded.arrivals)
        arrivals[arrival.id].push_back(&arrival);
    for (auto& [id, request_arrivals] : arrivals)
        std::sort(request_arrivals.begin(), request_arrivals.end(),
                  [](auto const* left, auto const* right)
                  { return left->arrived_at < right->arrived_at; });
    return arrivals;
}

bool server_failed(history const& recorded, request_record const& request,
                   std::span<arrival_record const* const> arrivals)
{
    return std::any_of(arrivals.begin(), arrivals.end(),
                       [&](auto const* arrival)
                       {
                           auto const& server = recorded.servers.at(arrival->server);
                           return (server.ended_at && *server.ended_at <= request.ended_at) ||
                                  !recorded.is_undisturbed(arrival->server, request.sent_at,
                                                           request.ended_at);
                       });
}

bool is_node_undisturbed(history const& recorded, int node, time_point at)
{
    for (auto const& subject : {node_subject(node), std::string(store_subject)})
        if (!recorded.is_undisturbed(subject, at - limits::settle_time, at))
            return false;
    return recorded.is_undisturbed(host_subject, at - limits::disconnect_propagation, at);
}

} // namespace jasminepier::tests::soak
