#include "tests/soak/history_queries.hpp"
#include "tests/soak/individual_checks.hpp"

#include <algorithm>

namespace jasminepier::tests::soak
{
namespace
{

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

} // namespace

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

} // namespace jasminepier::tests::soak
