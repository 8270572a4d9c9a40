/// Handover of a running generation to another engine before its own engine is removed.
#pragma once

#include "http/client_exchange.hpp"
#include "services/node/request_context.hpp"
#include "serving/handover_schedule.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::node
{

/// The attempt that continues a generation.
struct continuation
{
    server_attempt attempt;
    /// IP:PORT/HANDLE of the copy; see serving::forwarded_metadata.
    std::string continue_from;
};

/// Live migration of a generation: copies its KV cache to another engine while the generation
/// continues, then stops it and copies the remainder, so that the stream pauses only briefly. The
/// generations of an engine are copied in turn, since they share its link. Driven by the event loop
/// that relays the stream.
class generation_handover
{
public:
    enum class step
    {
        /// No request is in progress; the copy waits for its turn, for room or for a retry.
        idle,
        copying,
        /// The engine was asked to stop the generation; its stream may end at any time.
        stopping,
        /// `take_continuation` returns the attempt that continues the generation.
        ready,
        /// The handover failed too often and has been given up.
        impossible,
    };

    /// `attempt` is the attempt to hand over; it must outlive this object.
    generation_handover(request_context& context, server_attempt& attempt)
        : m_context(context), m_attempt(attempt), m_source(attempt.server())
    {
    }
    generation_handover(generation_handover const&) = delete;
    generation_handover& operator=(generation_handover const&) = delete;
    /// Releases an unused copy at the source; blocks for at most 200 ms.
    ~generation_handover();

    step current_step() const noexcept { return m_step; }
    /// Returns true if nothing has begun that must be completed, so the generation may stay where
    /// it is.
    bool may_be_cancelled() const noexcept
    {
        return (m_step == step::idle || m_step == step::impossible) && m_unconfirmed_stops == 0;
    }
    /// Returns true if the engine may have stopped the generation because it was asked to.
    bool may_have_stopped_generation() const noexcept { return m_unconfirmed_stops > 0; }
    int descriptor() const noexcept { return m_exchange ? m_exchange->descriptor() : -1; }
    short poll_events() const noexcept { return m_exchange ? m_exchange->poll_events() : 0; }
    /// Continues the request in progress, or starts a copy that is due.
    void advance(short ready_events, base::time_point now);
    /// Returns the time at which `advance` must be called even without ready events. After
    /// `advance` it lies in the future, except in step `ready`.
    base::time_point next_action() const noexcept { return m_next_action; }
    /// Valid in step `ready`; called once.
    continuation take_continuation();

private:
    void start_copy(base::time_point now);
    void request_copy(bool stop_generation, base::time_point now);
    void handle_copy_response(base::time_point now);
    void handle_stop_response(base::time_point now);
    void schedule_retry(serving::handover_obstacle obstacle, base::time_point now);
    void log_step(std::string_view result, int status) const;

    request_context& m_context;
    server_attempt& m_attempt;
    serving::selected_server m_source;
    step m_step = step::idle;
    std::unique_ptr<http::client_exchange> m_exchange;
    std::string m_body;
    std::optional<server_attempt> m_target;
    std::vector<std::string> m_excluded_targets;
    std::string m_handle;
    bool m_continue_at_source = false;
    /// Requests to stop the generation to which the engine has not replied that it wasn't running.
    int m_unconfirmed_stops = 0;
    serving::handover_schedule m_schedule;
    base::time_point m_next_action{};
    std::optional<base::time_point> m_started;
    /// The first copy starts by then, whatever peers report.
    base::time_point m_latest_start{};
    /// Other generations of the engine are copied first.
    bool m_waits_for_turn = false;
};

} // namespace jasminepier::node
