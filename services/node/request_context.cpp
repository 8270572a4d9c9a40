#include "services/node/request_context.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "platform/headers.hpp"
#include "services/node/attempt_limits.hpp"
#include "services/node/node_metrics.hpp"

#include <algorithm>
#include <cstdio>

namespace jasminepier::node
{
namespace
{

using base::error_kind;

// A starting node reads the configuration within about a second of its start. A request waits for
// it for this fraction of the caller's timeout, but not longer than the maximum.
constexpr double configuration_wait_fraction = 0.25;
constexpr base::milliseconds maximum_configuration_wait{1500};
// Slots that peers' requests release become free without a wakeup, so waiting requests poll.
constexpr base::milliseconds queue_poll_interval{25};
// Retry-After of rejected requests. A full service has a free slot again after about one generation
// of a short response.
constexpr base::milliseconds overload_retry_delay{400};
// A starting node, or one without listed servers, needs the store and the servers' entries. Callers
// with short timeouts wait for at most a third of their time.
constexpr base::milliseconds startup_retry_delay{2000};
// Expected length of an output without an estimate, as a fraction of its stated maximum.
constexpr double expected_output_fraction = 0.5;
// Shared parts of a prompt that are watched for crashes. A request with more of them could push the
// records about other requests out of their tables.
constexpr std::size_t maximum_tracked_prompt_parts = 64;
// Urgency of requests without a priority; the middle of the range from 0 to 9.
constexpr int default_urgency = 5;

base::milliseconds retry_after(error_kind kind)
{
    switch (kind)
    {
    case error_kind::overloaded:
    case error_kind::server_unreachable:
    case error_kind::stream_not_resumable:
        return overload_retry_delay;
    case error_kind::no_server:
    case error_kind::not_ready:
        return startup_retry_delay;
    default:
        return base::milliseconds(0);
    }
}

std::string format_seconds(base::milliseconds value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(value.count()) / 1000);
    return text;
}

} // namespace

std::string_view to_string(request_outcome outcome) noexcept
{
    switch (outcome)
    {
    case request_outcome::served:
        return "served";
    case request_outcome::server_error:
        return "server_answer";
    case request_outcome::local_response:
        return "own_answer";
    case request_outcome::aborted:
        return "broken_off";
    case request_outcome::caller_left:
        return "caller_left";
    }
    return "unknown";
}

request_context::request_context(node_state& shared_state, http::caller_connection& connection,
                                 http::wakeup& wakeup, http::request received,
                                 base::time_point arrived)
    : state(shared_state), caller(connection), wake(wakeup), request(std::move(received)),
      metadata(platform::read_request_metadata(request)), arrival(arrived), deadline(arrived),
      keep_connection(request.keep_alive)
{
    auto const tracked_parts =
        std::min(metadata.shared_prompt_parts.size(), maximum_tracked_prompt_parts);
    prompt_parts.reserve(tracked_parts);
    for (std::size_t i = 0; i < tracked_parts; ++i)
        prompt_parts.push_back(decision::fingerprint_prompt_part(metadata.shared_prompt_parts[i]));
    demand.prompt_tokens = metadata.prompt_tokens;
    demand.maximum_output_tokens = metadata.maximum_output_tokens;
    demand.expected_output_tokens = static_cast<std::int64_t>(
        expected_output_fraction * static_cast<double>(metadata.maximum_output_tokens));
    if (metadata.estimated_output_tokens)
        demand.expected_output_tokens =
            std::min(*metadata.estimated_output_tokens,
                     std::max(metadata.maximum_output_tokens, demand.expected_output_tokens));
}

base::milliseconds request_context::time_left() const
{
    auto const remaining = deadline - base::steady_clock_source{}.now();
    return std::max(std::chrono::duration_cast<base::milliseconds>(remaining),
                    base::milliseconds(0));
}

http::send_limits request_context::send_limits() const
{
    return {caller_send_timeout,
            std::max<base::time_point>(deadline,
                                       base::steady_clock_source{}.now() + caller_send_timeout)};
}

bool request_context::wait_until(base::time_point wait_deadline, std::function<bool()> const& done)
{
    http::wait_set poll_set;
    while (true)
    {
        auto const now = base::steady_clock_source{}.now();
        if (now >= wait_deadline)
            return false;
        poll_set.clear();
        poll_set.add(caller.descriptor(), POLLRDHUP);
        poll_set.add(wake.descriptor(), POLLIN);
        poll_set.wait(std::min<base::time_point>(wait_deadline, now + queue_poll_interval));
        wake.clear();
        if (poll_set.ready(0) != 0)
            return false;
        if (done())
            return true;
    }
}

bool request_context::wait_for_configuration()
{
    configuration = state.configuration();
    if (configuration)
        return true;
    auto const timeout = metadata.timeout.value_or(base::milliseconds(0));
    auto const wait = std::min(
        std::chrono::duration_cast<base::milliseconds>(configuration_wait_fraction * timeout),
        maximum_configuration_wait);
    state.with([&](node_state::tables& tables) { tables.waiting_requests.insert(&wake); });
    wait_until(std::min<base::time_point>(arrival + wait,
                                          state.shutdown().response_deadline(arrival + wait)),
               [&]
               {
                   configuration = state.configuration();
                   return configuration != nullptr;
               });
    state.with([&](node_state::tables& tables) { tables.waiting_requests.erase(&wake); });
    return configuration != nullptr;
}

bool request_context::try_spend_retry()
{
    auto const now = base::steady_clock_source{}.now();
    return state.with([&](node_state::tables& tables)
                      { return tables.dispatcher.try_spend_retry(service->name, now); });
}

serving::forwarded_metadata
request_context::make_forwarded_metadata(serving::selected_server const& server) const
{
    serving::forwarded_metadata metadata_to_forward;
    if (customer)
        metadata_to_forward.customer = customer->name;
    metadata_to_forward.server_id = server.id;
    metadata_to_forward.time_left = time_left();
    metadata_to_forward.urgency = std::clamp(default_urgency + demand.priority - 1, 0, 9);
    return metadata_to_forward;
}

void request_context::record_server_state(serving::selected_server const& server,
                                          serving::response_metadata const& response)
{
    // The address belongs to another server now.
    if (response.wrong_server)
        return;
    auto const now = base::steady_clock_source{}.now();
    auto const limit = response.request_rate_limit;
    bool limit_changed = false;
    bool leaving_announced = false;
    state.with(
        [&](node_state::tables& tables)
        {
            if (response.pause)
                tables.dispatcher.record_pause(server.id, *response.pause, now);
            auto& directory = tables.dispatcher.directory();
            // A late response says nothing about a server that has started again since.
            if (!directory.lists_process(server.id, server.started_unix_milliseconds))
                return;
            limit_changed = tables.dispatcher.record_rate_limit(server.id, limit, now);
            if (response.pace_percent)
                tables.dispatcher.record_pace(server.id, *response.pace_percent, now);
            leaving_announced =
                response.server_leaving && directory.record_announced_leaving(
                                               server.id, server.started_unix_milliseconds, now);
            if (leaving_announced)
                tables.dispatcher.notify_leaving();
        });
    if (response.pace_percent)
        stated_pace = response.pace_percent;
    if (response.pause)
    {
        observe_event("server_response", "pause");
        base::log_line(base::log_level::info, "server_paused")
            .field("request_id", metadata.request_id)
            .field("server", server.id)
            .field("pause_ms", response.pause->count());
    }
    if (leaving_announced)
    {
        state.report_due().signal();
        observe_event("server_response", "leaving");
        base::log_line(base::log_level::info, "server_says_leaving")
            .field("request_id", metadata.request_id)
            .field("server", server.id);
    }
    if (!limit_changed)
        return;
    state.report_due().signal();
    observe_event("server_limit", limit ? "stated" : "lifted");
    base::log_line(base::log_level::info, "server_limit")
        .field("request_id", metadata.request_id)
        .field("server", server.id)
        .field("requests_per_second", limit ? *limit : -1.0);
}

void request_context::log_selected_server(serving::selected_server const& server,
                                          std::string_view purpose) const
{
    base::log_line(base::log_level::info, "routed")
        .field("request_id", metadata.request_id)
        .field("purpose", purpose)
        .field("service", service->name)
        .field("server", server.id)
        .field("version", server.version)
        .field("score", server.score)
        .field("running", server.running)
        .field("occupancy", server.occupancy)
        .field("load_age_ms", server.load_age.count())
        .field("pace_percent", server.pace_percent)
        .field("expected_late", server.expected_late_streams)
        .field("prompt_tokens", demand.prompt_tokens)
        .field("expected_tokens", demand.expected_output_tokens)
        .field("maximum_tokens", metadata.maximum_output_tokens);
}

void request_context::send_local_error(base::error const& failure)
{
    auto const& error_response = base::error_response_for(failure.kind);
    status = error_response.http_status;
    error_code = error_response.code;
    outcome = request_outcome::local_response;
    auto fields = platform::local_response_fields(metadata.request_id);
    auto const body = "{\"error\":{\"code\":\"" + std::string(error_response.code) + "\"}}";
    fields.add("Content-Type", "application/json");
    fields.add("Content-Length", std::to_string(body.size()));
    if (error_response.http_status == 429 || error_response.http_status == 503)
        fields.add("Retry-After",
                   format_seconds(m_retry_delay.value_or(retry_after(failure.kind))));
    close_connection_during_shutdown();
    if (!keep_connection)
        fields.add("Connection", "close");
    auto text = http::write_response_head(error_response.http_status, "", fields);
    if (request.method != "HEAD")
        text += body;
    if (!caller.send(text, send_limits()))
        keep_connection = false;
}

void request_context::send_response(http::response const& response)
{
    status = response.status;
    auto fields = platform::end_to_end_fields(response);
    bool const status_has_no_body = response.status == 204 || response.status == 304;
    if (request.method == "HEAD")
    {
        if (auto const length = response.headers.find("Content-Length"))
            fields.add("Content-Length", *length);
    }
    else if (!status_has_no_body)
        fields.add("Content-Length", std::to_string(response.body.size()));
    close_connection_during_shutdown();
    if (!keep_connection)
        fields.add("Connection", "close");
    auto text = http::write_response_head(response.status, response.reason, fields);
    std::string_view rest;
    if (!status_has_no_body && request.method != "HEAD")
    {
        if (response.body.size() <= http::maximum_copied_body_bytes)
            text += response.body;
        else
            rest = response.body;
    }
    outcome = response.status / 100 == 2 ? request_outcome::served : request_outcome::server_error;
    if (!caller.send(text, send_limits()) || !caller.send(rest, send_limits()))
    {
        keep_connection = false;
        outcome = request_outcome::caller_left;
    }
}

void request_context::close_connection_during_shutdown()
{
    if (state.shutting_down() && !caller.has_pipelined_request())
        keep_connection = false;
}

void request_context::log_completion() const
{
    auto const now = base::steady_clock_source{}.now();
    auto const elapsed = [&](base::time_point at)
    { return std::chrono::duration_cast<base::milliseconds>(at - arrival).count(); };
    base::log_line line(base::log_level::info, "request");
    line.field("request_id", metadata.request_id)
        .field("outcome", to_string(outcome))
        .field("status", status)
        .field("code", error_code)
        .field("route", route == nullptr ? "" : route->name)
        .field("customer", customer ? customer->name : "")
        .field("server", last_server)
        .field("sends", attempts)
        .field("handovers", handovers)
        .field("elapsed_ms", elapsed(now))
        .field("configuration", configuration ? configuration->version : 0);
    if (first_event)
        line.field("first_event_ms", elapsed(*first_event));
    if (stated_pace)
        line.field("pace_percent", *stated_pace);
    if (largest_event_gap)
        line.field("largest_gap_ms",
                   std::chrono::duration_cast<base::milliseconds>(*largest_event_gap).count())
            .field("largest_gap_cause", largest_gap_cause);
    bool const missed_gap = largest_event_gap && route != nullptr &&
                            route->maximum_event_gap.count() > 0 &&
                            *largest_event_gap > route->maximum_event_gap;
    if (missed_gap)
        observe_event("event_gap_missed", largest_gap_cause);
    if (state.shutting_down())
        line.field("arrived_after_stop_ms", state.shutdown().admission().elapsed(arrival).count());
    observe_request({route == nullptr ? "none" : route->name, std::string(to_string(outcome)),
                     std::string(error_code)},
                    now - arrival,
                    first_event ? std::optional(*first_event - arrival) : std::nullopt);
}

} // namespace jasminepier::node
