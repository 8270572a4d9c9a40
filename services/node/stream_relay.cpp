#include "services/node/stream_relay.hpp"

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
using serving::attempt_outcome;

// A resumable stream without a first event for this multiple of its objective is started at another
// server; callers wait about four times the objective.
constexpr double silence_factor = 1.4;
// How often a leaving server's run is looked at when nothing else happens.
constexpr base::milliseconds leaving_check{100};

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

std::string make_chunk(std::string_view bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    std::string chunk(size);
    return chunk.append(bytes).append("\r\n");
}

} // namespace

void stream_relay::start(server_attempt run, std::string const& continue_from)
{
    m_handover.reset();
    m_run.emplace(std::move(run));
    auto const& server = m_run->server();
    auto added = m_context.make_forwarded_metadata(server);
    added.resume_after = m_last_id;
    added.continue_from = continue_from;
    m_continued = !continue_from.empty();
    auto const forwarded = platform::make_forwarded_request(m_context.request, added);
    m_exchange = std::make_unique<http::client_exchange>(
        server.address, http::write_request(forwarded), true, now());
    m_events = {};
    m_head_checked = false;
    m_failure_body.clear();
    m_sent_any = false;
    ++m_context.attempts;
    // A run that goes on from its copy is the same run.
    if (!m_continued)
        ++m_context.servers_used;
    m_context.last_server = server.id;
}

bool stream_relay::handover_due() const
{
    return m_context.service->engine && m_context.service->engine->can_move_generations &&
           m_head_sent &&
           m_context.route->idempotency == serving::request_idempotency::non_idempotent;
}

std::optional<stream_relay::stream_end> stream_relay::check_time(base::time_point time)
{
    if (time >= m_context.deadline ||
        (m_context.state.shutting_down() && time >= m_context.state.shutdown_deadline()))
        return stream_end::out_of_time;
    if (!m_exchange->connected() && time >= m_exchange->start_time() + connect_limit)
        m_exchange->fail_as_not_connected();
    auto const silence = std::chrono::duration_cast<base::milliseconds>(
        silence_factor * m_context.route->latency_objective);
    bool const silent = m_context.route->idempotency == serving::request_idempotency::resumable &&
                        m_context.servers_used < m_context.route->maximum_attempts &&
                        time >= m_exchange->last_receive_time() + silence;
    if (silent)
        return stream_end::broken;
    return std::nullopt;
}

std::optional<stream_relay::stream_end> stream_relay::check_head()
{
    auto const& head = m_exchange->head();
    auto const reply = platform::read_response_metadata(head);
    m_head_checked = true;
    bool const own = reply.request_id == m_context.metadata.request_id && !reply.encoded;
    if (own && reply.declined)
        return stream_end::not_run;
    if (!own || (head.status / 100 == 2 && !reply.has_signature))
        return stream_end::broken;
    if (head.status / 100 == 2 && !m_head)
        m_head = head;
    return std::nullopt;
}

bool stream_relay::send_head()
{
    m_head_sent = true;
    m_context.first_event = now();
    m_context.status = m_head->status;
    auto fields = platform::end_to_end_fields(*m_head);
    fields.add("Transfer-Encoding", "chunked");
    if (m_context.state.shutting_down())
        m_context.keep_connection = false;
    if (!m_context.keep_connection)
        fields.add("Connection", "close");
    return m_context.caller.send(http::write_response_head(m_head->status, m_head->reason, fields),
                                 now() + caller_send_limit);
}

bool stream_relay::send_end()
{
    return m_context.caller.send("0\r\n\r\n", now() + caller_send_limit);
}

bool stream_relay::forward_events(std::string_view bytes)
{
    std::string out;
    for (auto& event : m_events.feed(bytes))
    {
        auto const number = serving::parse_event_number(event.id);
        // A server that goes on may repeat what the caller has.
        if (number && m_last_number && *number <= *m_last_number)
            continue;
        if (!event.id.empty())
            m_last_id = event.id;
        if (number)
            m_last_number = number;
        out += event.bytes;
    }
    if (out.empty())
        return true;
    m_last_event = now();
    if (!m_sent_any)
    {
        m_sent_any = true;
        m_run->record_first_event();
        m_run->set_can_hand_over(
            m_context.service->engine && m_context.service->engine->can_move_generations &&
            m_context.route->idempotency == serving::request_idempotency::non_idempotent);
    }
    if (!m_head_sent && !send_head())
        return false;
    return m_context.caller.send(make_chunk(out), now() + caller_send_limit);
}

std::optional<stream_relay::stream_end> stream_relay::take_arrived()
{
    if (!m_head_checked && m_exchange->head_received())
        if (auto const end = check_head())
            return end;
    if (m_head_checked)
    {
        auto const bytes = m_exchange->take_body();
        if (m_exchange->head().status / 100 != 2)
            m_failure_body += bytes;
        else if (!bytes.empty() && !forward_events(bytes))
            return stream_end::caller_left;
    }
    if (!m_exchange->ended())
        return std::nullopt;
    if (m_exchange->failure() == http::exchange_failure::not_connected ||
        (!m_exchange->complete() && !m_exchange->any_bytes_sent()))
        return stream_end::not_run;
    if (m_exchange->complete() && m_exchange->head().status / 100 != 2)
        return stream_end::failure_answer;
    return m_exchange->complete() ? stream_end::complete : stream_end::broken;
}

stream_relay::stream_end stream_relay::pump()
{
    http::wait_set waiting;
    while (true)
    {
        auto const time = now();
        if (auto const end = check_time(time))
            return *end;
        auto const arrived = take_arrived();
        // A run that was told to stop ends its stream without its end, before or after the call's
        // answer.
        bool const stopping =
            m_handover && m_handover->current_step() == generation_handover::step::stopping;
        bool const ready =
            m_handover && m_handover->current_step() == generation_handover::step::ready;
        if (ready && (m_exchange->ended() || time >= m_handover->next_action()))
            return stream_end::handed_over;
        if (arrived && (*arrived != stream_end::broken || !stopping))
            return *arrived;
        bool const leaving = handover_due() && m_run->leaving();
        if (leaving && !m_handover)
            m_handover = std::make_unique<generation_handover>(m_context, *m_run);

        auto until = m_context.deadline;
        if (m_context.state.shutting_down())
            until = std::min(until, m_context.state.shutdown_deadline());
        if (!m_exchange->connected())
            until = std::min(until, m_exchange->start_time() + connect_limit);
        if (m_context.route->idempotency == serving::request_idempotency::resumable || leaving)
            until = std::min<base::time_point>(until, time + leaving_check);
        if (m_handover)
        {
            m_handover->advance(0, time);
            until = std::min(until, m_handover->next_action());
        }
        waiting.clear();
        waiting.add(m_context.caller.descriptor(), POLLRDHUP);
        waiting.add(m_context.wake.descriptor(), POLLIN);
        waiting.add(m_exchange->descriptor(), m_exchange->poll_events());
        waiting.add(m_handover ? m_handover->descriptor() : -1,
                    m_handover ? m_handover->poll_events() : short{0});
        waiting.wait(until);
        if (waiting.ready(0) != 0)
            return stream_end::caller_left;
        if (waiting.ready(1) != 0)
            m_context.wake.clear();
        m_exchange->advance(waiting.ready(2));
        if (m_handover)
            m_handover->advance(waiting.ready(3), now());
    }
}

void stream_relay::end_run(stream_end end)
{
    auto const reply = platform::read_response_metadata(m_exchange->head());
    switch (end)
    {
    case stream_end::complete:
        m_run->end(attempt_outcome::succeeded);
        return;
    case stream_end::not_run:
        m_run->end(reply.declined && !reply.wrong_server ? attempt_outcome::declined
                                                         : attempt_outcome::unreachable);
        break;
    case stream_end::broken:
        // A server that leaves breaks its streams off; that is no sign of a fault.
        m_run->end(m_run->leaving() ? attempt_outcome::inconclusive : attempt_outcome::failed);
        m_context.note_crash(m_run->server());
        break;
    case stream_end::failure_answer:
        m_run->end(attempt_outcome::failed);
        break;
    case stream_end::handed_over:
    case stream_end::caller_left:
        m_run->end(attempt_outcome::inconclusive);
        return;
    case stream_end::out_of_time:
        m_run->end(m_sent_any ? attempt_outcome::inconclusive : attempt_outcome::failed);
        break;
    }
    m_context.excluded.push_back(m_run->server().id);
    base::log_line(base::log_level::info, "attempt_failed")
        .field("request_id", m_context.metadata.request_id)
        .field("server", m_run->server().id)
        .field("reason", end == stream_end::not_run          ? "not_run"
                         : end == stream_end::broken         ? "broken"
                         : end == stream_end::failure_answer ? "server_error"
                                                             : "out_of_time")
        .field("status", m_exchange->head().status)
        .field("failure", http::to_string(m_exchange->failure()))
        .field("last_event", m_last_id)
        .field("continued", m_continued ? 1 : 0)
        .field("elapsed_ms",
               std::chrono::duration_cast<base::milliseconds>(now() - m_exchange->start_time())
                   .count());
}

bool stream_relay::may_resume()
{
    return m_context.route->idempotency == serving::request_idempotency::resumable &&
           m_context.servers_used < m_context.route->maximum_attempts &&
           m_context.attempts < maximum_attempts_per_request && m_context.try_spend_retry();
}

void stream_relay::break_off(base::error_kind kind)
{
    m_context.ended = request_outcome::aborted;
    m_context.code = base::to_string(kind);
    m_context.keep_connection = false;
}

base::result<void> stream_relay::answer_failure(base::error_kind kind, std::string message)
{
    if (!m_head_sent)
        return base::fail(kind, std::move(message));
    break_off(kind);
    return {};
}

base::result<void> stream_relay::serve()
{
    auto placed = m_context.acquire_server();
    if (!placed)
        return placed.error();
    start(std::move(*placed), "");
    while (true)
    {
        auto const end = pump();
        end_run(end);
        if (end == stream_end::handed_over)
        {
            ++m_context.handovers;
            auto next = m_handover->take_continuation();
            start(std::move(next.run), next.continue_from);
            continue;
        }
        m_handover.reset();
        if (end == stream_end::complete)
        {
            if (!m_head_sent && m_head && !send_head())
                return break_off(error_kind::internal), base::result<void>{};
            m_context.ended = send_end() ? request_outcome::served : request_outcome::caller_left;
            return {};
        }
        if (end == stream_end::caller_left)
        {
            m_context.ended = request_outcome::caller_left;
            m_context.keep_connection = false;
            return {};
        }
        if (end == stream_end::out_of_time)
            return answer_failure(m_exchange->any_bytes_sent() || m_continued
                                      ? error_kind::timed_out
                                      : error_kind::deadline_exceeded,
                                  "the answer did not end in time");
        // FIXME: When the new engine refuses a run that was handed over, its memory may still be at
        // the source, where the run could go on until the source leaves.
        bool const not_run = end == stream_end::not_run && !m_continued;
        if (not_run)
            --m_context.servers_used;
        bool const again = not_run && m_context.attempts < maximum_attempts_per_request
                               ? m_context.try_spend_retry()
                               : may_resume();
        if (again)
        {
            auto next = m_context.acquire_server();
            if (next)
            {
                start(std::move(*next), "");
                continue;
            }
            if (not_run && m_context.servers_used == 0)
                return next.error();
        }
        if (not_run && m_context.servers_used == 0)
            return answer_failure(error_kind::server_unreachable, "no server took the request");
        if (end == stream_end::failure_answer && !m_head_sent && m_exchange->head().status != 503 &&
            m_exchange->head().status != 429)
        {
            http::response answer = m_exchange->head();
            answer.body = m_failure_body;
            m_context.deliver(answer);
            return {};
        }
        return answer_failure(error_kind::generation_lost, "the server broke off");
    }
}

} // namespace jasminepier::node
