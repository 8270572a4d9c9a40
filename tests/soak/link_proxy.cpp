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

// How soon held data moves on after its link is clear again.
constexpr std::chrono::milliseconds held_check{10};

} // namespace

/// One connection with a socket on each side. Runs on the thread of the context only.
class proxied_connection : public std::enable_shared_from_this<proxied_connection>
{
public:
    proxied_connection(link_proxy& owner, tcp::socket near)
        : m_owner(owner), m_near(std::move(near)), m_far(owner.m_context),
          m_near_timer(owner.m_context), m_far_timer(owner.m_context)
    {
    }

    void start()
    {
        m_far.async_connect(m_owner.m_target,
                            [self = shared_from_this()](boost::system::error_code const& failure)
                            {
                                if (failure)
                                    return self->reset();
                                self->read(self->m_near, self->m_far, self->m_near_timer,
                                           self->m_from_near, link_state::deaf);
                                self->read(self->m_far, self->m_near, self->m_far_timer,
                                           self->m_from_far, link_state::mute);
                            });
    }

    /// Ends both sides with a reset.
    void reset()
    {
        if (!m_open)
            return;
        m_open = false;
        boost::system::error_code ignored;
        for (auto* const side : {&m_near, &m_far})
        {
            side->set_option(asio::socket_base::linger(true, 0), ignored);
            side->close(ignored);
        }
        m_near_timer.cancel();
        m_far_timer.cancel();
        m_owner.m_connections.erase(shared_from_this());
    }

private:
    using buffer = std::array<char, 16384>;

    void read(tcp::socket& from, tcp::socket& to, asio::steady_timer& timer, buffer& data,
              link_state holds)
    {
        from.async_read_some(
            asio::buffer(data),
            [&, self = shared_from_this(), holds](boost::system::error_code const& failure,
                                                  std::size_t count)
            {
                if (!m_open)
                    return;
                if (failure && failure != asio::error::eof)
                    return reset();
                bool const late = m_owner.m_state == link_state::delayed;
                wait(timer, late ? link_proxy::delay : std::chrono::milliseconds(0), holds,
                     [&, holds, count] { forward(from, to, timer, data, holds, count); });
            });
    }

    /// Calls `proceed` after the delay and once the direction is no longer held.
    template <class Proceed>
    void wait(asio::steady_timer& timer, std::chrono::milliseconds time, link_state holds,
              Proceed proceed)
    {
        timer.expires_after(time);
        timer.async_wait(
            [&, self = shared_from_this(), holds, proceed](boost::system::error_code const&)
            {
                if (!m_open)
                    return;
                auto const state = m_owner.m_state.load();
                if (state == holds || state == link_state::silent)
                    return wait(timer, held_check, holds, proceed);
                proceed();
            });
    }

    void forward(tcp::socket& from, tcp::socket& to, asio::steady_timer& timer, buffer& data,
                 link_state holds, std::size_t count)
    {
        if (count == 0)
        {
            boost::system::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            if (++m_ended_sides == 2)
                reset();
            return;
        }
        asio::async_write(to, asio::buffer(data, count),
                          [&, self = shared_from_this(),
                           holds](boost::system::error_code const& failure, std::size_t)
                          {
                              if (!m_open)
                                  return;
                              if (failure)
                                  return reset();
                              read(from, to, timer, data, holds);
                          });
    }

    link_proxy& m_owner;
    tcp::socket m_near;
    tcp::socket m_far;
    asio::steady_timer m_near_timer;
    asio::steady_timer m_far_timer;
    buffer m_from_near{};
    buffer m_from_far{};
    int m_ended_sides = 0;
    bool m_open = true;
};

link_proxy::link_proxy(asio::io_context& context, endpoint const& listen, endpoint target,
                       bool with_datagrams)
    : m_context(context), m_target(std::move(target)), m_acceptor(context, listen),
      m_datagrams(context)
{
    accept_next();
    if (!with_datagrams)
        return;
    m_datagrams = udp::socket(context, udp::endpoint(listen.address(), listen.port()));
    receive_next();
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
                   // Handlers that were cancelled run before this one.
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
        [this](boost::system::error_code const& failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
                return;
            if (!failure)
            {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                auto const added = std::make_shared<proxied_connection>(*this, std::move(socket));
                m_connections.insert(added);
                if (m_state == link_state::refusing)
                    added->reset();
                else
                    added->start();
            }
            accept_next();
        });
}

void link_proxy::receive_next()
{
    m_datagrams.async_receive_from(
        asio::buffer(m_datagram), m_datagram_source,
        [this](boost::system::error_code const& failure, std::size_t count)
        {
            if (failure == asio::error::operation_aborted)
                return;
            boost::system::error_code ignored;
            auto const state = m_state.load();
            if (!failure && (state == link_state::clear || state == link_state::mute))
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
