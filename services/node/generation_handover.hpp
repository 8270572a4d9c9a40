/// Moves a running generation to another engine before its own one is taken away.
#pragma once

#include "http/client_exchange.hpp"
#include "services/node/request_context.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::node
{

/// Where a generation goes on.
struct continuation
{
    server_attempt attempt;
    /// Names the copy at the server that made it; see serving::forwarded_metadata.
    std::string continue_from;
};

/// Copies the run's memory to another engine while it goes on, then stops it and copies the rest,
/// so that the pause is short. The runs of an engine take turns, since their copies share its link.
/// Driven by the loop that relays the stream.
class generation_handover
{
public:
    enum class step
    {
        /// Nothing under way; a copy may be tried again.
        idle,
        copying,
        /// The run was told to stop; its stream may end at any moment.
        stopping,
        /// The run goes on at `take_continuation`.
        ready,
        /// No engine takes the run.
        impossible,
    };

    /// `leaving` is the run that is to be handed over; it outlives this object.
    generation_handover(request_context& context, server_attempt& attempt)
        : m_context(context), m_attempt(attempt), m_source(attempt.server())
    {
    }
    generation_handover(generation_handover const&) = delete;
    generation_handover& operator=(generation_handover const&) = delete;
    /// Frees a copy that is not used.
    ~generation_handover();

    step current_step() const noexcept { return m_step; }
    int descriptor() const noexcept { return m_exchange ? m_exchange->descriptor() : -1; }
    short poll_events() const noexcept { return m_exchange ? m_exchange->poll_events() : 0; }
    /// Continues what is under way, or starts a copy when the source leaves.
    void advance(short ready_events, base::time_point now);
    /// The time at which `advance` is to be called although nothing is ready.
    base::time_point next_action_time() const noexcept { return m_next_action_time; }
    continuation take_continuation();

private:
    void start_copy(base::time_point now);
    void request_copy(bool stop_generation, base::time_point now);
    void handle_copy_response(base::time_point now);
    void handle_stop_response(base::time_point now);
    void schedule_retry(std::string_view reason, base::time_point now);
    void log_step(std::string_view result, int status) const;

    request_context& m_context;
    server_attempt& m_attempt;
    serving::selected_server m_source;
    step m_step = step::idle;
    std::unique_ptr<http::client_exchange> m_exchange;
    std::string m_body;
    std::optional<server_attempt> m_target;
    std::vector<std::string> m_excluded_targets;
    std::string m_copy_handle;
    bool m_continue_at_source = false;
    int m_failures = 0;
    base::time_point m_next_action_time = base::time_point::max();
    base::time_point m_start_time{};
    /// The first copy starts by then, whatever peers report.
    base::time_point m_latest_start{};
};

} // namespace jasminepier::node
