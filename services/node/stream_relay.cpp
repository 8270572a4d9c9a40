#include "services/node/stream_relay.hpp"

#include "base/log.hpp"
#include "http/status.hpp"
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
using serving::attempt_outcome;

// A resumable stream without a new event for this multiple of its latency objective is resumed at
// another server, even if it sends comments or parts of an event. Callers wait for about four times
// the objective.
constexpr double silence_timeout_factor = 1.4;
constexpr int no_content_status = 204;
// Maximum time between two checks of a handover or of a resumable stream's silence.
constexpr base::milliseconds leaving_check_interval{100};

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

/// True if the response may go on with the stream that the other one began.
bool continues_stream(http::response const& response, http::response const& begun)
{
    return response.status == begun.status &&
           response.headers.find("Content-Type") == begun.headers.find("Content-Type");
}

std::string encode_chunk(std::string_view bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    std::string chunk(size);
    return chunk.append(bytes).append("\r\n");
}

} // namespace

void stream_relay::start(server_attempt attempt, std::string const& continue_from)
{
    m_handover.reset();
    m_attempt.emplace(std::move(attempt));
    auto const& server = m_attempt->server();
    auto metadata = m_context.make_forwarded_metadata(server);
    metadata.resume_after = m_last_event_id;
    metadata.continue_from = continue_from;
    m_is_continuation = !continue_from.empty();
    auto const forwarded = platform::make_forwarded_head(m_context.request, metadata);
    m_exchange = std::make_unique<http::client_exchange>(
        server.address, http::make_outgoing(forwarded, m_context.request.body), expects_body(),
        now());
    m_last_progress = m_exchange->start_time();
    m_event_splitter = {};
    m_head_validated = false;
    m_error_body.clear();
    m_any_event_received = false;
    ++m_context.attempts;
    // Continuing a generation from its copy doesn't execute the request again.
    if (!m_is_continuation)
        ++m_context.possible_executions;
    m_context.last_server = server.id;
}

bool stream_relay::expects_body() const
{
    return m_context.request.method != "HEAD";
}

bool stream_relay::response_has_body() const
{
    return expects_body() && m_response_head->status != no_content_status;
}

bool stream_relay::is_movable() const
{
    return m_context.service->engine && m_context.service->engine->can_move_generations &&
           m_context.route->idempotency == serving::request_idempotency::non_idempotent;
}

bool stream_relay::can_hand_over() const
{
    return m_head_sent && is_movable();
}

std::optional<stream_relay::stream_outcome>
stream_relay::check_timeouts(base::time_point current_time)
{
    if (current_time >= m_context.response_deadline())
        return stream_outcome::deadline_exceeded;
    if (!m_exchange->connected() && current_time >= m_exchange->start_time() + connect_timeout)
        return stream_outcome::not_run;
    auto const silence_timeout = std::chrono::duration_cast<base::milliseconds>(
        silence_timeout_factor * m_context.route->latency_objective);
    bool const silent = m_context.route->idempotency == serving::request_idempotency::resumable &&
                        m_context.possible_executions < m_context.route->maximum_attempts &&
                        current_time >= m_last_progress + silence_timeout;
    if (silent)
        return stream_outcome::broken;
    return std::nullopt;
}

std::optional<stream_relay::stream_outcome> stream_relay::validate_head()
{
    auto const& head = m_exchange->head();
    auto const metadata = platform::read_response_metadata(head);
    m_head_validated = true;
    bool const response_matches =
        metadata.request_id == m_context.metadata.request_id && !metadata.encoded;
    if (response_matches)
        m_context.record_server_state(m_attempt->server(), metadata);
    if (response_matches && metadata.declined)
        return stream_outcome::not_run;
    if (!response_matches || (head.status / 100 == 2 && !metadata.has_signature))
        return stream_outcome::broken;
    if (head.status / 100 != 2)
        return std::nullopt;
    // The caller has the head of an earlier server, so another kind of body must not follow it.
    if (m_head_sent && !continues_stream(head, *m_response_head))
        return stream_outcome::broken;
    if (!m_head_sent)
        m_response_head = head;
    return std::nullopt;
}

bool stream_relay::send_head()
{
    m_head_sent = true;
    m_context.first_event = now();
    m_context.status = m_response_head->status;
    auto fields = platform::end_to_end_fields(*m_response_head);
    if (response_has_body())
        fields.add("Transfer-Encoding", "chunked");
    m_context.close_connection_during_shutdown();
    if (!m_context.keep_connection)
        fields.add("Connection", "close");
    return m_context.caller.send(
        http::write_response_head(m_response_head->status, m_response_head->reason, fields),
        m_context.send_limits());
}

bool stream_relay::send_last_chunk()
{
    if (!response_has_body())
        return true;
    auto const comments = m_event_splitter.remainder();
    return m_context.caller.send((comments.empty() ? "" : encode_chunk(comments)) + "0\r\n\r\n",
                                 m_context.send_limits());
}

void stream_relay::record_first_event()
{
    m_any_event_received = true;
    m_attempt->record_first_event();
    m_context.record_answered();
    m_attempt->set_can_hand_over(is_movable());
}

void stream_relay::cancel_handover()
{
    m_handover.reset();
    m_attempt->set_can_hand_over(is_movable());
}

void stream_relay::record_event_time(base::time_point at)
{
    if (m_last_event_time && at - *m_last_event_time > m_context.largest_event_gap.value_or(
                                                           base::time_point::duration(0)))
    {
        m_context.largest_event_gap = at - *m_last_event_time;
        m_context.largest_gap_cause = m_handovers_at_last_event < m_context.handovers ? "handover"
                                      : m_handover                                    ? "copy"
                                                                                      : "server";
    }
    m_last_event_time = at;
    m_handovers_at_last_event = m_context.handovers;
}

bool stream_relay::forward_events(std::string_view bytes)
{
    std::string out;
    for (auto& event : m_event_splitter.feed(bytes))
    {
        if (event.has_fields && !m_any_event_received)
            record_first_event();
        auto const number = serving::parse_event_number(event.id);
        // A server that resumes the stream may repeat events that the caller already has.
        if (number && m_last_event_number && *number <= *m_last_event_number)
            continue;
        if (!event.id.empty())
            m_last_event_id = event.id;
        if (number)
        {
            m_last_event_number = number;
            m_last_progress = now();
            record_event_time(m_last_progress);
        }
        out += event.bytes;
    }
    if (out.empty())
        return true;
    if (!m_head_sent)
    {
        m_context.record_stream_begin(m_attempt->server());
        if (!send_head())
            return false;
    }
    return m_context.caller.send(encode_chunk(out), m_context.send_limits());
}

std::optional<stream_relay::stream_outcome> stream_relay::process_received()
{
    if (!m_head_validated && m_exchange->head_received())
        if (auto const outcome = validate_head())
            return outcome;
    if (m_head_validated)
    {
        auto const bytes = m_exchange->take_body();
        if (m_exchange->head().status / 100 != 2)
            m_error_body += bytes;
        else if (!bytes.empty() && !forward_events(bytes))
            return stream_outcome::caller_left;
        if (m_event_splitter.oversized() || m_event_splitter.interrupted() ||
            m_error_body.size() > http::response_reader::maximum_untaken_body_bytes)
            return stream_outcome::broken;
    }
    if (!m_exchange->ended())
        return std::nullopt;
    if (m_exchange->failure() == http::exchange_failure::not_connected ||
        (!m_exchange->complete() && !m_exchange->any_bytes_sent()))
        return stream_outcome::not_run;
    if (m_exchange->complete() && m_exchange->head().status / 100 != 2)
        return stream_outcome::error_response;
    // The stream of a stopped generation ends like a complete one if it has no length.
    bool const stopped = m_exchange->ended_with_connection() && m_handover &&
                         m_handover->may_have_stopped_generation();
    // A server that crashes as it begins to answer closes its connection in order, too.
    bool const empty =
        expects_body() && m_exchange->ended_with_connection() && !m_any_event_received;
    bool const broken_off =
        !m_exchange->complete() || m_event_splitter.has_partial_event() || stopped || empty;
    return broken_off ? stream_outcome::broken : stream_outcome::complete;
}

stream_relay::stream_outcome stream_relay::pump()
{
    http::wait_set poll_set;
    bool looked_again = false;
    while (true)
    {
        auto const current_time = now();
        auto const outcome = process_received();
        // A stopped generation ends its stream without a last event, before or after the response
        // to the stop request.
        bool const stopping =
            m_handover && m_handover->current_step() == generation_handover::step::stopping;
        bool const ready =
            m_handover && m_handover->current_step() == generation_handover::step::ready;
        if (ready && (m_exchange->ended() || current_time >= m_handover->next_action()))
            return stream_outcome::handed_over;
        if (outcome && (*outcome != stream_outcome::broken || !stopping))
            return *outcome;
        auto const timeout = check_timeouts(current_time);
        // The process may have been paused since it last looked at the connection.
        if (timeout && !looked_again)
        {
            looked_again = true;
            m_exchange->advance_if_ready();
            continue;
        }
        looked_again = false;
        if (timeout == stream_outcome::not_run)
            m_exchange->fail_as_not_connected();
        if (timeout)
            return *timeout;
        bool const server_leaving = can_hand_over() && m_attempt->is_server_leaving();
        if (server_leaving && !m_handover)
            m_handover = std::make_unique<generation_handover>(m_context, *m_attempt);
        if (!server_leaving && m_handover && m_handover->may_be_cancelled())
            cancel_handover();

        auto const shutdown_descriptor = m_context.state.shutdown().pending_descriptor();
        auto wait_deadline = m_context.response_deadline();
        if (!m_exchange->connected())
            wait_deadline = std::min(wait_deadline, m_exchange->start_time() + connect_timeout);
        bool const handover_possible =
            server_leaving && m_handover->current_step() != generation_handover::step::impossible;
        if (m_context.route->idempotency == serving::request_idempotency::resumable ||
            handover_possible)
            wait_deadline =
                std::min<base::time_point>(wait_deadline, current_time + leaving_check_interval);
        if (m_handover)
        {
            m_handover->advance(0, current_time);
            wait_deadline = std::min(wait_deadline, m_handover->next_action());
        }
        poll_set.clear();
        poll_set.add(m_context.caller.descriptor(), POLLRDHUP);
        poll_set.add(m_context.wake.descriptor(), POLLIN);
        poll_set.add(m_exchange->descriptor(), m_exchange->poll_events());
        poll_set.add(m_handover ? m_handover->descriptor() : -1,
                     m_handover ? m_handover->poll_events() : short{0});
        poll_set.add(shutdown_descriptor, POLLIN);
        poll_set.wait(wait_deadline);
        if (poll_set.ready(0) != 0)
            return stream_outcome::caller_left;
        if (poll_set.ready(1) != 0)
            m_context.wake.clear();
        m_exchange->advance(poll_set.ready(2));
        if (m_handover)
            m_handover->advance(poll_set.ready(3), now());
    }
}

void stream_relay::finish_attempt(stream_outcome outcome)
{
    auto const metadata = platform::read_response_metadata(m_exchange->head());
    switch (outcome)
    {
    case stream_outcome::complete:
        m_attempt->end(attempt_outcome::succeeded);
        m_context.record_completed();
        return;
    case stream_outcome::not_run:
        m_attempt->end(metadata.declined && !metadata.wrong_server ? attempt_outcome::declined
                                                                   : attempt_outcome::unreachable);
        break;
    case stream_outcome::broken:
        // A leaving server aborts its streams, which doesn't mean that it is faulty.
        m_attempt->end(m_attempt->is_server_leaving() ? attempt_outcome::inconclusive
                                                      : attempt_outcome::failed);
        // Without a length, a response counts as complete when the server closes the connection.
        if (m_exchange->failure() == http::exchange_failure::connection_lost ||
            m_exchange->ended_with_connection())
            m_context.record_lost_answer(
                m_attempt->server(),
                {m_exchange->closed_by_peer() || m_exchange->ended_with_connection(),
                 m_exchange->head_received(), m_any_event_received || m_is_continuation});
        break;
    case stream_outcome::error_response:
        m_attempt->end(attempt_outcome::failed);
        break;
    case stream_outcome::handed_over:
    case stream_outcome::caller_left:
        m_attempt->end(attempt_outcome::inconclusive);
        return;
    case stream_outcome::deadline_exceeded:
        m_attempt->end(m_any_event_received ? attempt_outcome::inconclusive
                                            : attempt_outcome::failed);
        break;
    }
    m_context.excluded_servers.push_back(m_attempt->server().id);
    if (outcome == stream_outcome::not_run && metadata.full)
        m_context.record_full_server(m_attempt->server());
    base::log_line(base::log_level::info, "attempt_failed")
        .field("request_id", m_context.metadata.request_id)
        .field("server", m_attempt->server().id)
        .field("reason", outcome == stream_outcome::not_run          ? "not_run"
                         : m_event_splitter.interrupted()            ? "interrupted"
                         : outcome == stream_outcome::broken         ? "broken"
                         : outcome == stream_outcome::error_response ? "server_error"
                                                                     : "out_of_time")
        .field("status", m_exchange->head().status)
        .field("failure", http::to_string(m_exchange->failure()))
        .field("last_event", m_last_event_id)
        .field("continued", m_is_continuation ? 1 : 0)
        .field("elapsed_ms",
               std::chrono::duration_cast<base::milliseconds>(now() - m_exchange->start_time())
                   .count());
}

bool stream_relay::try_spend_resume()
{
    return m_context.route->idempotency == serving::request_idempotency::resumable &&
           !m_context.crashed_server &&
           m_context.possible_executions < m_context.route->maximum_attempts &&
           m_context.attempts < maximum_attempts_per_request && m_context.try_spend_retry();
}

void stream_relay::abort_stream(base::error_kind kind)
{
    m_context.outcome = request_outcome::aborted;
    m_context.error_code = base::to_string(kind);
    m_context.keep_connection = false;
}

base::result<void> stream_relay::fail_or_abort(base::error_kind kind, std::string message)
{
    if (!m_head_sent)
        return base::fail(kind, std::move(message));
    abort_stream(kind);
    return {};
}

base::result<void> stream_relay::serve()
{
    auto attempt = m_context.acquire_server();
    if (!attempt)
        return attempt.error();
    start(std::move(*attempt), "");
    while (true)
    {
        auto const outcome = pump();
        finish_attempt(outcome);
        if (outcome == stream_outcome::handed_over)
        {
            ++m_context.handovers;
            auto next = m_handover->take_continuation();
            start(std::move(next.attempt), next.continue_from);
            continue;
        }
        m_handover.reset();
        if (outcome == stream_outcome::complete)
        {
            if (!m_head_sent && m_response_head && !send_head())
                return abort_stream(error_kind::internal), base::result<void>{};
            m_context.outcome =
                send_last_chunk() ? request_outcome::served : request_outcome::caller_left;
            return {};
        }
        if (outcome == stream_outcome::caller_left)
        {
            m_context.outcome = request_outcome::caller_left;
            m_context.keep_connection = false;
            return {};
        }
        if (outcome == stream_outcome::deadline_exceeded)
            return fail_or_abort(m_exchange->any_bytes_sent() || m_is_continuation
                                     ? error_kind::timed_out
                                     : error_kind::deadline_exceeded,
                                 "the response did not end in time");
        // FIXME: If the new engine declines a generation that was handed over, the source may still
        // hold its KV cache and could continue it until it leaves.
        bool const not_run = outcome == stream_outcome::not_run && !m_is_continuation;
        if (not_run)
            --m_context.possible_executions;
        if (not_run && !m_exchange->any_bytes_sent())
            ++m_context.unreached_attempts;
        bool const retry = not_run && m_context.never_reached() ? m_context.may_try_further()
                           : not_run && m_context.attempts < maximum_attempts_per_request
                               ? m_context.try_spend_retry()
                               : try_spend_resume();
        if (retry)
        {
            auto next = m_context.acquire_server();
            if (next)
            {
                start(std::move(*next), "");
                continue;
            }
            if (not_run && m_context.possible_executions == 0)
                return next.error();
        }
        if (not_run && m_context.possible_executions == 0)
            return fail_or_abort(error_kind::server_unreachable, "no server accepted the request");
        if (outcome == stream_outcome::error_response && !m_head_sent &&
            !http::promises_no_execution(m_exchange->head().status))
        {
            http::response response = m_exchange->head();
            response.body = m_error_body;
            m_context.send_response(response);
            return {};
        }
        return fail_or_abort(error_kind::generation_lost,
                             "the server failed to complete the request");
    }
}

} // namespace jasminepier::node
