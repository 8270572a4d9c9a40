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
    enum class stream_end
    {
        complete,
        /// The server certainly did not run the request.
        not_run,
        /// The connection broke, or the answer is not the server's.
        broken,
        /// The server gave a failure of its own.
        failure_answer,
        handed_over,
        caller_left,
        out_of_time,
    };

    void start(server_attempt run, std::string const& continue_from);
    stream_end pump();
    /// Handles what has arrived. Returns the end of the stream when this was it.
    std::optional<stream_end> take_arrived();
    std::optional<stream_end> check_head();
    bool forward_events(std::string_view bytes);
    bool send_head();
    bool send_end();
    bool handover_due() const;
    std::optional<stream_end> check_time(base::time_point now);
    void end_run(stream_end end);
    /// Ends an answer that has begun, so that the caller sees that it is not whole.
    void break_off(base::error_kind kind);
    bool may_resume();
    base::result<void> answer_failure(base::error_kind kind, std::string message);

    request_context& m_context;
    std::optional<server_attempt> m_run;
    std::unique_ptr<http::client_exchange> m_exchange;
    std::unique_ptr<generation_handover> m_handover;
    serving::event_stream_splitter m_events;
    bool m_head_checked = false;
    std::string m_failure_body;
    bool m_continued = false;
    /// The first server's header, which the whole answer keeps.
    std::optional<http::response> m_head;
    bool m_head_sent = false;
    bool m_sent_any = false;
    std::string m_last_id;
    std::optional<std::int64_t> m_last_number;
    base::time_point m_last_event{};
};

} // namespace jasminepier::node
