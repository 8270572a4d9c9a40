/// Blocking HTTP/1.1 over loopback, as far as the cases need it.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace jasminepier::review
{

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(endpoint const& where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    ::inet_pton(AF_INET, where.host.c_str(), &address.sin_addr);
    return address;
}

/// A request or a response.
struct message
{
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string find(std::string_view name) const
    {
        for (auto const& [key, value] : fields)
            if (key.size() == name.size() &&
                ::strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        return {};
    }
    /// Returns the word of the start line at `position`.
    std::string word(int position) const
    {
        std::string_view rest = start_line;
        for (; position > 0; --position)
        {
            auto const space = rest.find(' ');
            if (space == std::string_view::npos)
                return {};
            rest.remove_prefix(space + 1);
        }
        return std::string(rest.substr(0, rest.find(' ')));
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// Owns a connected socket.
class connection
{
public:
    explicit connection(int descriptor) : m_descriptor(descriptor)
    {
        int const on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection() { close(); }

    int descriptor() const noexcept { return m_descriptor; }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }
    /// Returns false if the peer does not take the bytes.
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty())
        {
            auto const sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// Receives more bytes. Returns false at the end of the connection or after `limit`.
    bool receive(steady::time_point limit)
    {
        auto const left = std::chrono::duration_cast<milliseconds>(limit - steady::now()).count();
        pollfd entry{m_descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        auto const received = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (received <= 0)
        {
            m_ended = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(received));
        return true;
    }
    /// Returns the received bytes that nothing has taken yet.
    std::string& buffer() noexcept { return m_buffer; }
    /// True if the peer has closed or reset the connection.
    bool ended() const noexcept { return m_ended; }

    bool read_head(message& result, steady::time_point limit)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
            if (!receive(limit))
                return false;
        std::string_view head(m_buffer.data(), end + 2);
        result = {};
        for (bool first = true; !head.empty(); first = false)
        {
            auto const line_end = head.find("\r\n");
            auto const line = head.substr(0, line_end);
            head.remove_prefix(line_end + 2);
            auto const colon = line.find(':');
            if (first)
                result.start_line = std::string(line);
            else if (colon != std::string_view::npos)
            {
                auto value = line.substr(colon + 1);
                while (value.starts_with(' '))
                    value.remove_prefix(1);
                result.fields.emplace_back(line.substr(0, colon), value);
            }
        }
        m_buffer.erase(0, end + 4);
        return true;
    }
    bool read_body(message& result, steady::time_point limit)
    {
        auto const length = static_cast<std::size_t>(
            std::strtoull(result.find("Content-Length").c_str(), nullptr, 10));
        while (m_buffer.size() < length)
            if (!receive(limit))
                return false;
        result.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

private:
    int m_descriptor;
    std::string m_buffer;
    bool m_ended = false;
};

/// Returns null if nobody accepts the connection in time.
inline std::unique_ptr<connection> connect_to(endpoint const& where, milliseconds timeout)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return nullptr;
    auto result = std::make_unique<connection>(descriptor);
    auto const address = socket_address(where);
    auto const* const generic = reinterpret_cast<sockaddr const*>(&address);
    if (::connect(descriptor, generic, sizeof address) != 0)
    {
        pollfd entry{descriptor, POLLOUT, 0};
        int failure = 0;
        socklen_t size = sizeof failure;
        if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0 ||
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0)
            return nullptr;
    }
    int const blocking = 0;
    ::ioctl(descriptor, FIONBIO, &blocking);
    return result;
}

/// Serves each connection on a thread of its own. Can be stopped and started again, as a process
/// that ends.
class http_server
{
public:
    /// Returns false to close the connection.
    using handler = std::function<bool(connection&, message&)>;

    http_server(endpoint where, handler serve)
        : m_where(std::move(where)), m_serve(std::move(serve))
    {
    }
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    ~http_server() { crash(); }

    endpoint const& where() const noexcept { return m_where; }
    bool running() const noexcept { return m_running; }

    bool start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const address = socket_address(m_where);
        auto const* const generic = reinterpret_cast<sockaddr const*>(&address);
        if (::bind(m_listener, generic, sizeof address) != 0 || ::listen(m_listener, 1024) != 0)
            return false;
        m_running = true;
        m_acceptor = std::thread([this] { accept_connections(); });
        return true;
    }
    /// Ends all connections with a reset and closes the port.
    void crash()
    {
        if (!m_running.exchange(false))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        std::unique_lock lock(m_mutex);
        for (int const descriptor : m_open)
        {
            linger const reset{1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(descriptor, SHUT_RDWR);
        }
        // The threads close their connections.
        while (!m_open.empty())
        {
            lock.unlock();
            std::this_thread::sleep_for(milliseconds(5));
            lock.lock();
        }
    }

private:
    void accept_connections()
    {
        while (m_running)
        {
            int const descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            {
                std::lock_guard const lock(m_mutex);
                m_open.insert(descriptor);
            }
            std::thread([this, descriptor] { serve_connection(descriptor); }).detach();
        }
    }
    void serve_connection(int descriptor)
    {
        auto caller = std::make_unique<connection>(descriptor);
        message request;
        auto const limit = steady::now() + std::chrono::minutes(5);
        while (m_running && caller->read_head(request, limit) &&
               caller->read_body(request, limit) && m_serve(*caller, request))
            continue;
        std::lock_guard const lock(m_mutex);
        m_open.erase(descriptor);
        caller.reset();
    }

    endpoint m_where;
    handler m_serve;
    std::atomic<bool> m_running{false};
    int m_listener = -1;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
};

inline bool send_response(connection const& caller, int status, std::string const& fields,
                          std::string_view body)
{
    return caller.send("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
                       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       std::string(body));
}

} // namespace jasminepier::review
