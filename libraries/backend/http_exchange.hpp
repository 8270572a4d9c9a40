/// HTTP client for requests to backend servers.
#pragma once

#include "base/error.hpp"

#include <Poco/Net/HTTPClientSession.h>

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <memory>
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

/// A client session that exposes the number of received bytes that have not been read.
class buffered_client_session : public Poco::Net::HTTPClientSession
{
public:
    using Poco::Net::HTTPClientSession::HTTPClientSession;
    int unread_bytes() const { return buffered(); }
};

/// One request and its response on a connection of its own, so a response can't be mistaken for the
/// response to another request. The destructor closes the connection.
class http_exchange
{
public:
    http_exchange(endpoint target, exchange_timeouts timeouts);

    /// Connects and sends the request. Fails with server_unreachable if the connection could not be
    /// established and nothing was sent, and with server_failed if any byte may have been sent.
    base::result<void> send(backend_request const& request);

    /// Returns true if `send` failed because nothing listens on the port.
    bool connection_refused() const noexcept { return m_connection_refused; }

    /// Waits for the response header and returns the status. Fails with server_failed.
    base::result<int> receive_status();

    /// Waits until bytes of the response can be read or the connection is closed. Returns false on
    /// timeout.
    bool wait_readable(std::chrono::milliseconds timeout);

    /// Returns the stream of the response body. Valid after `receive_status`.
    std::istream& body() noexcept { return *m_body; }
    std::string const& content_type() const noexcept { return m_content_type; }

    /// Reads the complete body. Fails with server_failed if the connection is lost or the body
    /// exceeds `maximum_bytes`.
    base::result<std::string> read_body(std::size_t maximum_bytes);

    /// Closes the connection, so a blocked read in another thread fails.
    void abort() noexcept;

private:
    endpoint m_target;
    exchange_timeouts m_timeouts;
    /// Null until the connection is established.
    std::unique_ptr<buffered_client_session> m_session;
    std::istream* m_body = nullptr;
    std::string m_content_type;
    bool m_connection_refused = false;
};

/// Sends a request and reads the complete response. Fails like the functions of `http_exchange`.
base::result<backend_response> call_backend(endpoint const& target, backend_request const& request,
                                            exchange_timeouts timeouts,
                                            std::size_t maximum_bytes = 8U << 20U);

} // namespace jasminepier::backend
