#include "services/node/generation_handover.hpp"

#include "base/log.hpp"
#include "platform/engine_requests.hpp"
#include "services/node/node_metrics.hpp"

namespace jasminepier::node
{
namespace
{

// A run that has not begun cannot be copied yet; its first token takes a few steps of the engine.
constexpr base::milliseconds retry_pause{80};
// Copies that fail are tried with other engines, but not for ever: the source leaves within about
// two seconds and a copy takes a quarter of one.
constexpr int most_failures = 8;
// A copy of a whole memory takes up to half a second between zones and queues behind others.
constexpr base::milliseconds call_limit{2500};
// A turn comes with a peer's report. For reports that are lost or late, a run starts at twice its
// expected turn, and early enough to be stopped before its server leaves 1.5 to 2.1 s after the
// notice.
constexpr int turn_patience = 2;
constexpr base::milliseconds turn_margin{150};
constexpr base::milliseconds latest_turn{1150};
// Freeing an unused copy is a courtesy to the engine and must not hold the worker for long.
constexpr base::milliseconds release_limit{200};
constexpr int not_running_status = 404;
constexpr int copy_under_way_status = 409;

} // namespace

generation_handover::~generation_handover()
{
    if (m_handle.empty())
        return;
    auto call = platform::make_release_request(m_handle);
    call.headers.add("Host", m_source.address);
    base::steady_clock_source const clock;
    http::client_exchange release(m_source.address, http::write_request(call), true, clock.now());
    auto const until = clock.now() + release_limit;
    http::wait_set waiting;
    while (!release.ended() && clock.now() < until)
    {
        waiting.clear();
        waiting.add(release.descriptor(), release.poll_events());
        waiting.wait(until);
        release.advance(waiting.ready(0));
    }
    log_step("released", release.head().status);
}

void generation_handover::advance(short ready, base::time_point now)
{
    if (m_exchange)
    {
        m_exchange->advance(ready);
        m_body += m_exchange->take_body();
        if (!m_exchange->ended() && now >= m_exchange->start_time() + call_limit)
            m_exchange->fail_as_not_connected();
        if (!m_exchange->ended())
            return;
        if (m_step == step::copying)
            finish_copy(now);
        else
            finish_stop(now);
        return;
    }
    bool const waiting_for_turn = now < m_latest_start;
    if (m_step == step::idle &&
        (waiting_for_turn || now >= m_next_action || m_started == base::time_point{}))
        start_copy(now);
}

void generation_handover::start_copy(base::time_point now)
{
    if (m_started == base::time_point{})
    {
        m_started = now;
        m_latest_start =
            now + std::min(turn_patience * m_leaving.copy_start_delay() + turn_margin, latest_turn);
    }
    if (now < m_latest_start && !m_leaving.may_start_copy())
    {
        m_next_action = m_latest_start;
        return;
    }
    m_target = m_context.acquire_handover_target(m_source, m_tried);
    if (!m_target)
    {
        retry_later("no_target", now);
        return;
    }
    m_step = step::copying;
    call_source(false, now);
}

void generation_handover::call_source(bool stop_run, base::time_point now)
{
    auto call = platform::make_copy_request(
        m_context.metadata.request_id, m_target->server().address,
        stop_run ? platform::copy_mode::stop_generation : platform::copy_mode::while_running);
    call.headers.add("Host", m_source.address);
    m_body.clear();
    m_exchange = std::make_unique<http::client_exchange>(m_source.address,
                                                         http::write_request(call), true, now);
    m_next_action = now + call_limit;
}

void generation_handover::finish_copy(base::time_point now)
{
    auto const exchange = std::move(m_exchange);
    auto const status = exchange->complete() ? exchange->head().status : 0;
    if (status == 200)
    {
        if (auto const reply = platform::read_copy_response(m_body); !reply.handle.empty())
            m_handle = reply.handle;
        log_step("copied", status);
        m_step = step::stopping;
        call_source(true, now);
        return;
    }
    log_step("not_copied", status);
    if (status != not_running_status && status != copy_under_way_status)
        m_tried.push_back(m_target->server().id);
    retry_later(status == not_running_status ? "not_running" : "copy_failed", now);
}

void generation_handover::finish_stop(base::time_point now)
{
    auto const exchange = std::move(m_exchange);
    auto const status = exchange->complete() ? exchange->head().status : 0;
    auto const reply = platform::read_copy_response(m_body);
    if (!reply.handle.empty())
        m_handle = reply.handle;
    log_step(status == 200 ? "stopped" : "not_stopped", status);
    observe_event("handover", status == 200 ? "carried" : "stop_failed");
    if (status == 200 && !m_handle.empty())
    {
        m_step = step::ready;
        return;
    }
    if (status == 503 && !reply.handle.empty())
    {
        // The run has stopped and its memory is still at the source.
        m_continue_at_source = true;
        m_step = step::ready;
        return;
    }
    // The run may or may not have stopped; the stream shows it.
    retry_later("stop_failed", now);
}

void generation_handover::retry_later(std::string_view reason, base::time_point now)
{
    m_target.reset();
    if (reason != "not_running")
        ++m_failures;
    m_step = m_failures >= most_failures ? step::impossible : step::idle;
    m_next_action = now + retry_pause;
    if (m_step == step::impossible)
    {
        m_leaving.set_can_hand_over(false);
        log_step(reason, 0);
        observe_event("handover", "impossible");
    }
}

continuation generation_handover::take_continuation()
{
    auto const from = m_source.address + "/" + m_handle;
    m_handle.clear();
    if (!m_continue_at_source)
        return {std::move(*m_target), from};
    auto const now = base::steady_clock_source{}.now();
    auto const number = m_context.state.with(
        [&](node_state::tables& tables)
        { return tables.dispatcher.begin_attempt(m_source.id, m_context.demand, now, nullptr); });
    return {server_attempt(m_context.state, m_source, number), from};
}

void generation_handover::log_step(std::string_view result, int status) const
{
    auto const now = base::steady_clock_source{}.now();
    base::log_line(base::log_level::info, "handover")
        .field("request_id", m_context.metadata.request_id)
        .field("from", m_source.id)
        .field("to", m_target ? m_target->server().id : "")
        .field("result", result)
        .field("status", status)
        .field("elapsed_ms",
               std::chrono::duration_cast<base::milliseconds>(now - m_started).count());
}

} // namespace jasminepier::node
