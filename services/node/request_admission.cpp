/// How a request gets its server: at once, or by its place in the order of admission.
#include "base/log.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/request_context.hpp"
#include "serving/response_time_bound.hpp"

#include <algorithm>
#include <memory>

namespace jasminepier::node
{
namespace
{

using base::error_kind;

// Servers that a request tries in vain before it is rejected. A node tries a server that refuses
// connections once in 0.4 s at most, so its requests share the servers of a zone that fails.
constexpr int maximum_unreached_attempts = 12;

// Fraction of the latency objective for which a request waits for a server that is cold or at its
// limit. After that, the caller is better off with a retry of its own.
constexpr double queue_wait_fraction = 0.5;
// The same for a request that waits for its service's servers to be listed again. Their entries are
// back about two seconds after the store, so a retry shortly after a rejection would fail, too.
constexpr double unlisted_wait_fraction = 0.8;

} // namespace

std::int64_t request_context::needed_tokens() const
{
    if (!service->engine)
        return 0;
    // Callers state the counts, so they are limited to what an engine holds.
    auto const most = std::max<std::int64_t>(service->engine->cache_tokens, 1);
    auto const prompt = std::min(demand.prompt_tokens, most);
    return std::clamp<std::int64_t>(prompt + std::min(demand.expected_output_tokens, most), 1,
                                    most);
}

serving::admission_request request_context::make_admission_request(base::time_point now) const
{
    // A stream that has begun is due from now on.
    auto const begin = first_event ? now : arrival;
    return {.priority = demand.priority,
            .route_priority = route->priority,
            .tokens = needed_tokens(),
            .arrival = begin,
            .objective_end = begin + route->latency_objective,
            .deadline = deadline};
}

server_attempt request_context::begin_attempt(node_state::tables& tables,
                                              serving::selected_server const& server,
                                              base::time_point now)
{
    auto* const attempt_wakeup = &wake;
    auto const id = tables.dispatcher.begin_attempt(server.id, demand, now,
                                                    [attempt_wakeup] { attempt_wakeup->signal(); });
    return {state, server, id};
}

std::optional<server_attempt>
request_context::try_acquire_server(serving::server_selection& selection, room_use use)
{
    auto const now = base::steady_clock_source{}.now();
    if (!may_run() || !prompt_parts_may_run())
    {
        selection = {std::nullopt, serving::exclusion_reason::none};
        return std::nullopt;
    }
    auto attempt = state.with(
        [&](node_state::tables& tables) -> std::optional<server_attempt>
        {
            auto const& dispatcher = tables.dispatcher;
            bool const may_take_room =
                use == room_use::spare
                    ? dispatcher.waiting().all(service->name, now).requests == 0
                    : dispatcher.may_take_room(service->name, m_order, m_ticket, now);
            if (!may_take_room)
            {
                selection = {std::nullopt, serving::exclusion_reason::full};
                return std::nullopt;
            }
            serving::selection_query query{service->name, demand, excluded_servers,
                                           serving::selection_purpose::new_work,
                                           tables.nodes.self().zone};
            query.required_version = stream_version;
            selection = tables.dispatcher.select_server(query, now, tables.random);
            // Fall back to a server that has already failed this request.
            if (!selection.server && !selection.worth_waiting() && !excluded_servers.empty())
            {
                query.excluded_servers = {};
                selection = tables.dispatcher.select_server(query, now, tables.random);
            }
            if (!selection.server)
                return std::nullopt;
            return begin_attempt(tables, *selection.server, now);
        });
    // A trial is sent once.
    if (attempt)
    {
        m_trial_verdict = decision::part_verdict::clean;
        m_is_request_trial = false;
    }
    if (attempt && service->engine)
        attempt->share_load();
    if (attempt)
        log_selected_server(attempt->server(), "new");
    return attempt;
}

base::time_point request_context::find_wait_end(serving::server_selection const& selection,
                                                base::time_point now) const
{
    auto const wait_fraction = selection.reason == serving::exclusion_reason::unlisted
                                   ? unlisted_wait_fraction
                                   : queue_wait_fraction;
    auto const usual_wait =
        std::chrono::duration_cast<base::milliseconds>(wait_fraction * route->latency_objective);
    auto const usual_end = std::min(now + usual_wait, deadline);
    if (selection.reason != serving::exclusion_reason::full)
        return selection.worth_waiting() && selection.delay <= usual_wait ? usual_end : now;
    return state.with(
        [&](node_state::tables& tables) -> base::time_point
        {
            auto const& dispatcher = tables.dispatcher;
            auto const response = dispatcher.waiting().expected_response(service->name);
            // Plain servers that are full for longer are overloaded: a longer wait there delays
            // those that could still be in time.
            auto const order_end = service->engine ? serving::find_wait_end(m_order, response)
                                                   : base::time_point(usual_end);
            auto const wait_end = std::min<base::time_point>(
                std::max<base::time_point>(order_end, usual_end), deadline - response);
            auto const expected =
                dispatcher.expected_wait(service->name, m_order, std::nullopt, now);
            return expected && now + *expected > wait_end ? now : wait_end;
        });
}

std::optional<server_attempt> request_context::wait_for_server(serving::server_selection& selection,
                                                               base::time_point wait_end)
{
    m_ticket = state.with(
        [&](node_state::tables& tables)
        {
            auto const now = base::steady_clock_source{}.now();
            auto const ticket = tables.dispatcher.waiting().add(service->name, m_order, now);
            if (ticket)
                tables.waiting_requests.insert(&wake);
            return ticket;
        });
    if (!m_ticket)
        return std::nullopt;
    // Other nodes leave room for a waiting generation from now on.
    auto const notify_peers = [&]
    {
        if (service->engine)
            state.report_due().signal();
    };
    notify_peers();
    // Also after an exception: an entry that stays would hold back requests of all nodes.
    auto const leave_list = [&](void const*)
    {
        state.with(
            [&](node_state::tables& tables)
            {
                tables.waiting_requests.erase(&wake);
                tables.dispatcher.waiting().remove(*m_ticket);
            });
        m_ticket.reset();
    };
    std::unique_ptr<request_context, decltype(leave_list)> entry(this, leave_list);
    std::optional<server_attempt> attempt;
    wait_until(wait_end,
               [&]
               {
                   auto const bound = serving::response_time_bound(
                       *route, metadata, base::steady_clock_source{}.now(), deadline);
                   bool const displaced =
                       state.with([&](node_state::tables& tables)
                                  { return tables.dispatcher.waiting().displaced(*m_ticket); });
                   if (displaced || !state.shutdown().admission().admits(bound))
                       return true;
                   attempt = try_acquire_server(selection, room_use::ranked);
                   return attempt || !selection.worth_waiting();
               });
    entry.reset();
    notify_peers();
    return attempt;
}

bool request_context::has_spare_room()
{
    auto const now = base::steady_clock_source{}.now();
    return state.with(
        [&](node_state::tables& tables)
        { return tables.dispatcher.waiting().all(service->name, now).requests == 0; });
}

void request_context::record_admission(serving::server_selection const& selection,
                                       base::time_point wait_start, bool admitted)
{
    auto const now = base::steady_clock_source{}.now();
    auto const waited = std::chrono::duration_cast<base::milliseconds>(now - wait_start);
    std::optional<base::milliseconds> expected;
    serving::admission_rank rank = 0;
    serving::waiting_demand ahead;
    state.with(
        [&](node_state::tables& tables)
        {
            auto& dispatcher = tables.dispatcher;
            if (attempts == 0)
                dispatcher.waiting().record_decision(service->name, m_order, admitted, now);
            rank = dispatcher.waiting().rank(service->name, m_order, now);
            ahead = dispatcher.waiting().better_than(service->name, m_order, std::nullopt, now);
            expected = dispatcher.expected_wait(service->name, m_order, std::nullopt, now);
        });
    m_retry_delay = selection.delay;
    if (!m_retry_delay && selection.reason == serving::exclusion_reason::full)
    {
        // An estimate that has already passed is no reason to come back at once.
        auto const estimate = expected && *expected < waited ? std::nullopt : expected;
        m_retry_delay = serving::find_retry_delay(m_order, estimate, now);
    }
    auto const rank_label = "rank_" + std::to_string(rank);
    observe_event(admitted ? "admitted_after_wait" : "rejected_for_room", rank_label);
    base::log_line(base::log_level::info, admitted ? "admitted" : "no_place")
        .field("request_id", metadata.request_id)
        .field("service", service->name)
        .field("obstacle", serving::to_string(selection.reason))
        .field("waited_ms", waited.count())
        .field("rank", rank)
        .field("needed_tokens", m_order.tokens)
        .field("ahead", ahead.requests)
        .field("ahead_tokens", ahead.tokens)
        .field("expected_room_ms", expected ? expected->count() : -1)
        .field("retry_after_ms", m_retry_delay && !admitted ? m_retry_delay->count() : -1);
}

base::result<server_attempt> request_context::acquire_server(room_use use)
{
    auto const response_bound = [&]
    {
        return serving::response_time_bound(*route, metadata, base::steady_clock_source{}.now(),
                                            deadline);
    };
    BOOST_LEAF_CHECK(state.shutdown().check_start(response_bound()));
    auto const start = base::steady_clock_source{}.now();
    m_order = make_admission_request(start);
    serving::server_selection selection;
    if (auto attempt = try_acquire_server(selection, use))
    {
        if (attempts == 0)
            state.with(
                [&](node_state::tables& tables) {
                    tables.dispatcher.waiting().record_decision(service->name, m_order, true,
                                                                start);
                });
        return std::move(*attempt);
    }
    if (use == room_use::spare)
        return base::fail(error_kind::overloaded, "no server has room that nobody waits for");
    auto const obstacle = selection;
    if (selection.worth_waiting())
    {
        auto const wait_end = find_wait_end(selection, start);
        auto attempt = wait_end > start ? wait_for_server(selection, wait_end)
                                        : std::optional<server_attempt>{};
        if (attempt)
        {
            record_admission(obstacle, start, true);
            return std::move(*attempt);
        }
    }
    BOOST_LEAF_CHECK(state.shutdown().check_start(response_bound()));
    BOOST_LEAF_CHECK(check_crash_records());
    bool const rejected_for_load =
        selection.depends_on_time() ||
        (selection.worth_waiting() && selection.reason != serving::exclusion_reason::unlisted);
    record_admission(selection, start, false);
    if (selection.reason == serving::exclusion_reason::other_version)
        return base::fail(error_kind::stream_not_resumable,
                          "no server of the version that began the stream is listed");
    return base::fail(rejected_for_load ? error_kind::overloaded : error_kind::no_server,
                      "no server has a free slot for the request");
}

bool request_context::may_try_further()
{
    auto const now = base::steady_clock_source{}.now();
    auto const wait_end = state.with(
        [&](node_state::tables& tables)
        {
            auto const response = tables.dispatcher.waiting().expected_response(service->name);
            return serving::find_wait_end(make_admission_request(now), response);
        });
    return attempts < maximum_unreached_attempts && now < wait_end;
}

void request_context::record_full_server(serving::selected_server const& server)
{
    observe_event("server_response", "full");
    std::erase(excluded_servers, server.id);
    auto const now = base::steady_clock_source{}.now();
    state.with([&](node_state::tables& tables) { tables.dispatcher.record_full(server.id, now); });
}

std::optional<server_attempt>
request_context::acquire_handover_target(serving::selected_server const& source,
                                         std::vector<std::string> const& excluded_targets)
{
    auto const now = base::steady_clock_source{}.now();
    auto attempt = state.with(
        [&](node_state::tables& tables) -> std::optional<server_attempt>
        {
            serving::selection_query query{service->name, demand, excluded_targets,
                                           serving::selection_purpose::handover, source.zone};
            query.required_version = serving::hash_version(service->name, source.version);
            auto const selection = tables.dispatcher.select_server(query, now, tables.random);
            if (!selection.server)
                return std::nullopt;
            return begin_attempt(tables, *selection.server, now);
        });
    if (attempt)
    {
        attempt->share_load();
        log_selected_server(attempt->server(), "handover");
    }
    return attempt;
}

} // namespace jasminepier::node
