/// Queries on a recorded history that several checks share.
#pragma once

#include "tests/soak/checks.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace jasminepier::tests::soak
{

/// Returns true if the caller received a complete response of success.
bool is_success(request_record const& request);

/// Returns the time after which the caller or the route gives the request up.
milliseconds allowed_time(request_record const& request);

std::map<std::string, request_record const*> requests_by_id(history const& recorded);

std::map<std::string, std::vector<arrival_record const*>> arrivals_by_id(history const& recorded);

/// Returns true if one of the servers that received the request failed before the request ended.
bool server_failed(history const& recorded, request_record const& request,
                   std::span<arrival_record const* const> arrivals);

/// Calls `visit(arrival, request)` for arrivals whose node and server have been undisturbed for at
/// least `limits::settle_time`.
template <class Visit>
void for_each_undisturbed_arrival(history const& recorded, Visit&& visit)
{
    auto const requests = requests_by_id(recorded);
    for (auto const& arrival : recorded.arrivals)
    {
        auto const request = requests.find(arrival.id);
        if (request != requests.end() &&
            is_node_undisturbed(recorded, request->second->node, arrival.arrived_at) &&
            is_node_undisturbed(recorded, request->second->node, request->second->sent_at) &&
            recorded.is_undisturbed(arrival.server, arrival.arrived_at - limits::settle_time,
                                    arrival.arrived_at))
            visit(arrival, *request->second);
    }
}

} // namespace jasminepier::tests::soak
