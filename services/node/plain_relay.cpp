#include "services/node/plain_relay.hpp"

#include "base/log.hpp"
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

// Part of the latency objective after which a repeatable request is sent to a second server.
constexpr double hedge_part = 0.7;

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

} // namespace

bool plain_relay::may_repeat() const
{
    return m_context.route->idempotency != serving::request_idempotency::non_idempotent;
}

bool plain_relay::may_send_again()
{
    return m_context.attempts < maximum_attempts_per_request && m_context.time_left().count() > 0 &&
           m_context.servers_used < m_context.route->maximum_attempts &&
           m_context.try_spend_retry();
}

plain_relay::attempt plain_relay::start(server_attempt run)
{
    attempt started(std::move(run));
    auto const& server = started.run.server();
    auto const forwarded = platform::make_forwarded_request(
        m_context.request, m_context.make_forwarded_metadata(server));
    auto const bytes = http::write_request(forwarded);
    bool const expect_body = m_context.request.method != "HEAD";
    std::optional<Poco::Net::StreamSocket> kept;
    if (may_repeat())
        kept = m_pool.take(server.id, now());
    started.pooled = kept.has_value();
    started.exchange =
        kept ? std::make_unique<http::client_exchange>(*kept, bytes, expect_body, now())
             : std::make_unique<http::client_exchange>(server.address, bytes, expect_body, now());
    ++m_context.attempts;
    ++m_context.servers_used;
    m_context.last_server = server.id;
    return started;
}

std::optional<plain_relay::attempt> plain_relay::start_hedge()
{
    m_hedged = true;
    if (!may_send_again())
        return std::nullopt;
    auto run = m_context.acquire_server();
    if (!run)
        return std::nullopt;
    observe_event("hedge", "sent");
    return start(std::move(*run));
}

plain_relay::verdict plain_relay::judge(attempt& current)
{
    auto& exchange = *current.exchange;
    auto const server = current.run.server();
    auto const log_failure = [&](std::string_view reason)
    {
        base::log_line(base::log_level::info, "attempt_failed")
            .field("request_id", m_context.metadata.request_id)
            .field("server", server.id)
            .field("reason", reason)
            .field("status", exchange.head().status)
            .field("sent", exchange.any_bytes_sent() ? 1 : 0);
    };
    m_context.excluded.push_back(server.id);
    if (exchange.failure() == http::exchange_failure::not_connected ||
        (exchange.failure() != http::exchange_failure::none && !exchange.any_bytes_sent()))
    {
        log_failure("not_connected");
        --m_context.servers_used;
        current.run.end(attempt_outcome::unreachable);
        return verdict::not_run;
    }
    if (exchange.failure() != http::exchange_failure::none)
    {
        log_failure(http::to_string(exchange.failure()));
        m_started_work = true;
        // An idle connection that the server closed says nothing about the server.
        current.run.end(current.pooled ? attempt_outcome::inconclusive : attempt_outcome::failed);
        m_context.note_crash(server);
        return verdict::failed;
    }
    current.body += exchange.take_body();
    auto const& head = exchange.head();
    auto const reply = platform::read_response_metadata(head);
    bool const own = reply.request_id == m_context.metadata.request_id && !reply.encoded;
    if (own && reply.declined)
    {
        log_failure("declined");
        --m_context.servers_used;
        current.run.end(reply.wrong_server ? attempt_outcome::unreachable
                                           : attempt_outcome::declined);
        return verdict::not_run;
    }
    m_started_work = true;
    http::response answer = head;
    answer.body = std::move(current.body);
    if (!own || (head.status / 100 == 2 && !reply.has_signature))
    {
        log_failure("foreign_answer");
        current.run.end(attempt_outcome::failed);
        return verdict::failed;
    }
    if (auto kept = exchange.release_connection(); kept && may_repeat())
        m_pool.put(server.id, *kept,
                   reply.keep_alive_seconds ? std::optional<base::milliseconds>(
                                                  std::chrono::seconds(*reply.keep_alive_seconds))
                                            : std::nullopt,
                   now());
    if (head.status / 100 == 5)
    {
        log_failure("server_error");
        current.run.end(attempt_outcome::failed);
        m_failure_answer = std::move(answer);
        return verdict::failure_answer;
    }
    current.run.end(attempt_outcome::succeeded);
    m_context.last_server = server.id;
    m_context.deliver(answer);
    return verdict::delivered;
}

plain_relay::verdict plain_relay::drive(attempt& first, std::optional<attempt>& second)
{
    http::wait_set waiting;
    auto const hedge_at =
        first.exchange->start_time() + std::chrono::duration_cast<base::milliseconds>(
                                           hedge_part * m_context.route->latency_objective);
    while (true)
    {
        auto const time = now();
        for (auto* current : {&first, second ? &*second : nullptr})
        {
            if (current == nullptr)
                continue;
            if (!current->exchange->connected() && !current->exchange->ended() &&
                time >= current->exchange->start_time() + connect_limit)
                current->exchange->fail_as_not_connected();
            if (!current->exchange->ended())
                continue;
            auto const result = judge(*current);
            // The other attempt may still succeed.
            bool const other_runs =
                second && !(current == &first ? *second : first).exchange->ended();
            if (result == verdict::delivered || result == verdict::caller_left || !other_runs)
                return result;
            if (current == &first)
                std::swap(first, *second);
            second.reset();
            break;
        }
        if (time >= m_context.deadline)
            return verdict::out_of_time;
        if (may_repeat() && !m_hedged && !second && time >= hedge_at)
            second = start_hedge();
        waiting.clear();
        waiting.add(m_context.caller.descriptor(), POLLRDHUP);
        waiting.add(first.exchange->descriptor(), first.exchange->poll_events());
        if (second)
            waiting.add(second->exchange->descriptor(), second->exchange->poll_events());
        auto until = m_context.deadline;
        if (may_repeat() && !m_hedged)
            until = std::min(until, std::max(hedge_at, time));
        if (!first.exchange->connected() || (second && !second->exchange->connected()))
            until = std::min(until, time + connect_limit);
        waiting.wait(until);
        if (waiting.ready(0) != 0)
            return verdict::caller_left;
        first.exchange->advance(waiting.ready(1));
        if (second)
            second->exchange->advance(waiting.ready(2));
    }
}

base::result<void> plain_relay::serve()
{
    while (true)
    {
        auto placed = m_context.acquire_server();
        if (!placed)
        {
            if (m_failure_answer)
                return m_context.deliver(*m_failure_answer), base::result<void>{};
            if (m_started_work)
                return base::fail(error_kind::server_failed, "the server broke off");
            return placed.error();
        }
        auto first = start(std::move(*placed));
        std::optional<attempt> second;
        auto const result = drive(first, second);
        switch (result)
        {
        case verdict::delivered:
            return {};
        case verdict::caller_left:
            m_context.ended = request_outcome::caller_left;
            m_context.keep_connection = false;
            return {};
        case verdict::out_of_time:
            m_started_work = m_started_work || first.exchange->any_bytes_sent();
            first.run.end(attempt_outcome::failed);
            if (m_started_work)
                return base::fail(error_kind::timed_out, "the server did not answer in time");
            return base::fail(error_kind::deadline_exceeded, "no server was reached in time");
        case verdict::not_run:
            if (may_send_again())
                break;
            if (m_failure_answer)
                return m_context.deliver(*m_failure_answer), base::result<void>{};
            if (m_started_work)
                return base::fail(error_kind::server_failed, "the server broke off");
            return base::fail(error_kind::server_unreachable, "the server took no request");
        case verdict::failed:
        case verdict::failure_answer:
            if (may_repeat() && may_send_again())
                break;
            if (m_failure_answer)
            {
                // The status of a refusal would promise that the request did not run.
                if (m_failure_answer->status == 503)
                    return base::fail(error_kind::server_failed, "the server failed");
                return m_context.deliver(*m_failure_answer), base::result<void>{};
            }
            return base::fail(error_kind::server_failed, "the server broke off");
        }
    }
}

} // namespace jasminepier::node
