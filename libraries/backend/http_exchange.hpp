/// One HTTP exchange with a backend server.
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
    /// Longest silence while waiting for an answer or for its next bytes.
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

/// Shows how many received bytes have not been read.
class client_session : public Poco::Net::HTTPClientSession
{
public:
    using Poco::Net::HTTPClientSession::HTTPClientSession;
    int unread() const { return buffered(); }
};

/// A connection that carries exactly one request, so that an answer can never be taken for that of
/// another request; it is closed when the object is destroyed.
class http_exchange
{
public:
    http_exchange(endpoint target, exchange_timeouts timeouts);

    /// Sends the request. Fails with server_unreachable when the connection could not be
    /// established, so that nothing was sent, and with server_failed when any byte may have left.
    base::result<void> send(backend_request const& request);

    /// The server's host answered that nothing listens on the port.
    bool connection_refused() const noexcept { return m_connection_refused; }

    /// Waits for the status line. Fails with server_failed.
    base::result<int> receive_status();

    /// Waits until bytes of the answer can be read or the connection has ended. Returns false when
    /// neither happened within `limit`.
    bool wait_readable(std::chrono::milliseconds limit);

    /// The answer's body; valid after `receive_status`.
    std::istream& body() noexcept { return *m_body; }
    std::string const& content_type() const noexcept { return m_content_type; }

    /// Reads the whole body, at most `limit` bytes. Fails with server_failed.
    base::result<std::string> read_body(std::size_t limit);

    /// Closes the connection from another thread; a blocked read fails.
    void abort() noexcept;

private:
    endpoint m_target;
    exchange_timeouts m_timeouts;
    /// Created once the connection stands.
    std::unique_ptr<client_session> m_session;
    std::istream* m_body = nullptr;
    std::string m_content_type;
    bool m_connection_refused = false;
};

/// Sends a request and reads the whole answer, at most `limit` bytes.
base::result<backend_response> call_backend(endpoint const& target, backend_request const& request,
                                            exchange_timeouts timeouts,
                                            std::size_t limit = 8U << 20U);

} // namespace jasminepier::backend
