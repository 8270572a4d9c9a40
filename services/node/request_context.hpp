/// State of a caller's request while it is served.
#pragma once

#include "base/error.hpp"
#include "http/caller_connection.hpp"
#include "http/message.hpp"
#include "services/node/node_state.hpp"
#include "services/node/server_attempt.hpp"
#include "serving/request_metadata.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::node
{

/// How a request ended, for the log and the metrics.
enum class request_outcome
{
    served,
    /// The server's error response was forwarded.
    server_error,
    /// The node responded itself, with an error.
    local_response,
    /// The stream failed after its first part had been sent to the caller.
    aborted,
    caller_left,
};

std::string_view to_string(request_outcome outcome) noexcept;

/// How an answer was lost.
struct answer_loss
{
    /// The server's side closed or reset the connection, in contrast to a link that timed out.
    bool closed_by_server = false;
    /// The head of the response had arrived, so it was this request whose answer the server was
    /// beginning.
    bool response_begun = false;
    /// The server had sent a part of the answer, or continued a generation of another server.
    bool answered = false;
};

/// Which room a request may use at the servers.
enum class room_use
{
    /// What its rank permits, after waiting for it if necessary.
    ranked,
    /// Only room for which nobody waits, at once: for a second attempt whose first one may still
    /// succeed, or has a response that can be delivered.
    spare,
};

/// Used by the thread that serves the request.
class request_context
{
public:
    request_context(node_state& state, http::caller_connection& caller, http::wakeup& wake,
                    http::request received, base::time_point arrival);

    node_state& state;
    http::caller_connection& caller;
    /// Signalled when the server of this request starts leaving (is drained or removed) and when a
    /// slot becomes free.
    http::wakeup& wake;
    http::request request;
    serving::request_metadata metadata;
    base::time_point arrival;
    /// End of the caller's or the route's timeout, whichever is earlier.
    base::time_point deadline;
    std::shared_ptr<serving::fleet_configuration const> configuration;
    serving::route const* route = nullptr;
    serving::service const* service = nullptr;
    std::optional<serving::customer> customer;
    serving::request_demand demand;
    std::uint64_t fingerprint = 0;
    /// Fingerprints of `metadata.shared_prompt_parts`.
    std::vector<std::uint64_t> prompt_parts;
    /// The version that began the stream, from its first event on, or from the start for a stream
    /// that the caller takes up. Only its servers may continue.
    std::optional<serving::version_hash> stream_version;
    /// This request has probably crashed a server itself.
    bool crashed_server = false;

    /// Servers at which an attempt has failed.
    std::vector<std::string> excluded_servers;
    /// Number of attempts whose server may have executed the request.
    int possible_executions = 0;
    /// Number of all attempts.
    int attempts = 0;
    /// Number of attempts of which no server got a byte.
    int unreached_attempts = 0;

    /// Whether the connection stays open for another request.
    bool keep_connection = true;
    request_outcome outcome = request_outcome::local_response;
    int status = 0;
    /// The error code of a local response or of an aborted stream.
    std::string_view error_code = "ok";
    std::string last_server;
    std::optional<base::time_point> first_event;
    int handovers = 0;
    /// The pace that the latest server stated, in percent of the usual time of work.
    std::optional<int> stated_pace;
    /// Longest time between two events that went to the caller.
    std::optional<base::time_point::duration> largest_event_gap;
    /// What happened during this time: a handover, a copy of the generation while it ran, or
    /// nothing that the node did.
    std::string_view largest_gap_cause;

    base::milliseconds time_left() const;
    /// Returns the time at which this process must have answered: `deadline`, or the end of its
    /// shutdown.
    base::time_point response_deadline() const
    {
        return state.shutdown().response_deadline(deadline);
    }
    /// Returns the limits for sending the response or a part of it: a caller that goes on reading
    /// has until `deadline`.
    http::send_limits send_limits() const;
    /// Waits for the first configuration, for a part of the caller's timeout. Returns false if none
    /// has arrived.
    bool wait_for_configuration();
    /// Selects a server and begins an attempt there. While all servers are full, waits in the order
    /// of admission for as long as that can serve the caller, unless room is certainly too far off;
    /// while they are cold or at their rate limit, for a fraction of the latency objective. Fails
    /// with `overloaded` if they remain so, with `no_server` if waiting would not help, and with
    /// `node_stopping` if this process may exit before the response has ended.
    base::result<server_attempt> acquire_server(room_use use = room_use::ranked);
    /// True if no request waits for room at the service, here or elsewhere.
    bool has_spare_room();
    /// Selects a server for a generation that moves away from `source`, without waiting.
    std::optional<server_attempt>
    acquire_handover_target(serving::selected_server const& source,
                            std::vector<std::string> const& excluded_targets);
    /// Takes one retry from the service's budget. Returns false if the budget is exhausted.
    bool try_spend_retry();
    /// True if no server got a byte of this request. The next attempt is then no repeat and needs
    /// no retry from the budget.
    bool never_reached() const noexcept { return unreached_attempts == attempts; }
    /// Returns whether a request that no server could be reached for goes on to another one: as
    /// long as it would wait for room.
    bool may_try_further();
    /// Returns the metadata to send to `server` along with the request.
    serving::forwarded_metadata
    make_forwarded_metadata(serving::selected_server const& server) const;
    /// Takes over what a response to this request says about its server.
    void record_server_state(serving::selected_server const& server,
                             serving::response_metadata const& response);
    /// Records that `server` rejected this request because it is full, without running it. Another
    /// attempt there may succeed a moment later.
    void record_full_server(serving::selected_server const& server);
    /// Records that the connection to `server` ended before the response was complete, for poison
    /// request detection.
    void record_lost_answer(serving::selected_server const& server, answer_loss const& loss);
    /// Records that a server has sent a complete success.
    void record_completed();
    /// Records that a server has begun to answer with a success.
    void record_answered();
    /// Finds out which version began the stream that the caller takes up, and selects its service.
    /// Fails with `stream_not_resumable` if the version is unknown or has no servers.
    base::result<void> find_stream_version();
    /// Records that the first event from `server` goes to the caller. Called before it is sent.
    void record_stream_begin(serving::selected_server const& server);
    /// Fails if the request or a part of its prompt crashes servers.
    base::result<void> check_crash_records();

    /// Sends an error response of this node. Rejections carry a Retry-After field.
    void send_local_error(base::error const& failure);
    /// Forwards a server's complete response.
    void send_response(http::response const& response);
    /// Ends the connection with this response if the process is shutting down. Requests that have
    /// arrived behind this one are still answered.
    void close_connection_during_shutdown();
    void log_completion() const;

private:
    /// Waits until `done()` returns true. Returns false when `wait_deadline` has passed or the
    /// caller has disconnected.
    bool wait_until(base::time_point wait_deadline, std::function<bool()> const& done);
    server_attempt begin_attempt(node_state::tables& tables, serving::selected_server const& server,
                                 base::time_point now);
    /// Engine memory that the request needs; 0 for plain work.
    std::int64_t needed_tokens() const;
    serving::admission_request make_admission_request(base::time_point now) const;
    std::optional<server_attempt> try_acquire_server(serving::server_selection& selection,
                                                     room_use use);
    /// Waits for room and returns an attempt, or nothing with the last reason in `selection`.
    std::optional<server_attempt> wait_for_server(serving::server_selection& selection,
                                                  base::time_point wait_end);
    /// Returns how long this request waits, which lies in the past if it is rejected at once.
    base::time_point find_wait_end(serving::server_selection const& selection,
                                   base::time_point now) const;
    /// Records the end of the wait for the log, the metrics and the shares of kinds of requests.
    void record_admission(serving::server_selection const& selection, base::time_point wait_start,
                          bool admitted);
    /// Returns false if the request has crashed several servers and this is no trial of it.
    bool may_run();
    /// Returns false if a part of the prompt crashes servers and this request is no trial of it.
    bool prompt_parts_may_run();
    /// Returns true if this request becomes a trial of its parts.
    bool try_begin_trial(decision::part_judgement const& judgement, base::time_point now);
    void log_selected_server(serving::selected_server const& server,
                             std::string_view purpose) const;

    /// This request as the order of admission sees it, while a server is acquired.
    serving::admission_request m_order;
    std::optional<serving::waiting_ticket> m_ticket;
    /// When a caller may come back after a rejection, if this node knows.
    std::optional<base::milliseconds> m_retry_delay;
    /// This request may run once although it has crashed several servers.
    bool m_is_request_trial = false;
    /// This request may run although it has parts up to this verdict, once.
    decision::part_verdict m_trial_verdict = decision::part_verdict::clean;
};

} // namespace jasminepier::node
