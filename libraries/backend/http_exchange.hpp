/// Blocking HTTP client for requests to backend servers.
#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/client_exchange.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <istream>
#include <map>
#include <memory>
#include <streambuf>
#include <string>

namespace jasminepier::backend
{

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

struct exchange_timeouts
{
    std::chrono::milliseconds connect{500};
    /// Maximum wait for the response or for its next bytes.
    std::chrono::milliseconds receive{30000};
};

struct backend_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct backend_response
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// One request and its response on a connection of its own, so a response can't be mistaken for the
/// response to another request. The destructor closes the connection.
class http_exchange
{
public:
    http_exchange(endpoint target, exchange_timeouts timeouts);
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    /// Connects and sends the request. Fails with server_unreachable if the connection could not be
    /// established and nothing was sent, and with server_failed if any byte may have been sent.
    base::result<void> send(backend_request const& request);

    /// Returns true if `send` failed because nothing listens on the port.
    bool connection_refused() const noexcept
    {
        return m_exchange && m_exchange->connection_refused();
    }

    /// Waits for the response header and returns the status. Fails with server_failed.
    base::result<int> receive_status();

    /// Waits until the response header, then until bytes of the body have been received, or until
    /// the response has ended. Returns false on timeout.
    bool wait_readable(std::chrono::milliseconds timeout);

    /// Returns the stream of the response body. It ends with the response, whether the response is
    /// complete or not. Valid after `receive_status`.
    std::istream& body() noexcept { return m_body; }
    std::string const& content_type() const noexcept { return m_content_type; }

    /// Reads the complete body. Fails with server_failed if the response is incomplete or the body
    /// exceeds `maximum_bytes`.
    base::result<std::string> read_body(std::size_t maximum_bytes);

    /// Ends the connection, so a blocked read in another thread fails.
    void abort() noexcept;

private:
    /// Provides the body's bytes as they arrive.
    class body_buffer : public std::streambuf
    {
    public:
        explicit body_buffer(http_exchange& exchange) : m_exchange(exchange) {}

    protected:
        int_type underflow() override;

    private:
        http_exchange& m_exchange;
        std::string m_bytes;
    };

    /// Runs the exchange until `condition` holds or it has ended. Returns false on timeout.
    bool run_until(std::function<bool()> const& condition, std::chrono::milliseconds timeout);
    bool ended() const noexcept { return m_aborted || m_exchange->ended(); }
    bool complete() const noexcept { return !m_aborted && m_exchange->complete(); }
    /// Waits for bytes of the body and returns them; empty at the end of the response or on
    /// timeout.
    std::string receive_body();
    std::string describe_failure() const;
    /// Moves the bytes that have arrived to `m_received_body`. Returns true if there are any.
    bool collect_body();

    endpoint m_target;
    exchange_timeouts m_timeouts;
    std::unique_ptr<http::client_exchange> m_exchange;
    /// Descriptor of the connection, for `abort`; -1 until it is established.
    std::atomic<int> m_descriptor{-1};
    std::atomic<bool> m_aborted{false};
    bool m_status_received = false;
    std::string m_received_body;
    std::string m_content_type;
    body_buffer m_body_buffer{*this};
    std::istream m_body{&m_body_buffer};
};

/// Sends a request and reads the complete response. Fails like the functions of `http_exchange`.
base::result<backend_response> call_backend(endpoint const& target, backend_request const& request,
                                            exchange_timeouts timeouts,
                                            std::size_t maximum_bytes = 8U << 20U);

} // namespace jasminepier::backend
