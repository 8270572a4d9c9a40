#include "http/client_exchange.hpp"

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

// Seconds. Probes start after one idle second and give up after two lost ones.
constexpr int keep_alive_idle = 1;
constexpr int keep_alive_interval = 1;
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
    case exchange_failure::none:
        break;
    }
    return "none";
}

void set_connection_options(Poco::Net::StreamSocket& socket)
{
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

client_exchange::client_exchange(std::string const& address, std::string bytes, bool expect_body,
                                 base::time_point now)
    : m_request(std::move(bytes)), m_reader(expect_body), m_started(now), m_last_received(now)
{
    try
    {
        m_socket.connectNB(Poco::Net::SocketAddress(address));
        m_socket.setBlocking(false);
        set_connection_options(m_socket);
    }
    catch (Poco::Exception const&)
    {
        // The exchange reports this; its owner logs the failure with the server.
        m_failure = exchange_failure::not_connected;
    }
}

client_exchange::client_exchange(Poco::Net::StreamSocket const& connection, std::string bytes,
                                 bool expect_body, base::time_point now)
    : m_socket(connection), m_request(std::move(bytes)), m_connected(true), m_reader(expect_body),
      m_started(now), m_last_received(now)
{
    send_pending();
}

int client_exchange::descriptor() const noexcept
{
    return ended() ? -1 : m_socket.impl()->sockfd();
}

short client_exchange::wanted_events() const noexcept
{
    if (!m_connected)
        return POLLOUT;
    return static_cast<short>(m_sent < m_request.size() ? POLLIN | POLLOUT : POLLIN);
}

void client_exchange::advance(short ready)
{
    if (ended() || ready == 0)
        return;
    if (!m_connected)
    {
        int failure = 0;
        socklen_t length = sizeof failure;
        ::getsockopt(m_socket.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &failure, &length);
        if (failure != 0 || (ready & (POLLERR | POLLHUP)) != 0)
        {
            m_failure = exchange_failure::not_connected;
            return;
        }
        m_connected = true;
    }
    if ((ready & POLLOUT) != 0)
        send_pending();
    if ((ready & (POLLIN | POLLHUP | POLLERR)) != 0)
        receive_available();
}

void client_exchange::send_pending()
{
    while (m_sent < m_request.size())
    {
        auto const written = ::send(m_socket.impl()->sockfd(), m_request.data() + m_sent,
                                    m_request.size() - m_sent, MSG_NOSIGNAL);
        if (written > 0)
        {
            m_sent += static_cast<std::size_t>(written);
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            return;
        // The server may have answered before it read everything; what it sent is read first.
        receive_available();
        if (!ended())
            connection_ended(false);
        return;
    }
}

void client_exchange::receive_available()
{
    // One read per wake-up keeps the order of events and bounds the work of one round.
    std::array<char, 16384> bytes;
    auto const received = ::recv(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), 0);
    if (received > 0)
    {
        m_last_received = base::steady_clock_source{}.now();
        m_reader.feed({bytes.data(), static_cast<std::size_t>(received)});
        if (m_reader.current_state() == response_reader::state::malformed)
            m_failure = exchange_failure::malformed;
        return;
    }
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return;
    connection_ended(received == 0);
}

void client_exchange::connection_ended(bool in_order)
{
    if (in_order)
        m_reader.feed_eof();
    if (!complete())
        m_failure = exchange_failure::connection_lost;
}

std::optional<Poco::Net::StreamSocket> client_exchange::take_connection()
{
    if (m_taken || !m_reader.connection_reusable() || m_sent < m_request.size())
        return std::nullopt;
    m_taken = true;
    return m_socket;
}

} // namespace jasminepier::http
