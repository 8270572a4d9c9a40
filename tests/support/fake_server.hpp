/// A fake backend server in the process of a test.
#pragma once

#include "tests/support/connection_server.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <vector>

namespace jasminepier::tests
{

/// A fake server of the platform. The last segment of a request's path selects its behaviour: `ok`,
/// `error`, `cut` (closes the connection without a response), `shed` (rejects the request with
/// 503), `foreign` (sends the response to another request), `hang`, `work-N` (responds after N ms),
/// `large-N` (responds with N KiB), `unavailable-N` (responds with 503 after N ms, although it ran
/// the request), `stream-N` (streams N events), `broken-N` (closes the connection after N events
/// without the terminating chunk), `closed-N` (streams N events without a length and ends with the
/// connection), `closed`, `reset` (a plain response without a length, whole or reset in the
/// middle), `partial-FRAMING-N` (N events and a part of the next one; FRAMING is `closed`,
/// `chunked`, `sized` or `reset`; a resumed stream is complete with two more events), `comment-N`
/// (like `closed-N`, followed by a comment line without a blank line), `stalled-N` (stops after one
/// event and sends a comment byte now and then; a resumed stream continues to N events), `endless`
/// (sends a body without end), `endless-head` (sends a head without end), `short-head` (closes the
/// connection before the blank line that ends a head), `copied` (sends its response a second time
/// when the next request arrives on the connection), `refusal-copied` (then sends a refusal of the
/// earlier request), `crash` (sends the head of a response, then nothing; `has_crashed` tells the
/// owner to end the server), `status-N` (responds with status N after it ran the request),
/// `failing-N-STATUS` (streams N events and breaks off; a resumed stream is answered with the
/// status and an error text, which is no stream), `greeting` (closes the connection after a
/// comment, before the first event), `dying-ACTION` (performs an action that ends with the
/// connection and refuses connections for 400 ms, like a process that crashes), `losing-N-ACTION`
/// (the same without a crash for the first N requests on the path; responds to later ones, with two
/// events on `/plan/` and
/// `/question/`), `raw` (sends the bytes of `set_raw_response`, and keeps the connection open
/// unless told otherwise), `raw-N` (the same; a resumed stream continues to N events).
class fake_server
{
public:
    struct received_request
    {
        std::string path;
        http::header_list headers;
        std::string body;
        std::chrono::steady_clock::time_point arrived_at;
        /// When the request ended, successfully or not; empty while it is running.
        std::optional<std::chrono::steady_clock::time_point> ended_at;
        /// False if the request was rejected.
        bool executed = false;
        bool succeeded = false;
        /// Number of the connection that the request arrived on.
        int connection = 0;
    };

    fake_server(std::uint16_t port, std::string id);

    std::string const& id() const noexcept { return m_id; }
    std::string address() const;
    std::vector<received_request> requests() const;
    /// Returns how often this server executed the request.
    int execution_count(std::string const& request_id) const;
    /// Returns how many requests were running when their connection was closed.
    int disconnect_count() const noexcept { return m_disconnect_count; }
    /// Returns the number of requests to copy a generation.
    int copy_count() const noexcept { return m_copy_count; }
    void set_event_interval(std::chrono::milliseconds interval) { m_event_interval = interval; }
    /// Delays the response to a request that stops and copies a generation.
    void set_stop_delay(std::chrono::milliseconds delay) { m_stop_delay = delay; }
    /// Requests to copy a generation get this status; the generation goes on unless it is 200.
    void set_copy_status(int status) { m_copy_status = status; }
    bool has_crashed() const noexcept { return m_crashed; }
    /// Adds these header fields to every response.
    void set_extra_fields(http::header_list fields);
    /// Answers `ok` as `error`, like a faulty version.
    void fail_requests() { m_fails = true; }
    /// Makes /report return the state `draining`.
    void start_draining() { m_draining = true; }
    /// How the bytes of the response to `raw` are sent, and what follows them.
    enum class raw_delivery
    {
        at_once,
        byte_by_byte,
        /// At once; the connection is closed afterwards.
        then_closed,
        /// At once; the connection is reset afterwards.
        then_reset,
    };
    /// Sets the response to `raw`, in which `{id}` stands for the request's id.
    void set_raw_response(std::string response, raw_delivery delivery = raw_delivery::at_once);
    /// Makes /report return these bytes.
    void set_raw_report(std::string response);

private:
    /// How a response's body is delimited.
    enum class framing
    {
        chunked,
        sized,
        end_of_connection,
        /// Like `end_of_connection`, but the connection is reset.
        reset_connection,
    };

    void serve(Poco::Net::StreamSocket& socket);
    /// Handles one request. Returns true if the connection can be reused.
    bool respond(Poco::Net::StreamSocket& socket, http::request const& request, int connection);
    /// Performs the action that the path selects. Returns true if the connection can be reused.
    bool execute(Poco::Net::StreamSocket& socket, http::request const& request,
                 std::string const& action);
    /// Waits for `duration`. Returns false as soon as the peer closes the connection.
    bool wait_while_connected(Poco::Net::StreamSocket& socket, std::chrono::milliseconds duration);
    /// Sends one event, then single bytes of a comment until the peer closes the connection.
    void stall(Poco::Net::StreamSocket& socket, http::request const& request);
    /// Sends a chunked body until the peer closes the connection.
    void send_without_end(Poco::Net::StreamSocket& socket, http::request const& request);
    /// Sends a head without its last line, followed by more fields without end if `is_endless`.
    void send_unfinished_head(Poco::Net::StreamSocket& socket, http::request const& request,
                              bool is_endless);
    void stream(Poco::Net::StreamSocket& socket, http::request const& request, int events,
                bool complete, framing body_framing = framing::chunked);
    /// Serves an action `losing-N-ACTION`. Returns true if the connection can be reused.
    bool lose_first_answers(Poco::Net::StreamSocket& socket, http::request const& request,
                            std::string const& action);
    /// Serves an action `partial-FRAMING-N`.
    void serve_partial_stream(Poco::Net::StreamSocket& socket, http::request const& request,
                              std::string const& action);
    /// Sends a stream that ends with `rest`, which is not a complete event.
    void send_partial_stream(Poco::Net::StreamSocket& socket, http::request const& request,
                             int events, std::string const& rest, framing body_framing);
    void copy_generation(Poco::Net::StreamSocket& socket, http::request const& request);
    /// Returns the response to `raw` for this request.
    std::string make_raw_response(std::string const& id) const;
    /// Sends the response to `raw`. Returns true if the connection can be reused.
    bool send_raw_response(Poco::Net::StreamSocket& socket, std::string const& id);
    /// Returns the fields of a response of this server, with its signature.
    http::header_list make_fields(std::string const& id) const;
    bool send(Poco::Net::StreamSocket& socket, int status, http::header_list fields,
              std::string const& body);

    std::string m_id;
    mutable std::mutex m_mutex;
    std::vector<received_request> m_requests;
    http::header_list m_extra_fields;
    std::string m_raw_response;
    raw_delivery m_raw_delivery = raw_delivery::at_once;
    std::string m_raw_report;
    std::map<std::string, int> m_execution_counts;
    /// Requests on each path whose answers have been lost.
    std::map<std::string, int> m_loss_counts;
    /// Requests whose generation stops here, since the last copy has been taken.
    std::set<std::string> m_handed_over_ids;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_fails{false};
    std::atomic<bool> m_crashed{false};
    std::atomic<int> m_connection_count{0};
    std::atomic<int> m_disconnect_count{0};
    std::atomic<int> m_copy_count{0};
    std::atomic<int> m_copy_status{200};
    std::atomic<std::chrono::milliseconds> m_stop_delay{std::chrono::milliseconds(0)};
    std::atomic<std::chrono::milliseconds> m_event_interval{std::chrono::milliseconds(20)};
    connection_server m_server;
};

} // namespace jasminepier::tests
