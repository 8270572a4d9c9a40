#include "tests/soak/history_queries.hpp"
#include "tests/soak/individual_checks.hpp"

#include <algorithm>

namespace jasminepier::tests::soak
{
namespace
{

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

} // namespace

violations check_shutdowns(history const& recorded)
{
    violations detected_violations;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& shutdown : recorded.shutdowns)
    {
        auto const name = node_subject(shutdown.node);
        auto const grace_period_end = shutdown.signalled_at + test_settings::shutdown_grace_period;
        if (!shutdown.exited_at || *shutdown.exited_at > grace_period_end ||
            (shutdown.exit_status != 0 && !shutdown.was_starting))
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

} // namespace jasminepier::tests::soak
