#include "services/node/caller_session.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "services/node/attempt_limits.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/plain_relay.hpp"
#include "services/node/stream_relay.hpp"

#include <algorithm>

namespace jasminepier::node
{
namespace
{

using base::error_kind;

// Callers send the first request as soon as they have connected. A shutdown waits this long for it.
constexpr base::milliseconds first_request_timeout{500};

/// Counts a request as active from its first byte until it has been answered, so that a shutdown
/// waits for it. A new connection counts as active until it is clear whether a request follows.
class active_request_count
{
public:
    explicit active_request_count(node_state& state) : m_state(state) {}
    active_request_count(active_request_count const&) = delete;
    active_request_count& operator=(active_request_count const&) = delete;
    ~active_request_count() { set(false); }
    void set(bool counted)
    {
        if (m_counted == counted)
            return;
        m_counted = counted;
        m_state.add_active_requests(counted ? 1 : -1);
    }

private:
    node_state& m_state;
    bool m_counted = false;
};

std::optional<error_kind> error_for(http::read_outcome outcome)
{
    switch (outcome)
    {
    case http::read_outcome::malformed:
        return error_kind::bad_request;
    case http::read_outcome::head_too_large:
        return error_kind::header_too_large;
    case http::read_outcome::body_too_large:
        return error_kind::payload_too_large;
    case http::read_outcome::framing_too_large:
        return error_kind::header_too_large;
    case http::read_outcome::no_room:
        return error_kind::overloaded;
    case http::read_outcome::read_timeout:
        return error_kind::request_timeout;
    case http::read_outcome::request:
    case http::read_outcome::closed:
    case http::read_outcome::idle_timeout:
    case http::read_outcome::evicted:
    case http::read_outcome::interrupted:
        break;
    }
    return std::nullopt;
}

std::uint64_t request_fingerprint(request_context const& context)
{
    auto const customer = context.customer ? context.customer->name : std::string{};
    return base::stable_hash(context.request.body, base::stable_hash(context.request.target,
                                                                     base::stable_hash(customer)));
}

} // namespace

void caller_session::run()
{
    try
    {
        auto const configuration = m_state.configuration();
        auto const limits = configuration ? configuration->limits : serving::caller_limits{};
        http::wakeup wake;
        http::caller_connection caller(socket(),
                                       {limits.maximum_header_bytes, limits.maximum_body_bytes},
                                       m_state.caller_memory(), wake);
        serve_requests(caller, wake);
    }
    catch (std::exception const& failure)
    {
        base::log_line(base::log_level::warning, "connection_failed")
            .field("reason", failure.what());
    }
}

void caller_session::serve_requests(http::caller_connection& caller, http::wakeup& wake)
{
    active_request_count active(m_state);
    for (bool is_first = true;; is_first = false)
    {
        active.set(is_first || caller.has_pipelined_request());
        auto const configuration = m_state.configuration();
        auto const limits = configuration ? configuration->limits : serving::caller_limits{};
        http::read_timeouts const timeouts{limits.header_timeout, limits.idle_timeout,
                                           is_first ? first_request_timeout
                                                    : base::milliseconds(0)};
        http::request request;
        auto const outcome =
            caller.read_request(request, timeouts, m_state.shutdown().begin_event(),
                                [&]
                                {
                                    // In this order: `stop_reading` waits for
                                    // requests that are counted.
                                    active.set(true);
                                    return !m_state.reading_stopped();
                                });
        if (outcome == http::read_outcome::interrupted && caller.unacknowledged_bytes() > 0)
        {
            // The shutdown began before the caller had taken the last response.
            active.set(true);
            return caller.close_gracefully(
                {caller_send_timeout,
                 base::steady_clock_source{}.now() + m_state.settings()->shutdown_grace_period});
        }
        if (outcome != http::read_outcome::request)
            return send_read_error(caller, outcome);
        request_context context(m_state, caller, wake, std::move(request),
                                base::steady_clock_source{}.now() - caller.time_since_last_data());
        serve_request(context);
        context.log_completion();
        wake.clear();
        if (!context.keep_connection)
            return caller.close_gracefully(context.send_limits());
    }
}

void caller_session::send_read_error(http::caller_connection& caller, http::read_outcome outcome)
{
    constexpr std::chrono::seconds timeout{1};
    http::send_limits const send_limits{timeout, base::steady_clock_source{}.now() + timeout};
    if (outcome == http::read_outcome::evicted)
    {
        observe_event("caller_closed", http::to_string(caller.memory().cause()));
        // The caller may not have taken the last response yet.
        if (caller.unacknowledged_bytes() > 0)
            caller.close_gracefully(send_limits);
    }
    auto const kind = error_for(outcome);
    if (!kind)
        return;
    observe_event("caller_refused", base::to_string(*kind));
    base::log_line line(base::log_level::info, "request_unreadable");
    line.field("caller", caller.peer_address()).field("code", base::to_string(*kind));
    if (outcome == http::read_outcome::no_room)
        line.field("cause", http::to_string(caller.memory().cause()))
            .field("held", caller.memory().held_bytes())
            .field("held_by_all", m_state.caller_memory().used_bytes())
            .field("connections", m_state.caller_memory().connections());
    caller.discard_request();
    auto const& error_response = base::error_response_for(*kind);
    http::header_list fields;
    fields.add("Content-Length", "0");
    fields.add("Connection", "close");
    if (error_response.retry_after_seconds > 0)
        fields.add("Retry-After", std::to_string(error_response.retry_after_seconds));
    // A caller that is still sending looks for the response late.
    bool const still_sends = outcome == http::read_outcome::body_too_large ||
                             (outcome == http::read_outcome::no_room &&
                              caller.memory().cause() == http::eviction_cause::memory);
    if (caller.send(http::write_response_head(error_response.http_status, "", fields), send_limits))
        caller.close_gracefully(send_limits,
                                still_sends ? base::milliseconds(timeout) : caller.default_linger);
}

void caller_session::serve_request(request_context& context)
{
    base::handle([&] { return validate_and_relay(context); },
                 [&](base::error const& failure) { context.send_local_error(failure); });
}

base::result<void> caller_session::validate_and_relay(request_context& context)
{
    if (!context.wait_for_configuration())
        return base::fail(error_kind::not_ready, "no configuration has been received yet");
    context.route =
        context.configuration->find_route(context.metadata.host, context.request.path());
    if (context.route == nullptr)
        return base::fail(error_kind::not_found, "no route");
    auto const& route = *context.route;
    if (context.configuration->has_customers)
    {
        auto const customer =
            context.configuration->customers_by_key.find(context.metadata.api_key);
        if (customer != context.configuration->customers_by_key.end())
            context.customer = customer->second;
        else if (route.requires_key)
            return base::fail(error_kind::unauthorized, "the API key is unknown");
    }
    context.demand.maximum_event_gap = route.maximum_event_gap;
    context.demand.latency_objective = route.latency_objective;
    context.demand.priority = context.customer && context.customer->priority
                                  ? *context.customer->priority
                                  : route.priority;
    context.demand.route = route.name;
    context.deadline =
        context.arrival + std::min(context.metadata.timeout.value_or(route.timeout), route.timeout);
    auto const now = base::steady_clock_source{}.now();
    if (context.metadata.request_id.empty())
        return base::fail(error_kind::bad_request, "the request has no id");
    context.service =
        m_state.with([&](node_state::tables& tables)
                     { return tables.dispatcher.select_service(route, tables.random); });
    if (context.service == nullptr)
        return base::fail(error_kind::no_server, "the route has no service");
    context.service = context.configuration->find_service(context.service->name);
    if (context.service == nullptr)
        return base::fail(error_kind::no_server, "the service is not configured");
    if (route.idempotency == serving::request_idempotency::resumable &&
        context.metadata.resumes_stream())
        BOOST_LEAF_CHECK(context.find_stream_version());
    context.fingerprint = request_fingerprint(context);
    BOOST_LEAF_CHECK(context.check_crash_records());
    m_state.with([&](node_state::tables& tables)
                 { tables.dispatcher.add_request(context.service->name, now); });
    if (route.streaming)
        return stream_relay(context).serve();
    return plain_relay(context, m_pool).serve();
}

} // namespace jasminepier::node
