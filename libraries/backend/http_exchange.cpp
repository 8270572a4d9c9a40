#include "backend/http_exchange.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

namespace jasminepier::backend
{
namespace
{

using base::error_kind;

Poco::Timespan to_timespan(std::chrono::milliseconds duration)
{
    return Poco::Timespan(duration.count() * 1000);
}

} // namespace

http_exchange::http_exchange(endpoint target, exchange_timeouts timeouts)
    : m_target(std::move(target)), m_timeouts(timeouts)
{
}

base::result<void> http_exchange::send(backend_request const& request)
{
    Poco::Net::StreamSocket socket;
    try
    {
        socket.connect(Poco::Net::SocketAddress(m_target.host, m_target.port),
                       to_timespan(m_timeouts.connect));
        socket.setNoDelay(true);
    }
    catch (Poco::Net::ConnectionRefusedException const&)
    {
        m_connection_refused = true;
        return base::fail(error_kind::server_unreachable, "cannot connect: connection refused");
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::server_unreachable,
                          std::string("cannot connect: ") + failure.what());
    }
    try
    {
        m_session = std::make_unique<buffered_client_session>(socket);
        m_session->setTimeout(to_timespan(m_timeouts.receive));
        m_session->setKeepAlive(false);
        Poco::Net::HTTPRequest header(request.method, request.path,
                                      Poco::Net::HTTPMessage::HTTP_1_1);
        for (auto const& [name, value] : request.headers)
            header.set(name, value);
        header.setContentLength(static_cast<std::streamsize>(request.body.size()));
        header.setHost(m_target.host, m_target.port);
        auto& out = m_session->sendRequest(header);
        out << request.body;
        out.flush();
        return {};
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::server_failed,
                          std::string("connection lost while sending: ") + failure.what());
    }
}

bool http_exchange::wait_readable(std::chrono::milliseconds timeout)
{
    // Poco reads the two bytes that terminate a chunk only when it reads the next chunk.
    constexpr int chunk_terminator_bytes = 2;
    if (m_body != nullptr && m_body->rdbuf()->in_avail() > 0)
        return true;
    if (m_session->unread_bytes() > chunk_terminator_bytes)
        return true;
    return m_session->socket().poll(to_timespan(timeout), Poco::Net::Socket::SELECT_READ |
                                                              Poco::Net::Socket::SELECT_ERROR);
}

base::result<int> http_exchange::receive_status()
{
    try
    {
        Poco::Net::HTTPResponse response;
        m_body = &m_session->receiveResponse(response);
        m_content_type = response.getContentType();
        return static_cast<int>(response.getStatus());
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::server_failed, std::string("no response: ") + failure.what());
    }
}

base::result<std::string> http_exchange::read_body(std::size_t maximum_bytes)
{
    std::string text;
    try
    {
        char buffer[4096];
        while (m_body->read(buffer, sizeof buffer), m_body->gcount() > 0)
        {
            text.append(buffer, static_cast<std::size_t>(m_body->gcount()));
            if (text.size() > maximum_bytes)
                return base::fail(error_kind::server_failed, "response exceeds the size limit");
        }
        if (m_session->networkException() != nullptr)
            return base::fail(error_kind::server_failed, "connection lost while reading");
        return text;
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::server_failed,
                          std::string("connection lost while reading: ") + failure.what());
    }
}

void http_exchange::abort() noexcept
{
    try
    {
        if (m_session)
            m_session->abort();
    }
    catch (...)
    {
        // The connection is already closed.
        return;
    }
}

base::result<backend_response> call_backend(endpoint const& target, backend_request const& request,
                                            exchange_timeouts timeouts, std::size_t maximum_bytes)
{
    http_exchange exchange(target, timeouts);
    BOOST_LEAF_CHECK(exchange.send(request));
    backend_response response;
    BOOST_LEAF_ASSIGN(response.status, exchange.receive_status());
    BOOST_LEAF_ASSIGN(response.body, exchange.read_body(maximum_bytes));
    response.content_type = exchange.content_type();
    return response;
}

} // namespace jasminepier::backend
