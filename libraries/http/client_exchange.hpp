/// One request to a server and its answer, without blocking.
#pragma once

#include "base/clock.hpp"
#include "http/response_reader.hpp"

#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

namespace jasminepier::http
{

/// Why an exchange ended without a whole answer.
enum class exchange_failure
{
    none,
    /// No connection was established, so the server has received nothing.
    not_connected,
    /// The connection ended or broke before the answer was complete.
    connection_lost,
    /// The bytes received are no answer.
    malformed,
};

std::string_view to_string(exchange_failure failure) noexcept;

/// Drives one exchange from the loop of its owner: wait for `wanted_events` on `descriptor`, then
/// call `advance`. The connection is closed when the object is destroyed, unless it was taken.
class client_exchange
{
public:
    /// Starts to connect to `address` (IP:PORT). `bytes` is the whole request.
    client_exchange(std::string const& address, std::string bytes, bool expect_body,
                    base::time_point now);
    /// Sends the request on a connection that is open already.
    client_exchange(Poco::Net::StreamSocket const& connection, std::string bytes, bool expect_body,
                    base::time_point now);

    int descriptor() const noexcept;
    short wanted_events() const noexcept;
    /// Sends and receives what is possible now.
    void advance(short ready);

    bool connected() const noexcept { return m_connected; }
    /// True once any byte of the request may have reached the server.
    bool request_started() const noexcept { return m_sent > 0; }
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
    bool ended() const noexcept { return complete() || m_failure != exchange_failure::none; }
    response const& head() const noexcept { return m_reader.head(); }
    std::string take_body() { return m_reader.take_body(); }
    base::time_point started() const noexcept { return m_started; }
    /// The last time at which bytes arrived, or the start.
    base::time_point last_received() const noexcept { return m_last_received; }

    /// Returns the connection for another request when the answer was complete and unambiguous.
    std::optional<Poco::Net::StreamSocket> take_connection();
    /// Gives up an exchange whose connection was not established in time.
    void fail_connecting() noexcept { m_failure = exchange_failure::not_connected; }

private:
    void send_pending();
    void receive_available();
    void connection_ended(bool in_order);

    Poco::Net::StreamSocket m_socket;
    std::string m_request;
    std::size_t m_sent = 0;
    bool m_connected = false;
    bool m_taken = false;
    exchange_failure m_failure = exchange_failure::none;
    response_reader m_reader;
    base::time_point m_started;
    base::time_point m_last_received;
};

/// Applies the options that every connection of this system uses: no delay, and keep-alive probes
/// that find a silent peer within three seconds.
void set_connection_options(Poco::Net::StreamSocket& socket);

} // namespace jasminepier::http
