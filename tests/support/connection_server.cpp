#include "tests/support/connection_server.hpp"

#include "http/request_reader.hpp"

#include <Poco/Event.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jasminepier::tests
{
namespace
{

constexpr int maximum_threads = 4096;

class handler_connection : public Poco::Net::TCPServerConnection
{
public:
    handler_connection(Poco::Net::StreamSocket const& socket,
                       connection_server::handler const& handle_connection)
        : TCPServerConnection(socket), m_handler(handle_connection)
    {
    }
    void run() override { m_handler(socket()); }

private:
    connection_server::handler const& m_handler;
};

class handler_connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit handler_connection_factory(connection_server::handler handle_connection)
        : m_handler(std::move(handle_connection))
    {
    }
    Poco::Net::TCPServerConnection* createConnection(Poco::Net::StreamSocket const& socket) override
    {
        return new handler_connection(socket, m_handler);
    }

private:
    connection_server::handler m_handler;
};

Poco::Net::ServerSocket listen_on(std::uint16_t port)
{
    Poco::Net::ServerSocket socket;
    // By default, POCO shares the port with other programs that listen on it.
    socket.bind(Poco::Net::SocketAddress(loopback_host, port), true, false);
    socket.listen(128);
    return socket;
}

Poco::ThreadPool& thread_pool()
{
    static Poco::ThreadPool pool(16, maximum_threads);
    return pool;
}

} // namespace

void start_connection_threads(int count)
{
    struct waiting_task : Poco::Runnable
    {
        void run() override { m_end.wait(); }
        Poco::Event m_end{Poco::Event::EVENT_MANUALRESET};
    } task;
    auto& pool = thread_pool();
    for (int i = 0; i < std::min(count, maximum_threads / 2); ++i)
        pool.start(task);
    task.m_end.set();
    pool.joinAll();
}

void send_all(Poco::Net::StreamSocket& socket, std::string const& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
        sent += static_cast<std::size_t>(
            socket.sendBytes(text.data() + sent, static_cast<int>(text.size() - sent)));
}

bool peer_has_closed(Poco::Net::StreamSocket& socket)
{
    char byte = 0;
    return ::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::chrono::milliseconds time_since_last_data(Poco::Net::StreamSocket& socket)
{
    // The kernel counts in ticks of several milliseconds.
    constexpr std::chrono::milliseconds minimum{20};
    tcp_info information{};
    socklen_t size = sizeof information;
    if (::getsockopt(socket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &information, &size) != 0)
        return {};
    std::chrono::milliseconds const elapsed(information.tcpi_last_data_recv);
    return elapsed < minimum ? std::chrono::milliseconds(0) : elapsed;
}

connection_server::connection_server(std::uint16_t port, handler handle_connection)
    : m_port(port), m_handler(std::move(handle_connection))
{
    start();
}

void connection_server::start()
{
    m_listener = listen_on(m_port);
    auto* const parameters = new Poco::Net::TCPServerParams;
    parameters->setMaxThreads(512);
    parameters->setThreadIdleTime(Poco::Timespan(1, 0));
    m_server = std::make_unique<Poco::Net::TCPServer>(
        new handler_connection_factory([this](Poco::Net::StreamSocket& socket)
                                       { this->serve(socket); }),
        thread_pool(), m_listener, parameters);
    m_server->start();
}

void connection_server::refuse_connections(std::chrono::milliseconds duration)
{
    std::lock_guard lock(m_mutex);
    if (m_shutting_down || m_refuses_connections)
        return;
    m_refuses_connections = true;
    // Takes effect at once, while closing the socket has to wait for the thread that accepts.
    ::shutdown(m_listener.impl()->sockfd(), SHUT_RDWR);
    if (m_restart.joinable())
        m_restart.join();
    m_restart = std::thread(
        [this, duration]
        {
            m_server->stop();
            m_server.reset();
            m_listener.close();
            std::this_thread::sleep_for(duration);
            start();
            std::lock_guard restart_lock(m_mutex);
            m_refuses_connections = false;
        });
}

connection_server::~connection_server()
{
    if (m_restart.joinable())
        m_restart.join();
    m_server->stop();
    std::unique_lock lock(m_mutex);
    m_shutting_down = true;
    for (int const descriptor : m_open_sockets)
        ::shutdown(descriptor, SHUT_RDWR);
    m_connection_closed.wait(lock, [&] { return m_open_sockets.empty(); });
}

void connection_server::serve(Poco::Net::StreamSocket& socket)
{
    auto const descriptor = socket.impl()->sockfd();
    {
        std::lock_guard lock(m_mutex);
        if (m_shutting_down)
            return;
        m_open_sockets.insert(descriptor);
    }
    try
    {
        m_handler(socket);
    }
    catch (std::exception const&)
    {
        // The peer closed the connection. Tests check what the peer received.
    }
    std::lock_guard lock(m_mutex);
    m_open_sockets.erase(descriptor);
    m_connection_closed.notify_all();
}

std::optional<http::request> read_request(Poco::Net::StreamSocket& socket)
{
    http::request_reader reader({});
    std::array<char, 8192> bytes{};
    while (reader.current_state() != http::request_reader::state::complete)
    {
        auto const count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (count <= 0)
            return std::nullopt;
        reader.feed({bytes.data(), static_cast<std::size_t>(count)});
    }
    return reader.take_request();
}

} // namespace jasminepier::tests
