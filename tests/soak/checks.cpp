#include "tests/soak/checks.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace jasminepier::tests::soak
{
namespace
{

bool is_success(request_record const& request)
{
    return request.status >= 200 && request.status < 300 && request.is_complete;
}

bool reports_not_executed(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/// Returns the time after which the caller or the route gives the request up.
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

violations check_handovers(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& arrival : recorded.arrivals)
    {
        if (arrival.copy_source.empty() || !arrival.executed)
            continue;
        if (!arrival.copy_source.ends_with("/h-" + arrival.id))
            detected_violations.push_back(arrival.id + ": continued from another request's copy " +
                                          arrival.copy_source);
    }
    for_each_undisturbed_arrival(
        recorded,
        [&](arrival_record const& continuation, request_record const&)
        {
            if (continuation.copy_source.empty() || !continuation.executed)
                return;
            for (auto const* const source : arrivals.at(continuation.id))
                if (source->executed && source->server != continuation.server &&
                    source->arrived_at < continuation.arrived_at &&
                    recorded.is_undisturbed(source->server, source->arrived_at,
                                            continuation.arrived_at) &&
                    (!source->ended_at ||
                     *source->ended_at > continuation.arrived_at + limits::handover_overlap))
                    detected_violations.push_back(continuation.id +
                                                  ": after the handover still running on " +
                                                  source->server);
        });
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

violations check_leaving_servers(history const& recorded)
{
    violations detected_violations;
    for_each_undisturbed_arrival(
        recorded,
        [&](arrival_record const& arrival, request_record const&)
        {
            auto const& leaving_at = recorded.servers.at(arrival.server).leaving_at;
            // After a disruption of the store, nodes may learn of the change later.
            if (leaving_at && arrival.arrived_at > *leaving_at + limits::drain_propagation &&
                recorded.is_undisturbed(store_subject, *leaving_at - limits::settle_time,
                                        *leaving_at))
                detected_violations.push_back(arrival.id + ": sent to " + arrival.server +
                                              ", which is draining or removed");
        });
    return detected_violations;
}

violations check_evacuations(history const& recorded)
{
    violations detected_violations;
    for_each_undisturbed_arrival(
        recorded,
        [&](arrival_record const& arrival, request_record const&)
        {
            for (auto const& zone_evacuation : recorded.evacuations)
                if (zone_evacuation.zone == arrival.zone &&
                    arrival.arrived_at >
                        zone_evacuation.acknowledged_at + limits::evacuation_propagation &&
                    (!zone_evacuation.withdrawn_at ||
                     arrival.arrived_at < *zone_evacuation.withdrawn_at))
                    detected_violations.push_back(arrival.id + ": sent to zone " + arrival.zone +
                                                  ", which is being evacuated");
        });
    return detected_violations;
}

violations check_configuration(history const& recorded)
{
    violations detected_violations;
    for_each_undisturbed_arrival(
        recorded,
        [&](arrival_record const& arrival, request_record const& request)
        {
            if (request.kind != request_kind::non_idempotent)
                return;
            bool allowed = false;
            for (std::size_t i = 0; i < recorded.configurations.size(); ++i)
            {
                auto const& change = recorded.configurations[i];
                bool const superseded = i + 1 < recorded.configurations.size() &&
                                        recorded.configurations[i + 1].acknowledged_at +
                                                limits::configuration_propagation <
                                            request.sent_at;
                allowed |= !superseded && change.non_idempotent_service == arrival.service;
            }
            if (!allowed)
                detected_violations.push_back(arrival.id + ": sent to " + arrival.service +
                                              " according to an outdated configuration");
        });
    return detected_violations;
}

/// Returns the versions, oldest first, that route non-idempotent requests to `service` and were
/// acknowledged by `acknowledged_before`.
std::vector<int> versions_using(history const& recorded, std::string const& service,
                                time_point acknowledged_before)
{
    std::vector<int> versions;
    for (auto const& change : recorded.configurations)
        if (change.non_idempotent_service == service &&
            change.acknowledged_at <= acknowledged_before)
            versions.push_back(change.version);
    return versions;
}

violations check_downgrades(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    struct observed_version
    {
        int version = 0;
        time_point observed_at;
    };
    auto requests = recorded.requests;
    std::sort(requests.begin(), requests.end(),
              [](auto const& left, auto const& right) { return left.sent_at < right.sent_at; });
    std::map<int, std::vector<observed_version>> observed_versions;
    for (auto const& request : requests)
    {
        auto const request_arrivals = arrivals.find(request.id);
        if (request.kind != request_kind::non_idempotent || request_arrivals == arrivals.end())
            continue;
        auto const& arrival = *request_arrivals->second.front();
        auto const& process_starts = recorded.process_starts.at(request.node);
        auto const next_start =
            std::upper_bound(process_starts.begin(), process_starts.end(), request.sent_at);
        auto const window = is_node_undisturbed(recorded, request.node, request.sent_at)
                                ? limits::downgrade_window
                                : limits::downgrade_window * limits::disturbed_downgrade_factor;
        int minimum_version = 0;
        for (auto const& earlier : observed_versions[request.node])
            if (earlier.observed_at + window < request.sent_at &&
                (next_start == process_starts.begin() ||
                 earlier.observed_at > *std::prev(next_start)))
                minimum_version = std::max(minimum_version, earlier.version);
        auto const possible_versions =
            versions_using(recorded, arrival.service, arrival.arrived_at);
        if (!possible_versions.empty() && possible_versions.back() < minimum_version)
            detected_violations.push_back(
                request.id + ": used version " + std::to_string(possible_versions.back()) +
                " although its node had applied version " + std::to_string(minimum_version));
        for (int const version : possible_versions)
            if (version >= minimum_version)
            {
                observed_versions[request.node].push_back({version, arrival.arrived_at});
                break;
            }
    }
    return detected_violations;
}

violations check_cold_servers(history const& recorded)
{
    violations detected_violations;
    constexpr auto limit = test_settings::cold_requests_per_second * limits::cold_rate_factor +
                           limits::cold_request_slack;
    std::map<std::string, std::vector<time_point>> arrival_times;
    for (auto const& arrival : recorded.arrivals)
        if (arrival.arrived_at < recorded.servers.at(arrival.server).cold_until &&
            recorded.is_undisturbed(arrival.server, arrival.arrived_at - limits::settle_time,
                                    arrival.arrived_at))
            arrival_times[arrival.server].push_back(arrival.arrived_at);
    for (auto& [server, times] : arrival_times)
    {
        std::sort(times.begin(), times.end());
        for (std::size_t first = 0; first < times.size(); ++first)
        {
            auto const window_end = std::lower_bound(times.begin(), times.end(),
                                                     times[first] + std::chrono::seconds(1));
            auto const count = std::distance(times.begin(), window_end) - static_cast<long>(first);
            if (static_cast<double>(count) <= limit)
                continue;
            detected_violations.push_back(server + ": " + std::to_string(count) +
                                          " requests within a second while cold");
            break;
        }
    }
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

/// Returns true if one of the servers that received the request failed before the request ended.
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

violations check_shutdowns(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& shutdown : recorded.shutdowns)
    {
        auto const name = node_subject(shutdown.node);
        auto const grace_period_end = shutdown.signalled_at + test_settings::shutdown_grace_period;
        if (!shutdown.exited_at || *shutdown.exited_at > grace_period_end ||
            shutdown.exit_status != 0)
            detected_violations.push_back(name +
                                          ": did not exit with status 0 within its grace period");
        // The disruption that the shutdown itself causes begins with the signal.
        if (!is_node_undisturbed(recorded, shutdown.node, shutdown.signalled_at - milliseconds(1)))
            continue;
        for (auto const& request : recorded.requests)
        {
            bool const overlaps_shutdown =
                request.node == shutdown.node && request.ended_at > shutdown.signalled_at &&
                request.sent_at < shutdown.signalled_at + std::chrono::seconds(1) &&
                request.sent_at > shutdown.signalled_at - limits::settle_time;
            bool const failed =
                request.status == 0 || (request.status == 200 && !request.is_complete);
            auto const request_arrivals = arrivals.find(request.id);
            bool const was_forwarded = request_arrivals != arrivals.end();
            if (!overlaps_shutdown || !failed || request.connect_failed ||
                request.disconnected_at ||
                !recorded.is_undisturbed(store_subject, request.sent_at - limits::settle_time,
                                         request.ended_at) ||
                (!was_forwarded &&
                 request.ended_at < request.sent_at + limits::connection_loss_window))
                continue;
            bool const server_failure =
                was_forwarded && server_failed(recorded, request, request_arrivals->second);
            bool const timed_out =
                request.ended_at > grace_period_end - test_settings::shutdown_grace_period / 6 ||
                request.ended_at > request.sent_at + allowed_time(request);
            if (!server_failure && !timed_out)
                detected_violations.push_back(request.id + ": lost during the shutdown of " + name);
        }
    }
    return detected_violations;
}

/// Returns the last shutdown of the request's node that had begun when the request ended, or null
/// if the request was sent long after it.
node_shutdown const* find_shutdown(history const& recorded, request_record const& request)
{
    node_shutdown const* last = nullptr;
    for (auto const& shutdown : recorded.shutdowns)
        if (shutdown.node == request.node && request.ended_at >= shutdown.signalled_at &&
            request.sent_at <=
                shutdown.signalled_at + test_settings::shutdown_grace_period + limits::settle_time)
            last = &shutdown;
    return last;
}

/// Returns true if the request was sent before the shutdown and a server was still at work on it
/// near the end of the grace period.
bool outlasts_shutdown(node_shutdown const& shutdown, request_record const& request,
                       std::span<arrival_record const* const> arrivals)
{
    auto const last_sixth = shutdown.signalled_at + test_settings::shutdown_grace_period * 5 / 6;
    return request.sent_at < shutdown.signalled_at &&
           std::any_of(arrivals.begin(), arrivals.end(),
                       [&](auto const* arrival)
                       { return !arrival->ended_at || *arrival->ended_at > last_sixth; });
}

violations check_unanswered_requests(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& request : recorded.requests)
    {
        bool const answered = request.status != 0 && request.is_complete;
        if (answered || request.connect_failed || request.disconnected_at)
            continue;
        auto const found = arrivals.find(request.id);
        auto const request_arrivals = found == arrivals.end()
                                          ? std::span<arrival_record const* const>{}
                                          : std::span(found->second);
        // A request that crosses the end of its connection is not read.
        bool const was_read = !request_arrivals.empty() ||
                              request.ended_at >= request.sent_at + limits::connection_loss_window;
        auto const from = request.sent_at - limits::settle_time;
        bool const undisturbed = recorded.is_undisturbed_but_for_planned_work(
                                     node_subject(request.node), from, request.ended_at) &&
                                 recorded.is_undisturbed(store_subject, from, request.ended_at) &&
                                 recorded.is_undisturbed(host_subject, from, request.ended_at);
        auto const* const shutdown = find_shutdown(recorded, request);
        if (!was_read || !undisturbed ||
            request.ended_at >= request.sent_at + allowed_time(request) ||
            server_failed(recorded, request, request_arrivals) ||
            (shutdown != nullptr && outlasts_shutdown(*shutdown, request, request_arrivals)))
            continue;
        auto text = request.id + ": read by " + node_subject(request.node) + " and not answered";
        if (shutdown != nullptr)
            text += ", sent " +
                    std::to_string(std::chrono::duration_cast<milliseconds>(request.sent_at -
                                                                            shutdown->signalled_at)
                                       .count()) +
                    " ms after SIGTERM";
        detected_violations.push_back(text);
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

violations check_recovery(history const& recorded)
{
    violations detected_violations;
    std::map<request_kind, std::array<int, 2>> counts;
    for (auto const& request : recorded.requests)
        if (request.sent_at > recorded.last_fault_end + limits::recovery_time &&
            !request.disconnected_at)
        {
            ++counts[request.kind][0];
            counts[request.kind][1] += is_success(request) ? 1 : 0;
        }
    for (auto const& [kind, count] : counts)
        if (count[1] * 4 < count[0])
            detected_violations.push_back(
                "kind " + std::to_string(static_cast<int>(kind)) + ": " + std::to_string(count[1]) +
                " of " + std::to_string(count[0]) + " succeeded after the last fault");
    return detected_violations;
}

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

violations check_processes(history const& recorded)
{
    return recorded.unexpected_exits;
}

constexpr std::array checks{
    check{"answers", check_responses},         check{"single_runs", check_single_executions},
    check{"refusals", check_rejections},       check{"moved_runs", check_handovers},
    check{"attempts", check_attempts},         check{"retry_budget", check_retry_budget},
    check{"departures", check_disconnects},    check{"departed_servers", check_leaving_servers},
    check{"evacuations", check_evacuations},   check{"configuration", check_configuration},
    check{"downgrades", check_downgrades},     check{"cold_servers", check_cold_servers},
    check{"time_limits", check_timeouts},      check{"stops", check_shutdowns},
    check{"forwarding", check_forwarding},     check{"recovery", check_recovery},
    check{"processes", check_processes},       check{"unanswered", check_unanswered_requests},
    check{"deadly_parts", check_deadly_parts}, check{"sound_prompts", check_sound_prompts},
};

} // namespace

std::span<check const> all_checks()
{
    return checks;
}

bool is_node_undisturbed(history const& recorded, int node, time_point at)
{
    for (auto const& subject : {node_subject(node), std::string(store_subject)})
        if (!recorded.is_undisturbed(subject, at - limits::settle_time, at))
            return false;
    return recorded.is_undisturbed(host_subject, at - limits::disconnect_propagation, at);
}

} // namespace jasminepier::tests::soak
