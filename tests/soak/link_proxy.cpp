#include "tests/soak/link_proxy.hpp"

#include <array>
#include <future>

namespace jasminepier::tests::soak
{
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace
{

// How often a connection with blocked data checks the state of its link.
constexpr std::chrono::milliseconds blocked_poll_interval{10};

} // namespace

/// A client's connection and the connection to the target. Runs only on the context's thread.
class proxied_connection : public std::enable_shared_from_this<proxied_connection>
{
public:
    proxied_connection(link_proxy& proxy, tcp::socket client_socket)
        : m_proxy(proxy), m_client_socket(std::move(client_socket)),
          m_server_socket(proxy.m_context), m_client_timer(proxy.m_context),
          m_server_timer(proxy.m_context)
    {
    }

    void start()
    {
        m_server_socket.async_connect(
            m_proxy.m_target,
            [self = shared_from_this()](boost::system::error_code const& error)
            {
                if (error)
                    return self->reset();
                self->read(self->m_client_socket, self->m_server_socket, self->m_client_timer,
                           self->m_client_data, link_state::deaf);
                self->read(self->m_server_socket, self->m_client_socket, self->m_server_timer,
                           self->m_server_data, link_state::mute);
            });
    }

    /// Resets both connections.
    void reset()
    {
        if (!m_open)
            return;
        m_open = false;
        boost::system::error_code ignored;
        for (auto* const socket : {&m_client_socket, &m_server_socket})
        {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        m_client_timer.cancel();
        m_server_timer.cancel();
        m_proxy.m_connections.erase(shared_from_this());
    }

private:
    using data_buffer = std::array<char, 16384>;

    void read(tcp::socket& from, tcp::socket& to, asio::steady_timer& timer, data_buffer& data,
              link_state blocking_state)
    {
        from.async_read_some(
            asio::buffer(data),
            [&, self = shared_from_this(), blocking_state](boost::system::error_code const& error,
                                                           std::size_t count)
            {
                if (!m_open)
                    return;
                if (error && error != asio::error::eof)
                    return reset();
                bool const is_delayed = m_proxy.m_state == link_state::delayed;
                wait_until_unblocked(timer,
                                     is_delayed ? link_proxy::delay : std::chrono::milliseconds(0),
                                     blocking_state,
                                     [&, blocking_state, count]
                                     { forward(from, to, timer, data, blocking_state, count); });
            });
    }

    /// Calls `on_unblocked` once `delay` has passed and the direction is not blocked.
    template <class Handler>
    void wait_until_unblocked(asio::steady_timer& timer, std::chrono::milliseconds delay,
                              link_state blocking_state, Handler on_unblocked)
    {
        timer.expires_after(delay);
        timer.async_wait(
            [&, self = shared_from_this(), blocking_state,
             on_unblocked](boost::system::error_code const&)
            {
                if (!m_open)
                    return;
                auto const state = m_proxy.m_state.load();
                if (state == blocking_state || state == link_state::silent)
                    return wait_until_unblocked(timer, blocked_poll_interval, blocking_state,
                                                on_unblocked);
                on_unblocked();
            });
    }

    void forward(tcp::socket& from, tcp::socket& to, asio::steady_timer& timer, data_buffer& data,
                 link_state blocking_state, std::size_t count)
    {
        if (count == 0)
        {
            boost::system::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            if (++m_closed_directions == 2)
                reset();
            return;
        }
        asio::async_write(to, asio::buffer(data, count),
                          [&, self = shared_from_this(),
                           blocking_state](boost::system::error_code const& error, std::size_t)
                          {
                              if (!m_open)
                                  return;
                              if (error)
                                  return reset();
                              read(from, to, timer, data, blocking_state);
                          });
    }

    link_proxy& m_proxy;
    tcp::socket m_client_socket;
    tcp::socket m_server_socket;
    asio::steady_timer m_client_timer;
    asio::steady_timer m_server_timer;
    data_buffer m_client_data{};
    data_buffer m_server_data{};
    int m_closed_directions = 0;
    bool m_open = true;
};

link_proxy::link_proxy(asio::io_context& context, endpoint const& listen, endpoint target,
                       bool forward_datagrams)
    : m_context(context), m_target(std::move(target)), m_acceptor(context, listen),
      m_datagrams(context)
{
    if (forward_datagrams)
    {
        m_datagrams = udp::socket(context, udp::endpoint(listen.address(), listen.port()));
        receive_next();
    }
    accept_next();
}

link_proxy::~link_proxy()
{
    std::promise<void> done;
    asio::post(m_context,
               [&]
               {
                   boost::system::error_code ignored;
                   m_acceptor.close(ignored);
                   m_datagrams.close(ignored);
                   while (!m_connections.empty())
                       (*m_connections.begin())->reset();
                   // Cancelled handlers run before this handler.
                   asio::post(m_context, [&] { done.set_value(); });
               });
    done.get_future().wait();
}

void link_proxy::reset_connections()
{
    asio::post(m_context,
               [this]
               {
                   while (!m_connections.empty())
                       (*m_connections.begin())->reset();
               });
}

void link_proxy::accept_next()
{
    m_acceptor.async_accept(
        [this](boost::system::error_code const& error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
            {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                auto const connection =
                    std::make_shared<proxied_connection>(*this, std::move(socket));
                m_connections.insert(connection);
                if (m_state == link_state::refusing)
                    connection->reset();
                else
                    connection->start();
            }
            accept_next();
        });
}

void link_proxy::receive_next()
{
    m_datagrams.async_receive_from(
        asio::buffer(m_datagram), m_datagram_source,
        [this](boost::system::error_code const& error, std::size_t count)
        {
            if (error == asio::error::operation_aborted)
                return;
            boost::system::error_code ignored;
            auto const state = m_state.load();
            if (!error && (state == link_state::clear || state == link_state::mute))
                m_datagrams.send_to(asio::buffer(m_datagram, count),
                                    udp::endpoint(m_target.address(), m_target.port()), 0, ignored);
            receive_next();
        });
}

link_proxy::endpoint endpoint_at(std::string const& host, std::uint16_t port)
{
    return {asio::ip::make_address(host), port};
}

} // namespace jasminepier::tests::soak
