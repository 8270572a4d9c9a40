#include "services/node/generation_handover.hpp"

#include "base/log.hpp"
#include "platform/engine_calls.hpp"
#include "services/node/node_metrics.hpp"

namespace jasminepier::node
{
namespace
{

// Copying a full KV cache between zones takes up to half a second and may queue behind other
// copies.
constexpr base::milliseconds copy_request_timeout{2500};
// Peers' reports normally tell when a copy may start. In case reports are lost or late, a copy
// starts after twice its expected delay, and early enough to stop the generation before its server
// leaves, 1.5 to 2.1 s after its announcement.
constexpr int copy_delay_factor = 2;
constexpr base::milliseconds copy_delay_margin{150};
constexpr base::milliseconds maximum_copy_delay{1150};
// Releasing an unused copy only helps the engine, so it must not block the worker for long.
constexpr base::milliseconds release_timeout{200};
// A response holds a handle and a few numbers.
constexpr std::size_t maximum_response_bytes = std::size_t{64} * 1024;
constexpr int not_running_status = 404;
constexpr int copy_in_progress_status = 409;
constexpr int target_full_status = 503;

serving::handover_obstacle classify_copy_failure(int status) noexcept
{
    switch (status)
    {
    case not_running_status:
        return serving::handover_obstacle::not_running;
    case copy_in_progress_status:
        return serving::handover_obstacle::copy_in_progress;
    case target_full_status:
        return serving::handover_obstacle::target_full;
    default:
        return serving::handover_obstacle::copy_failed;
    }
}

} // namespace

generation_handover::~generation_handover()
{
    if (m_handle.empty())
        return;
    auto request = platform::make_release_request(m_handle);
    request.headers.add("Host", m_source.address);
    base::steady_clock_source const clock;
    http::client_exchange release(m_source.address, http::write_request(request), true,
                                  clock.now());
    auto const deadline = clock.now() + release_timeout;
    http::wait_set poll_set;
    while (!release.ended() && clock.now() < deadline)
    {
        poll_set.clear();
        poll_set.add(release.descriptor(), release.poll_events());
        poll_set.wait(deadline);
        release.advance(poll_set.ready(0));
    }
    log_step("released", release.head().status);
}

void generation_handover::advance(short ready_events, base::time_point now)
{
    if (m_exchange)
    {
        m_exchange->advance(ready_events);
        m_body += m_exchange->take_body();
        if (m_body.size() > maximum_response_bytes)
            m_exchange->fail_as_oversized();
        if (!m_exchange->ended() && now >= m_exchange->start_time() + copy_request_timeout)
            m_exchange->fail_as_not_connected();
        if (!m_exchange->ended())
            return;
        if (m_step == step::copying)
            handle_copy_response(now);
        else
            handle_stop_response(now);
        return;
    }
    if (m_step == step::idle && (m_waits_for_turn || now >= m_next_action))
        start_copy(now);
}

void generation_handover::start_copy(base::time_point now)
{
    if (!m_started)
    {
        m_started = now;
        m_latest_start =
            now + std::min(copy_delay_factor * m_attempt.copy_start_delay() + copy_delay_margin,
                           maximum_copy_delay);
    }
    m_waits_for_turn = now < m_latest_start && !m_attempt.may_start_copy();
    if (m_waits_for_turn)
    {
        m_next_action = m_latest_start;
        return;
    }
    m_target = m_context.acquire_handover_target(m_source, m_excluded_targets);
    if (!m_target)
    {
        schedule_retry(serving::handover_obstacle::no_target, now);
        return;
    }
    m_step = step::copying;
    request_copy(false, now);
}

void generation_handover::request_copy(bool stop_generation, base::time_point now)
{
    auto request =
        platform::make_copy_request(m_context.metadata.request_id, m_target->server().address,
                                    stop_generation ? platform::copy_mode::stop_generation
                                                    : platform::copy_mode::while_running);
    request.headers.add("Host", m_source.address);
    m_body.clear();
    m_exchange = std::make_unique<http::client_exchange>(m_source.address,
                                                         http::write_request(request), true, now);
    m_next_action = now + copy_request_timeout;
}

void generation_handover::handle_copy_response(base::time_point now)
{
    auto const exchange = std::move(m_exchange);
    auto const status = exchange->complete() ? exchange->head().status : 0;
    if (status == 200)
    {
        if (auto const copy = platform::read_copy_response(m_body); !copy.handle.empty())
            m_handle = copy.handle;
        log_step("copied", status);
        m_step = step::stopping;
        ++m_unconfirmed_stops;
        request_copy(true, now);
        return;
    }
    log_step("not_copied", status);
    if (status != not_running_status && status != copy_in_progress_status)
        m_excluded_targets.push_back(m_target->server().id);
    schedule_retry(classify_copy_failure(status), now);
}

void generation_handover::handle_stop_response(base::time_point now)
{
    auto const exchange = std::move(m_exchange);
    auto const status = exchange->complete() ? exchange->head().status : 0;
    auto const copy = platform::read_copy_response(m_body);
    if (!copy.handle.empty())
        m_handle = copy.handle;
    log_step(status == 200 ? "stopped" : "not_stopped", status);
    observe_event("handover", status == 200 ? "carried" : "stop_failed");
    if (status == 200 && !m_handle.empty())
    {
        m_step = step::ready;
        return;
    }
    if (status == 503 && !copy.handle.empty())
    {
        // The generation has stopped, and the source still holds its KV cache.
        m_continue_at_source = true;
        m_step = step::ready;
        return;
    }
    if (status == not_running_status)
        --m_unconfirmed_stops;
    // It is unknown whether the generation has stopped. If it has, its stream ends.
    schedule_retry(serving::handover_obstacle::stop_failed, now);
}

void generation_handover::schedule_retry(serving::handover_obstacle obstacle, base::time_point now)
{
    m_target.reset();
    bool const waited_long = m_schedule.waits_long();
    bool const yielded_turn = m_schedule.yields_turn();
    m_next_action = m_schedule.record_obstacle(obstacle, now);
    m_step = m_schedule.given_up() ? step::impossible : step::idle;
    // An engine that had no room for a copy may have some by the next try.
    if (m_schedule.waits_long())
        m_excluded_targets.clear();
    if (m_schedule.yields_turn() && !yielded_turn)
        m_attempt.yield_copy_turn();
    bool const begins_long_wait = m_schedule.waits_long() && !waited_long;
    if (!begins_long_wait && m_step != step::impossible)
        return;
    log_step(to_string(obstacle), 0);
    observe_event("handover", begins_long_wait ? "waiting" : "impossible");
}

continuation generation_handover::take_continuation()
{
    auto const copy_address = m_source.address + "/" + m_handle;
    m_handle.clear();
    if (!m_continue_at_source)
        return {std::move(*m_target), copy_address};
    auto const now = base::steady_clock_source{}.now();
    auto const attempt_id = m_context.state.with(
        [&](node_state::tables& tables)
        { return tables.dispatcher.begin_attempt(m_source.id, m_context.demand, now, nullptr); });
    return {server_attempt(m_context.state, m_source, attempt_id), copy_address};
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
        .field(
            "elapsed_ms",
            std::chrono::duration_cast<base::milliseconds>(now - m_started.value_or(now)).count());
}

} // namespace jasminepier::node
