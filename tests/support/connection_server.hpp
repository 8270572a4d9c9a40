/// TCP server on loopback for the fakes that run in a test's process.
#pragma once

#include "http/message.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace jasminepier::tests
{

/// The address that all fakes listen on.
constexpr char const* loopback_host = "127.0.0.1";

/// Calls the handler for each connection, on a thread of its own. The destructor shuts open
/// connections down and waits for their handlers.
class connection_server
{
public:
    using handler = std::function<void(Poco::Net::StreamSocket&)>;

    connection_server(std::uint16_t port, handler handle_connection);
    ~connection_server();
    std::uint16_t port() const noexcept { return m_port; }
    /// Refuses new connections for `duration`, like a host whose process has crashed. Open
    /// connections stay; handlers may call this for their own.
    void refuse_connections(std::chrono::milliseconds duration);

private:
    void start();
    void serve(Poco::Net::StreamSocket& socket);

    std::uint16_t m_port;
    handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_connection_closed;
    /// Descriptors of the open connections, which the destructor shuts down.
    std::set<int> m_open_sockets;
    bool m_shutting_down = false;
    bool m_refuses_connections = false;
    Poco::Net::ServerSocket m_listener;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
    /// Listens again after `refuse_connections`.
    std::thread m_restart;
};

/// Starts threads for connections ahead. On a loaded host, a new thread may start over a second
/// late, while threads that wait wake up in time.
void start_connection_threads(int count);

/// Reads one request. Returns nothing if the peer closes the connection.
std::optional<http::request> read_request(Poco::Net::StreamSocket& socket);

/// Returns how long the last received bytes have waited on this host to be read, or 0 below 20 ms.
std::chrono::milliseconds time_since_last_data(Poco::Net::StreamSocket& socket);

/// Sends all of `text`. Throws if the connection is lost.
void send_all(Poco::Net::StreamSocket& socket, std::string const& text);

/// Returns true if the peer has closed its side of the connection.
bool peer_has_closed(Poco::Net::StreamSocket& socket);

} // namespace jasminepier::tests
