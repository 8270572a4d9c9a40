#include "services/node/plain_relay.hpp"

#include "base/log.hpp"
#include "http/status.hpp"
#include "platform/headers.hpp"
#include "services/node/attempt_limits.hpp"
#include "services/node/node_metrics.hpp"

#include <algorithm>

namespace jasminepier::node
{
namespace
{

using base::error_kind;
using serving::attempt_outcome;

// Fraction of the latency objective after which an idempotent request is hedged at a second server.
constexpr double hedge_fraction = 0.7;

// A response's memory doubles as it grows, beside its earlier copy.
constexpr std::size_t response_growth_factor = 3;

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

/// Returns the events to wait for. Without room, the server's response stays unread.
short read_events(http::client_exchange const& exchange, bool has_room)
{
    auto const events = exchange.poll_events();
    return has_room ? events : static_cast<short>(events & ~POLLIN);
}

} // namespace

bool plain_relay::is_idempotent() const
{
    return m_context.route->idempotency != serving::request_idempotency::non_idempotent;
}

bool plain_relay::try_spend_attempt()
{
    return m_context.attempts < maximum_attempts_per_request && m_context.time_left().count() > 0 &&
           m_context.possible_executions < m_context.route->maximum_attempts &&
           m_context.try_spend_retry();
}

plain_relay::pending_attempt plain_relay::start(server_attempt attempt)
{
    pending_attempt started(std::move(attempt));
    auto const& server = started.attempt.server();
    auto const forwarded =
        platform::make_forwarded_head(m_context.request, m_context.make_forwarded_metadata(server));
    auto outgoing = http::make_outgoing(forwarded, m_context.request.body);
    bool const expect_body = m_context.request.method != "HEAD";
    std::optional<Poco::Net::StreamSocket> connection;
    // A retry opens a connection of its own: the first attempt may have failed because of a late
    // copy of another response on a pooled connection, and the next one may hold such a copy, too.
    if (is_idempotent() && m_context.attempts == 0)
        connection = m_pool.try_acquire(server.id, now());
    started.uses_pooled_connection = connection.has_value();
    started.exchange = connection ? std::make_unique<http::client_exchange>(
                                        *connection, std::move(outgoing), expect_body, now())
                                  : std::make_unique<http::client_exchange>(
                                        server.address, std::move(outgoing), expect_body, now());
    ++m_context.attempts;
    ++m_context.possible_executions;
    m_context.last_server = server.id;
    return started;
}

std::optional<plain_relay::pending_attempt> plain_relay::start_hedge()
{
    m_hedged = true;
    if (!m_context.has_spare_room() || !try_spend_attempt())
        return std::nullopt;
    auto attempt = m_context.acquire_server(room_use::spare);
    if (!attempt)
        return std::nullopt;
    observe_event("hedge", "sent");
    return start(std::move(*attempt));
}

plain_relay::attempt_result plain_relay::finish_attempt(pending_attempt& current,
                                                        std::size_t other_bytes)
{
    auto& exchange = *current.exchange;
    auto const server = current.attempt.server();
    auto const log_failure = [&](std::string_view reason)
    {
        base::log_line(base::log_level::info, "attempt_failed")
            .field("request_id", m_context.metadata.request_id)
            .field("server", server.id)
            .field("reason", reason)
            .field("status", exchange.head().status)
            .field("sent", exchange.any_bytes_sent() ? 1 : 0);
    };
    m_context.excluded_servers.push_back(server.id);
    if (exchange.failure() == http::exchange_failure::not_connected ||
        (exchange.failure() != http::exchange_failure::none && !exchange.any_bytes_sent()))
    {
        log_failure("not_connected");
        --m_context.possible_executions;
        ++m_context.unreached_attempts;
        current.attempt.end(attempt_outcome::unreachable);
        return attempt_result::not_run;
    }
    if (exchange.failure() != http::exchange_failure::none)
    {
        log_failure(http::to_string(exchange.failure()));
        m_may_have_executed = true;
        // A pooled connection may have been closed as idle, which says nothing about the server.
        current.attempt.end(current.uses_pooled_connection ? attempt_outcome::inconclusive
                                                           : attempt_outcome::failed);
        if (exchange.failure() == http::exchange_failure::connection_lost)
            m_context.record_lost_answer(
                server, {exchange.closed_by_peer(), exchange.head_received(), false});
        return attempt_result::failed;
    }
    if (current.body.empty())
        current.body = exchange.take_body();
    else
        current.body += exchange.take_body();
    auto const& head = exchange.head();
    auto const metadata = platform::read_response_metadata(head);
    bool const response_matches =
        metadata.request_id == m_context.metadata.request_id && !metadata.encoded;
    if (response_matches)
        m_context.record_server_state(server, metadata);
    if (response_matches && metadata.declined)
    {
        log_failure("declined");
        --m_context.possible_executions;
        if (metadata.full)
            m_context.record_full_server(server);
        current.attempt.end(metadata.wrong_server ? attempt_outcome::unreachable
                                                  : attempt_outcome::declined);
        return attempt_result::not_run;
    }
    m_may_have_executed = true;
    http::response response = head;
    response.body = std::move(current.body);
    if (!response_matches || (head.status / 100 == 2 && !metadata.has_signature))
    {
        log_failure("foreign_answer");
        current.attempt.end(attempt_outcome::failed);
        return attempt_result::failed;
    }
    if (auto connection = exchange.release_connection(); connection && is_idempotent())
        m_pool.release(server.id, *connection,
                       metadata.keep_alive_seconds
                           ? std::optional<base::milliseconds>(
                                 std::chrono::seconds(*metadata.keep_alive_seconds))
                           : std::nullopt,
                       now());
    if (head.status / 100 == 5 || http::promises_no_execution(head.status))
    {
        log_failure("server_error");
        current.attempt.end(attempt_outcome::failed);
        m_error_response = std::move(response);
        return attempt_result::error_response;
    }
    current.attempt.end(attempt_outcome::succeeded);
    // A server may reject a request as invalid without running it.
    if (head.status / 100 == 2)
    {
        m_context.record_answered();
        m_context.record_completed();
    }
    m_context.last_server = server.id;
    // Until the caller has taken the response, only its final size is held.
    m_context.caller.memory().hold(m_context.caller.request_bytes() + error_response_bytes() +
                                   response.body.capacity() + other_bytes);
    m_context.send_response(response);
    return attempt_result::delivered;
}

std::size_t plain_relay::error_response_bytes() const noexcept
{
    return m_error_response ? m_error_response->body.capacity() : 0;
}

bool plain_relay::try_hold_responses(pending_attempt const& first,
                                     std::optional<pending_attempt> const& second)
{
    auto bytes = first.exchange->untaken_bytes();
    if (second)
        bytes += second->exchange->untaken_bytes();
    auto& memory = m_context.caller.memory();
    auto const held =
        m_context.caller.request_bytes() + error_response_bytes() + response_growth_factor * bytes;
    return memory.try_hold(held) || memory.try_hold_or_evict(held, now());
}

plain_relay::attempt_result plain_relay::await_result(pending_attempt& first,
                                                      std::optional<pending_attempt>& second)
{
    http::wait_set poll_set;
    auto const hedge_time =
        first.exchange->start_time() + std::chrono::duration_cast<base::milliseconds>(
                                           hedge_fraction * m_context.route->latency_objective);
    while (true)
    {
        auto const current_time = now();
        for (auto* current : {&first, second ? &*second : nullptr})
        {
            if (current == nullptr)
                continue;
            bool const connect_timed_out =
                current_time >= current->exchange->start_time() + connect_timeout;
            // The process may have been paused since it last looked at the connection.
            if (current_time >= m_context.response_deadline() ||
                (connect_timed_out && !current->exchange->connected()))
                current->exchange->advance_if_ready();
            if (connect_timed_out && !current->exchange->connected() && !current->exchange->ended())
                current->exchange->fail_as_not_connected();
            if (!current->exchange->ended())
                continue;
            auto const* other = current != &first ? &first : second ? &*second : nullptr;
            auto const result =
                finish_attempt(*current, other == nullptr ? 0 : other->exchange->untaken_bytes());
            // The other attempt may still succeed.
            bool const other_pending =
                second && !(current == &first ? *second : first).exchange->ended();
            if (result == attempt_result::delivered || result == attempt_result::caller_left ||
                !other_pending)
                return result;
            if (current == &first)
                std::swap(first, *second);
            second.reset();
            break;
        }
        auto const shutdown_descriptor = m_context.state.shutdown().pending_descriptor();
        if (current_time >= m_context.response_deadline())
            return attempt_result::deadline_exceeded;
        if (is_idempotent() && !m_hedged && !second && current_time >= hedge_time)
            second = start_hedge();
        poll_set.clear();
        poll_set.add(m_context.caller.descriptor(), POLLRDHUP);
        bool const has_room = try_hold_responses(first, second);
        poll_set.add(first.exchange->descriptor(), read_events(*first.exchange, has_room));
        if (second)
            poll_set.add(second->exchange->descriptor(), read_events(*second->exchange, has_room));
        poll_set.add(shutdown_descriptor, POLLIN);
        auto wait_deadline = m_context.response_deadline();
        if (is_idempotent() && !m_hedged)
            wait_deadline = std::min(wait_deadline, std::max(hedge_time, current_time));
        if (!first.exchange->connected() || (second && !second->exchange->connected()))
            wait_deadline = std::min(wait_deadline, current_time + connect_timeout);
        if (!has_room)
            wait_deadline =
                std::min(wait_deadline, current_time + m_context.caller.memory().poll_interval());
        poll_set.wait(wait_deadline);
        if (poll_set.ready(0) != 0)
            return attempt_result::caller_left;
        first.exchange->advance(poll_set.ready(1));
        if (second)
            second->exchange->advance(poll_set.ready(2));
    }
}

base::result<void> plain_relay::respond_after_failure()
{
    if (m_error_response && http::promises_no_execution(m_error_response->status))
        return base::fail(error_kind::server_failed,
                          "the response would promise that the request did not run");
    if (!m_error_response)
        return base::fail(error_kind::server_failed, "the server failed to complete the request");
    m_context.send_response(*m_error_response);
    return {};
}

base::result<void> plain_relay::serve()
{
    while (true)
    {
        // A request that fails at one server mostly fails at the next one, too: it takes no room
        // that others wait for.
        auto attempt =
            m_context.acquire_server(m_error_response ? room_use::spare : room_use::ranked);
        if (!attempt && m_may_have_executed)
            return respond_after_failure();
        if (!attempt)
            return attempt.error();
        auto first = start(std::move(*attempt));
        std::optional<pending_attempt> second;
        auto const result = await_result(first, second);
        switch (result)
        {
        case attempt_result::delivered:
            return {};
        case attempt_result::caller_left:
            m_context.outcome = request_outcome::caller_left;
            m_context.keep_connection = false;
            return {};
        case attempt_result::deadline_exceeded:
            m_may_have_executed = m_may_have_executed || first.exchange->any_bytes_sent() ||
                                  (second && second->exchange->any_bytes_sent());
            first.attempt.end(attempt_outcome::failed);
            if (m_may_have_executed)
                return base::fail(error_kind::timed_out, "the server did not respond in time");
            return base::fail(error_kind::deadline_exceeded, "no server could be reached in time");
        case attempt_result::not_run:
            if (m_context.never_reached() ? m_context.may_try_further() : try_spend_attempt())
                break;
            if (m_may_have_executed)
                return respond_after_failure();
            return base::fail(error_kind::server_unreachable, "no server accepted the request");
        case attempt_result::failed:
        case attempt_result::error_response:
            if (is_idempotent() && (!m_error_response || m_context.has_spare_room()) &&
                try_spend_attempt())
                break;
            return respond_after_failure();
        }
    }
}

} // namespace jasminepier::node
