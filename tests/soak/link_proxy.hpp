/// Proxies that inject network faults into the links of the soak.
#pragma once

#include <boost/asio.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace jasminepier::tests::soak
{

enum class link_state
{
    /// Data is forwarded unchanged.
    clear,
    /// Data is forwarded after `link_proxy::delay`.
    delayed,
    /// New connections are reset.
    refusing,
    /// Data from the client is held back.
    deaf,
    /// Data to the client is held back.
    mute,
    /// Data is held back in both directions.
    silent,
};

class proxied_connection;

/// Forwards TCP connections, and optionally datagrams, from one address to another.
class link_proxy
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;
    static constexpr std::chrono::milliseconds delay{150};

    link_proxy(boost::asio::io_context& context, endpoint const& listen, endpoint target,
               bool forward_datagrams = false);
    ~link_proxy();
    link_proxy(link_proxy const&) = delete;
    link_proxy& operator=(link_proxy const&) = delete;

    void set_state(link_state state) noexcept { m_state = state; }
    link_state state() const noexcept { return m_state; }
    /// Resets all open connections.
    void reset_connections();

private:
    friend class proxied_connection;
    void accept_next();
    void receive_next();

    boost::asio::io_context& m_context;
    endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::socket m_datagrams;
    boost::asio::ip::udp::endpoint m_datagram_source;
    std::array<char, 65536> m_datagram{};
    std::atomic<link_state> m_state{link_state::clear};
    std::set<std::shared_ptr<proxied_connection>> m_connections;
};

link_proxy::endpoint endpoint_at(std::string const& host, std::uint16_t port);

} // namespace jasminepier::tests::soak
