#include "http/client_exchange.hpp"

#include "http/wait_set.hpp"

#include <Poco/Net/NetException.h>

#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace jasminepier::http
{
namespace
{

// TCP keep-alive: the first probe follows one idle second, and two lost probes fail the connection.
constexpr int keep_alive_idle_seconds = 1;
constexpr int keep_alive_interval_seconds = 1;
constexpr int keep_alive_probes = 2;

} // namespace

std::string_view to_string(exchange_failure failure) noexcept
{
    switch (failure)
    {
    case exchange_failure::not_connected:
        return "not_connected";
    case exchange_failure::connection_lost:
        return "connection_lost";
    case exchange_failure::malformed:
        return "malformed";
    case exchange_failure::oversized:
        return "oversized";
    case exchange_failure::none:
        break;
    }
    return "none";
}

void set_connection_options(Poco::Net::StreamSocket& socket)
{
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_seconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_seconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

client_exchange::client_exchange(std::string const& address, outgoing_request request,
                                 bool expect_body, base::time_point now)
    : m_request(std::move(request)), m_reader(expect_body), m_start_time(now),
      m_last_receive_time(now)
{
    try
    {
        m_socket.connectNB(Poco::Net::SocketAddress(address));
        m_socket.setBlocking(false);
        set_connection_options(m_socket);
    }
    catch (Poco::Exception const& failure)
    {
        m_connection_refused = failure.code() == ECONNREFUSED;
        // The owner sees the failure through failure() and logs it with the server's name.
        m_failure = exchange_failure::not_connected;
    }
}

client_exchange::client_exchange(Poco::Net::StreamSocket const& connection,
                                 outgoing_request request, bool expect_body, base::time_point now)
    : m_socket(connection), m_request(std::move(request)), m_connected(true), m_reader(expect_body),
      m_start_time(now), m_last_receive_time(now)
{
    send_pending();
}

int client_exchange::descriptor() const noexcept
{
    return ended() ? -1 : m_socket.impl()->sockfd();
}

short client_exchange::poll_events() const noexcept
{
    if (!m_connected)
        return POLLOUT;
    return static_cast<short>(m_bytes_sent < m_request.size() ? POLLIN | POLLOUT : POLLIN);
}

void client_exchange::advance(short ready_events)
{
    if (ended() || ready_events == 0)
        return;
    if (!m_connected)
    {
        int socket_error = 0;
        socklen_t length = sizeof socket_error;
        ::getsockopt(m_socket.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &socket_error, &length);
        if (socket_error != 0 || (ready_events & (POLLERR | POLLHUP)) != 0)
        {
            m_connection_refused = socket_error == ECONNREFUSED;
            m_failure = exchange_failure::not_connected;
            return;
        }
        m_connected = true;
    }
    if ((ready_events & POLLOUT) != 0)
        send_pending();
    if ((ready_events & (POLLIN | POLLHUP | POLLERR)) != 0)
        receive_available();
}

void client_exchange::advance_if_ready()
{
    wait_set poll_set;
    poll_set.add(descriptor(), poll_events());
    poll_set.wait({});
    advance(poll_set.ready(0));
}

void client_exchange::send_pending()
{
    while (m_bytes_sent < m_request.size())
    {
        auto const& head = m_request.bytes;
        auto const pending = m_bytes_sent < head.size()
                                 ? std::string_view(head).substr(m_bytes_sent)
                                 : m_request.rest.substr(m_bytes_sent - head.size());
        auto const written =
            ::send(m_socket.impl()->sockfd(), pending.data(), pending.size(), MSG_NOSIGNAL);
        if (written > 0)
        {
            m_bytes_sent += static_cast<std::size_t>(written);
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            return;
        m_send_failed = true;
        // The server may have responded before reading the complete request, so read its response
        // before reporting the send error.
        auto const send_error = errno;
        receive_available();
        if (!ended())
            handle_connection_end(send_error);
        return;
    }
}

void client_exchange::receive_available()
{
    // A single read per call keeps the order of events across connections and bounds the work of
    // one iteration of the owner's event loop.
    std::array<char, 16384> bytes;
    auto const received = ::recv(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), 0);
    if (received > 0)
    {
        m_last_receive_time = base::steady_clock_source{}.now();
        m_reader.feed({bytes.data(), static_cast<std::size_t>(received)});
        if (m_reader.current_state() == response_reader::state::malformed)
            m_failure = exchange_failure::malformed;
        if (m_reader.current_state() == response_reader::state::oversized)
            m_failure = exchange_failure::oversized;
        return;
    }
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return;
    handle_connection_end(received == 0 ? 0 : errno);
}

void client_exchange::handle_connection_end(int socket_error)
{
    // The kernel reports a reset only once. After a failed send has reported it, the connection
    // seems to end in order.
    if (socket_error == 0 && !m_send_failed)
        m_reader.feed_eof();
    m_closed_by_peer = socket_error == 0 || socket_error == ECONNRESET || socket_error == EPIPE;
    if (!complete())
        m_failure = exchange_failure::connection_lost;
}

std::optional<Poco::Net::StreamSocket> client_exchange::release_connection()
{
    if (m_connection_released || !m_reader.connection_reusable() || m_bytes_sent < m_request.size())
        return std::nullopt;
    m_connection_released = true;
    return m_socket;
}

} // namespace jasminepier::http
