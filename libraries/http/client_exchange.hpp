/// A non-blocking HTTP request to a server and its response.
#pragma once

#include "base/clock.hpp"
#include "http/response_reader.hpp"

#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

namespace jasminepier::http
{

/// Why an exchange ended without a complete response.
enum class exchange_failure
{
    none,
    /// No connection was established, so the server received nothing.
    not_connected,
    /// The connection closed or failed before the response was complete.
    connection_lost,
    /// The received bytes are not a valid HTTP response.
    malformed,
    /// The response exceeds a limit on its size.
    oversized,
};

std::string_view to_string(exchange_failure failure) noexcept;

/// Sends one request and receives its response. The owner's event loop polls `descriptor` for
/// `poll_events` and then calls `advance`. The destructor closes the connection unless
/// `release_connection` returned it. Not thread-safe.
class client_exchange
{
public:
    /// Starts connecting to `address` (IP:PORT). `expect_body` is false for HEAD requests.
    client_exchange(std::string const& address, outgoing_request request, bool expect_body,
                    base::time_point now);
    /// `request_bytes` is the complete serialized request.
    client_exchange(std::string const& address, std::string request_bytes, bool expect_body,
                    base::time_point now)
        : client_exchange(address, outgoing_request{std::move(request_bytes), {}}, expect_body, now)
    {
    }
    /// Sends the request on a connection that is already open.
    client_exchange(Poco::Net::StreamSocket const& connection, outgoing_request request,
                    bool expect_body, base::time_point now);

    int descriptor() const noexcept;
    short poll_events() const noexcept;
    /// Sends and receives as much as possible without blocking. `ready_events` holds the
    /// events that the poll returned.
    void advance(short ready_events);
    /// Polls the connection without waiting, then advances.
    void advance_if_ready();

    bool connected() const noexcept { return m_connected; }
    /// Returns true if nothing listens on the server's port.
    bool connection_refused() const noexcept { return m_connection_refused; }
    bool request_sent() const noexcept { return m_bytes_sent == m_request.size(); }
    /// Returns true once any byte of the request may have reached the server.
    bool any_bytes_sent() const noexcept { return m_bytes_sent > 0; }
    bool head_received() const noexcept
    {
        return m_reader.current_state() == response_reader::state::reading_body ||
               m_reader.current_state() == response_reader::state::complete ||
               (m_failure != exchange_failure::none && m_reader.head().status != 0);
    }
    bool complete() const noexcept
    {
        return m_reader.current_state() == response_reader::state::complete;
    }
    exchange_failure failure() const noexcept { return m_failure; }
    /// Returns true if the server's side closed or reset the connection before the response was
    /// complete, in contrast to a link that timed out.
    bool closed_by_peer() const noexcept
    {
        return m_failure == exchange_failure::connection_lost && m_closed_by_peer;
    }
    bool ended() const noexcept { return complete() || m_failure != exchange_failure::none; }
    /// Returns true if the response is complete only because the server closed the connection.
    bool ended_with_connection() const noexcept { return m_reader.ended_with_connection(); }
    response const& head() const noexcept { return m_reader.head(); }
    /// Returns the bytes of the body that wait for `take_body`.
    std::size_t untaken_bytes() const { return m_reader.untaken_bytes(); }
    std::string take_body() { return m_reader.take_body(); }
    base::time_point start_time() const noexcept { return m_start_time; }
    /// Time of the last received bytes, or the start time if nothing has arrived.
    base::time_point last_receive_time() const noexcept { return m_last_receive_time; }

    /// Returns the connection for another request if the response is complete, was not followed by
    /// other bytes and allows the connection to be reused.
    std::optional<Poco::Net::StreamSocket> release_connection();
    /// Gives up the exchange, for example because the connection was not established in time.
    void fail_as_not_connected() noexcept { m_failure = exchange_failure::not_connected; }
    /// Gives up a response that is larger than the owner accepts.
    void fail_as_oversized() noexcept { m_failure = exchange_failure::oversized; }

private:
    void send_pending();
    void receive_available();
    /// `socket_error` is 0 if the server closed the connection in order.
    void handle_connection_end(int socket_error);

    Poco::Net::StreamSocket m_socket;
    outgoing_request m_request;
    std::size_t m_bytes_sent = 0;
    bool m_connected = false;
    bool m_connection_refused = false;
    bool m_send_failed = false;
    bool m_connection_released = false;
    bool m_closed_by_peer = false;
    exchange_failure m_failure = exchange_failure::none;
    response_reader m_reader;
    base::time_point m_start_time;
    base::time_point m_last_receive_time;
};

/// Disables Nagle's algorithm and enables TCP keep-alive probes, which detect a silent peer within
/// three seconds.
void set_connection_options(Poco::Net::StreamSocket& socket);

} // namespace jasminepier::http
