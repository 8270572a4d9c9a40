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

// Part of the latency objective for which a request waits for a place; later the caller is better
// served by another attempt.
constexpr double waiting_part = 0.5;
// A place becomes free without a signal when a peer's request ends.
constexpr base::milliseconds waiting_step{50};
// When to come back after a refusal. A full service has a place again within about one generation
// of a short answer.
constexpr base::milliseconds retry_after_full{400};
constexpr base::milliseconds retry_after_start{500};
// Outputs of unknown length are expected to take this part of the stated maximum.
constexpr double expected_part_of_maximum = 0.5;
// Urgency for requests without a priority of their own (middle of 0 to 9).
constexpr int usual_urgency = 5;

base::milliseconds retry_after(error_kind kind)
{
    switch (kind)
    {
    case error_kind::overloaded:
    case error_kind::no_server:
    case error_kind::server_unreachable:
        return retry_after_full;
    case error_kind::not_ready:
        return retry_after_start;
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

std::string_view to_string(request_outcome end) noexcept
{
    switch (end)
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

request_context::request_context(node_state& shared, http::caller_connection& connection,
                                 http::wakeup& waking, http::request received,
                                 base::time_point arrived)
    : state(shared), caller(connection), wake(waking), request(std::move(received)),
      metadata(platform::read_request_metadata(request)), arrival(arrived), deadline(arrived),
      keep_connection(request.keep_alive)
{
    demand.prompt_tokens = metadata.prompt_tokens;
    demand.expected_output_tokens = static_cast<std::int64_t>(
        expected_part_of_maximum * static_cast<double>(metadata.maximum_output_tokens));
    if (metadata.estimated_output_tokens)
        demand.expected_output_tokens =
            std::min(*metadata.estimated_output_tokens,
                     std::max(metadata.maximum_output_tokens, demand.expected_output_tokens));
}

base::milliseconds request_context::time_left() const
{
    auto const left = deadline - base::steady_clock_source{}.now();
    return std::max(std::chrono::duration_cast<base::milliseconds>(left), base::milliseconds(0));
}

std::optional<server_attempt> request_context::try_acquire_server(serving::server_selection& found)
{
    auto const now = base::steady_clock_source{}.now();
    auto run = state.with(
        [&](node_state::tables& tables) -> std::optional<server_attempt>
        {
            if (tables.dispatcher.more_urgent_waiting(service->name, demand.priority))
            {
                found = {std::nullopt, serving::exclusion_reason::full};
                return std::nullopt;
            }
            serving::selection_query query{service->name, demand, excluded,
                                           serving::selection_purpose::new_work,
                                           tables.nodes.self().zone};
            found = tables.dispatcher.select_server(query, now, tables.random);
            // A server that failed this request before is better than none.
            if (!found.server && !found.worth_waiting() && !excluded.empty())
            {
                query.excluded_servers = {};
                found = tables.dispatcher.select_server(query, now, tables.random);
            }
            if (!found.server)
                return std::nullopt;
            auto* const waking = &wake;
            auto const number = tables.dispatcher.begin_attempt(found.server->id, demand, now,
                                                                [waking] { waking->signal(); });
            return server_attempt(state, *found.server, number);
        });
    if (run && service->engine)
        run->share_load();
    if (run)
        log_route(run->server(), "new");
    return run;
}

base::result<server_attempt> request_context::acquire_server()
{
    serving::server_selection found;
    if (auto run = try_acquire_server(found))
        return std::move(*run);
    auto const started = base::steady_clock_source{}.now();
    auto const patience =
        std::chrono::duration_cast<base::milliseconds>(waiting_part * route->latency_objective);
    auto const until = std::min(started + patience, deadline);
    state.with(
        [&](node_state::tables& tables)
        {
            tables.waiting.insert(&wake);
            tables.dispatcher.add_waiting(service->name, demand.priority);
        });
    std::optional<server_attempt> run;
    bool left = false;
    http::wait_set waiting;
    while (!run && found.worth_waiting() && !left)
    {
        auto const now = base::steady_clock_source{}.now();
        if (now >= until)
            break;
        waiting.clear();
        waiting.add(caller.descriptor(), POLLRDHUP);
        waiting.add(wake.descriptor(), POLLIN);
        waiting.wait(std::min<base::time_point>(until, now + waiting_step));
        wake.clear();
        left = waiting.ready(0) != 0;
        if (!left)
            run = try_acquire_server(found);
    }
    state.with(
        [&](node_state::tables& tables)
        {
            tables.waiting.erase(&wake);
            tables.dispatcher.remove_waiting(service->name, demand.priority);
        });
    if (run)
        return std::move(*run);
    auto const waited =
        std::chrono::duration_cast<base::milliseconds>(base::steady_clock_source{}.now() - started);
    base::log_line(base::log_level::info, "no_place")
        .field("request_id", metadata.request_id)
        .field("service", service->name)
        .field("obstacle", serving::to_string(found.reason))
        .field("caller_left", left ? 1 : 0)
        .field("waited_ms", waited.count());
    auto const kind = found.worth_waiting() ? error_kind::overloaded : error_kind::no_server;
    return base::fail(kind, "no server has a place for the request");
}

std::optional<server_attempt>
request_context::acquire_handover_target(serving::selected_server const& source,
                                         std::vector<std::string> const& tried)
{
    auto const now = base::steady_clock_source{}.now();
    auto run = state.with(
        [&](node_state::tables& tables) -> std::optional<server_attempt>
        {
            serving::selection_query const query{service->name, demand, tried,
                                                 serving::selection_purpose::handover, source.zone};
            auto const found = tables.dispatcher.select_server(query, now, tables.random);
            if (!found.server)
                return std::nullopt;
            auto* const waking = &wake;
            auto const number = tables.dispatcher.begin_attempt(found.server->id, demand, now,
                                                                [waking] { waking->signal(); });
            return server_attempt(state, *found.server, number);
        });
    if (run)
    {
        run->share_load();
        log_route(run->server(), "handover");
    }
    return run;
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
    serving::forwarded_metadata added;
    if (customer)
        added.customer = customer->name;
    added.server_id = server.id;
    added.time_left = time_left();
    added.urgency = std::clamp(usual_urgency + demand.priority - 1, 0, 9);
    return added;
}

void request_context::note_crash(serving::selected_server const& server)
{
    auto const now = base::steady_clock_source{}.now();
    state.poison_requests().record({fingerprint, server.id, "", 0}, now);
}

void request_context::log_route(serving::selected_server const& server,
                                std::string_view purpose) const
{
    base::log_line(base::log_level::info, "routed")
        .field("request_id", metadata.request_id)
        .field("purpose", purpose)
        .field("service", service->name)
        .field("server", server.id)
        .field("score", server.score)
        .field("running", server.running)
        .field("occupancy", server.occupancy)
        .field("load_age_ms", server.load_age.count())
        .field("prompt_tokens", demand.prompt_tokens)
        .field("expected_tokens", demand.expected_output_tokens);
}

void request_context::refuse(base::error const& failure)
{
    auto const& row = base::error_response_for(failure.kind);
    status = row.http_status;
    code = row.code;
    ended = request_outcome::local_response;
    auto fields = platform::local_response_fields(metadata.request_id);
    auto const body = "{\"error\":{\"code\":\"" + std::string(row.code) + "\"}}";
    fields.add("Content-Type", "application/json");
    fields.add("Content-Length", std::to_string(body.size()));
    if (row.http_status == 429 || row.http_status == 503)
        fields.add("Retry-After", format_seconds(retry_after(failure.kind)));
    if (state.shutting_down())
        keep_connection = false;
    if (!keep_connection)
        fields.add("Connection", "close");
    auto text = http::write_response_head(row.http_status, "", fields);
    if (request.method != "HEAD")
        text += body;
    if (!caller.send(text, base::steady_clock_source{}.now() + caller_send_limit))
        keep_connection = false;
}

void request_context::deliver(http::response const& answer)
{
    status = answer.status;
    auto fields = platform::end_to_end_fields(answer);
    bool const bodiless = answer.status == 204 || answer.status == 304;
    if (request.method == "HEAD")
    {
        if (auto const length = answer.headers.find("Content-Length"))
            fields.add("Content-Length", *length);
    }
    else if (!bodiless)
        fields.add("Content-Length", std::to_string(answer.body.size()));
    if (state.shutting_down())
        keep_connection = false;
    if (!keep_connection)
        fields.add("Connection", "close");
    auto text = http::write_response_head(answer.status, answer.reason, fields);
    if (!bodiless && request.method != "HEAD")
        text += answer.body;
    ended = answer.status / 100 == 2 ? request_outcome::served : request_outcome::server_error;
    if (!caller.send(text, base::steady_clock_source{}.now() + caller_send_limit))
    {
        keep_connection = false;
        ended = request_outcome::caller_left;
    }
}

void request_context::log_end() const
{
    auto const now = base::steady_clock_source{}.now();
    auto const elapsed = [&](base::time_point at)
    { return std::chrono::duration_cast<base::milliseconds>(at - arrival).count(); };
    base::log_line line(base::log_level::info, "request");
    line.field("request_id", metadata.request_id)
        .field("outcome", to_string(ended))
        .field("status", status)
        .field("code", code)
        .field("route", route == nullptr ? "" : route->name)
        .field("customer", customer ? customer->name : "")
        .field("server", last_server)
        .field("sends", attempts)
        .field("handovers", handovers)
        .field("elapsed_ms", elapsed(now))
        .field("configuration", configuration ? configuration->version : 0);
    if (first_event)
        line.field("first_event_ms", elapsed(*first_event));
    observe_request(
        {route == nullptr ? "none" : route->name, std::string(to_string(ended)), std::string(code)},
        now - arrival, first_event ? std::optional(*first_event - arrival) : std::nullopt);
}

} // namespace jasminepier::node
