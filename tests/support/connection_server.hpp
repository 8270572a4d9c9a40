/// Serves connections on loopback for the stand-ins of a test.
#pragma once

#include "http/message.hpp"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace jasminepier::tests
{

/// The address that all stand-ins listen on.
constexpr char const* loopback_host = "127.0.0.1";

/// Serves each connection of a port by a function.
class connection_server
{
public:
    using handler = std::function<void(Poco::Net::StreamSocket&)>;

    connection_server(std::uint16_t port, handler serve);
    ~connection_server();
    std::uint16_t port() const noexcept { return m_port; }

private:
    void serve(Poco::Net::StreamSocket& socket);

    std::uint16_t m_port;
    handler m_serve;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    /// Descriptors of open connections, so that the end of the server ends them.
    std::set<int> m_open;
    bool m_stopping = false;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

/// Reads one request; returns nothing when the peer has closed the connection.
std::optional<http::request> read_request(Poco::Net::StreamSocket& socket);

/// Sends all of `text`; throws when the connection has ended.
void send_all(Poco::Net::StreamSocket& socket, std::string const& text);

/// True when the peer closed its side.
bool peer_left(Poco::Net::StreamSocket& socket);

} // namespace jasminepier::tests
