/// Requests whose answers are streams of events.
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

/// Relays whole events as they arrive. One answer to the caller may come from several servers: a
/// run that leaves its server goes on at another one, and a resumable stream that breaks is
/// continued behind its last event.
class stream_relay
{
public:
    explicit stream_relay(request_context& context) : m_context(context) {}

    /// Serves the request to its end. Fails only while the caller has received nothing.
    base::result<void> serve();

private:
    /// How the stream of one server ended.
    enum class stream_outcome
    {
        complete,
        /// The server certainly did not run the request.
        not_run,
        /// The connection broke, or the answer is not the server's.
        broken,
        /// The server gave a failure of its own.
        error_response,
        handed_over,
        caller_left,
        deadline_exceeded,
    };

    void start(server_attempt attempt, std::string const& continue_from);
    stream_outcome pump();
    /// Handles what has arrived. Returns the end of the stream when this was it.
    std::optional<stream_outcome> process_received();
    std::optional<stream_outcome> validate_head();
    bool forward_events(std::string_view bytes);
    bool send_head();
    bool send_last_chunk();
    bool can_hand_over() const;
    std::optional<stream_outcome> check_timeouts(base::time_point now);
    void finish_attempt(stream_outcome end);
    /// Ends an answer that has begun, so that the caller sees that it is not whole.
    void abort_stream(base::error_kind kind);
    bool try_start_resume();
    base::result<void> fail_or_abort(base::error_kind kind, std::string message);

    request_context& m_context;
    std::optional<server_attempt> m_attempt;
    std::unique_ptr<http::client_exchange> m_exchange;
    std::unique_ptr<generation_handover> m_handover;
    serving::event_stream_splitter m_event_splitter;
    bool m_head_validated = false;
    std::string m_error_body;
    bool m_is_continuation = false;
    /// The first server's header, which the whole answer keeps.
    std::optional<http::response> m_response_head;
    bool m_head_sent = false;
    bool m_any_event_sent = false;
    std::string m_last_event_id;
    std::optional<std::int64_t> m_last_event_number;
    base::time_point m_last_event_time{};
};

} // namespace jasminepier::node
