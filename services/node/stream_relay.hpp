/// Relay of requests whose responses are streams of server-sent events.
#pragma once

#include "base/error.hpp"
#include "http/client_exchange.hpp"
#include "services/node/generation_handover.hpp"
#include "services/node/request_context.hpp"
#include "serving/event_stream_splitter.hpp"

#include <memory>
#include <optional>
#include <string>

namespace jasminepier::node
{

/// Forwards complete events as they arrive. The response to the caller may come from several
/// servers: a generation is handed over when its server is leaving, and a resumable stream that
/// fails is resumed at another server after its last event.
class stream_relay
{
public:
    explicit stream_relay(request_context& context) : m_context(context) {}

    /// Serves the request. Fails only if nothing has been sent to the caller.
    base::result<void> serve();

private:
    /// How the stream of an attempt ended.
    enum class stream_outcome
    {
        complete,
        /// The server certainly did not run the request.
        not_run,
        /// The connection failed, the stream ended inside an event or, without a length, before
        /// its first one, or the response belongs to another request or is not genuine.
        broken,
        /// The server responded with an error.
        error_response,
        handed_over,
        caller_left,
        deadline_exceeded,
    };

    void start(server_attempt attempt, std::string const& continue_from);
    /// Runs the event loop of the current attempt until its stream ends.
    stream_outcome pump();
    /// Handles received data. Returns the outcome if the stream has ended.
    std::optional<stream_outcome> process_received();
    std::optional<stream_outcome> validate_head();
    /// Records that the current attempt's server has begun to answer.
    void record_first_event();
    /// Records the time of an event that goes to the caller.
    void record_event_time(base::time_point at);
    bool forward_events(std::string_view bytes);
    bool send_head();
    /// Sends comments that follow the last event, and the end of the response.
    bool send_last_chunk();
    /// Returns false for a HEAD request.
    bool expects_body() const;
    /// Returns true if a body follows the head of the response to the caller.
    bool response_has_body() const;
    /// Returns true if the request is a generation that its service can move.
    bool is_movable() const;
    /// Returns true if the generation may be handed over to another engine.
    bool can_hand_over() const;
    /// Ends a handover that has not begun, since the server no longer leaves.
    void cancel_handover();
    std::optional<stream_outcome> check_timeouts(base::time_point now);
    void finish_attempt(stream_outcome outcome);
    /// Closes the connection after a partial response, so that the caller sees that it is
    /// incomplete.
    void abort_stream(base::error_kind kind);
    /// Returns true and spends a retry if the stream may be resumed at another server.
    bool try_spend_resume();
    /// Fails if nothing has been sent to the caller, and otherwise aborts the stream.
    base::result<void> fail_or_abort(base::error_kind kind, std::string message);

    request_context& m_context;
    std::optional<server_attempt> m_attempt;
    std::unique_ptr<http::client_exchange> m_exchange;
    std::unique_ptr<generation_handover> m_handover;
    serving::event_stream_splitter m_event_splitter;
    bool m_head_validated = false;
    std::string m_error_body;
    bool m_is_continuation = false;
    /// Head of the first server's response, used for the response to the caller.
    std::optional<http::response> m_response_head;
    bool m_head_sent = false;
    /// The current attempt's server has sent an event, which the caller may have had already.
    bool m_any_event_received = false;
    std::string m_last_event_id;
    std::optional<std::int64_t> m_last_event_number;
    /// Time of the last event that the caller did not have yet, or the start of the attempt.
    base::time_point m_last_progress{};
    /// Time of the last event that went to the caller.
    std::optional<base::time_point> m_last_event_time;
    int m_handovers_at_last_event = 0;
};

} // namespace jasminepier::node
