#include "tests/soak/history_queries.hpp"
#include "tests/soak/individual_checks.hpp"

#include <algorithm>

namespace jasminepier::tests::soak
{
namespace
{

/// Calls `visit(part, rejected_from)` for each prompt part that has crashed enough servers that
/// nodes must reject it from then on.
template <class Visit>
void for_each_rejected_part(history const& recorded, Visit&& visit)
{
    auto const requests = requests_by_id(recorded);
    std::map<std::string, std::map<std::string, time_point>> crashes;
    for (auto const& arrival : recorded.arrivals)
    {
        auto const request = requests.find(arrival.id);
        auto const& server = recorded.servers.at(arrival.server);
        if (request != requests.end() && !request->second->deadly_part.empty() &&
            arrival.executed && server.ended_at)
            crashes[request->second->deadly_part].emplace(arrival.server, *server.ended_at);
    }
    for (auto const& [part, server_crashes] : crashes)
    {
        if (server_crashes.size() < limits::crashes_until_rejection)
            continue;
        std::vector<time_point> times;
        for (auto const& [server, crashed_at] : server_crashes)
            times.push_back(crashed_at);
        std::sort(times.begin(), times.end());
        visit(part, times[limits::crashes_until_rejection - 1] + limits::crash_propagation);
    }
}

} // namespace

violations check_deadly_parts(history const& recorded)
{
    violations detected_violations;
    for_each_rejected_part(
        recorded,
        [&](std::string const& part, time_point rejected_from)
        {
            std::size_t late_count = 0;
            std::string ids;
            for_each_undisturbed_arrival(
                recorded,
                [&](arrival_record const& arrival, request_record const& request)
                {
                    if (request.deadly_part != part || arrival.arrived_at <= rejected_from)
                        return;
                    ++late_count;
                    ids += " " + arrival.id;
                });
            if (late_count > limits::late_deadly_requests)
                detected_violations.push_back(part + ": still sent to servers:" + ids);
        });
    return detected_violations;
}

violations check_sound_prompts(history const& recorded)
{
    violations detected_violations;
    for_each_rejected_part(
        recorded,
        [&](std::string const& part, time_point rejected_from)
        {
            auto until = rejected_from;
            for (auto const& request : recorded.requests)
                if (request.deadly_part == part)
                    until = std::max(until, request.sent_at);
            std::size_t count = 0;
            std::size_t served_count = 0;
            for (auto const& request : recorded.requests)
            {
                if (request.last_event_number == 0 || !request.deadly_part.empty() ||
                    request.sent_at < rejected_from || request.sent_at > until ||
                    request.connect_failed || request.disconnected_at ||
                    !is_node_undisturbed(recorded, request.node, request.sent_at) ||
                    !is_node_undisturbed(recorded, request.node, request.ended_at))
                    continue;
                ++count;
                served_count += is_success(request) ? 1 : 0;
            }
            if (served_count * 2 < count)
                detected_violations.push_back(part + ": only " + std::to_string(served_count) +
                                              " of " + std::to_string(count) +
                                              " sound streams were served beside it");
        });
    return detected_violations;
}

} // namespace jasminepier::tests::soak
