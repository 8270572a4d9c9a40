#include "backend/http_exchange.hpp"

#include "http/wait_set.hpp"

#include <Poco/Net/SocketAddress.h>

#include <sys/socket.h>
#include <utility>

namespace jasminepier::backend
{
namespace
{

using base::error_kind;

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

http::request make_request(backend_request const& request, std::string const& address)
{
    http::request message{request.method, request.path, {}, request.body};
    for (auto const& [name, value] : request.headers)
        message.headers.set(name, value);
    message.headers.set("Host", address);
    message.headers.set("Connection", "close");
    return message;
}

} // namespace

http_exchange::http_exchange(endpoint target, exchange_timeouts timeouts)
    : m_target(std::move(target)), m_timeouts(timeouts)
{
}

base::result<void> http_exchange::send(backend_request const& request)
{
    try
    {
        auto const address = Poco::Net::SocketAddress(m_target.host, m_target.port).toString();
        auto const message = make_request(request, address);
        m_exchange = std::make_unique<http::client_exchange>(address, http::write_request(message),
                                                             request.method != "HEAD", now());
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::server_unreachable,
                          std::string("cannot connect: ") + failure.what());
    }
    m_descriptor = m_exchange->descriptor();
    run_until([&] { return m_exchange->connected(); }, m_timeouts.connect);
    if (!m_exchange->connected())
    {
        m_exchange->fail_as_not_connected();
        return base::fail(error_kind::server_unreachable, m_exchange->connection_refused()
                                                              ? "cannot connect: connection refused"
                                                              : "cannot connect");
    }
    // The server may respond before it has read the request.
    run_until([&] { return m_exchange->request_sent() || m_exchange->head_received(); },
              m_timeouts.receive);
    if (m_exchange->request_sent() || m_exchange->head_received())
        return {};
    return base::fail(error_kind::server_failed, "connection lost while sending");
}

bool http_exchange::run_until(std::function<bool()> const& condition,
                              std::chrono::milliseconds timeout)
{
    http::wait_set poll_set;
    auto const deadline = now() + timeout;
    while (!condition() && !ended())
    {
        if (now() >= deadline)
            return false;
        poll_set.clear();
        poll_set.add(m_exchange->descriptor(), m_exchange->poll_events());
        poll_set.wait(deadline);
        m_exchange->advance(poll_set.ready(0));
    }
    return true;
}

bool http_exchange::collect_body()
{
    if (m_exchange->head_received())
        m_received_body += m_exchange->take_body();
    return !m_received_body.empty();
}

bool http_exchange::wait_readable(std::chrono::milliseconds timeout)
{
    return run_until(
        [&] { return m_status_received ? collect_body() : m_exchange->head_received(); }, timeout);
}

base::result<int> http_exchange::receive_status()
{
    run_until([&] { return m_exchange->head_received(); }, m_timeouts.receive);
    if (!m_exchange->head_received())
        return base::fail(error_kind::server_failed, "no response: " + describe_failure());
    m_status_received = true;
    m_content_type = m_exchange->head().headers.find("Content-Type").value_or("");
    return m_exchange->head().status;
}

std::string http_exchange::receive_body()
{
    run_until([&] { return collect_body(); }, m_timeouts.receive);
    collect_body();
    return std::exchange(m_received_body, {});
}

base::result<std::string> http_exchange::read_body(std::size_t maximum_bytes)
{
    std::string text;
    for (auto bytes = receive_body(); !bytes.empty(); bytes = receive_body())
    {
        text += bytes;
        if (text.size() > maximum_bytes)
            return base::fail(error_kind::server_failed, "response exceeds the size limit");
    }
    if (!complete())
        return base::fail(error_kind::server_failed, "incomplete response: " + describe_failure());
    return text;
}

std::string http_exchange::describe_failure() const
{
    if (m_aborted)
        return "aborted";
    if (!m_exchange->ended())
        return "timeout";
    return std::string(http::to_string(m_exchange->failure()));
}

http_exchange::body_buffer::int_type http_exchange::body_buffer::underflow()
{
    m_bytes = m_exchange.receive_body();
    setg(m_bytes.data(), m_bytes.data(), m_bytes.data() + m_bytes.size());
    return m_bytes.empty() ? traits_type::eof() : traits_type::to_int_type(m_bytes.front());
}

void http_exchange::abort() noexcept
{
    m_aborted = true;
    if (m_descriptor >= 0)
        ::shutdown(m_descriptor, SHUT_RDWR);
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
