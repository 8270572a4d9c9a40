/// Blocking HTTP/1.1 over TCP for the stand-ins of the review cases.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

struct message
{
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string const& name) const
    {
        for (auto const& [field, value] : headers)
            if (::strcasecmp(field.c_str(), name.c_str()) == 0)
                return value;
        return {};
    }
    /// The second word of the start line: a request's target, or a response's status.
    std::string second_word() const
    {
        auto const begin = start_line.find(' ');
        if (begin == std::string::npos)
            return {};
        return start_line.substr(begin + 1, start_line.find(' ', begin + 1) - begin - 1);
    }
};

/// A connected socket with a receive buffer. Owned by one thread; `shut_down` may be called by
/// another one.
class connection
{
public:
    explicit connection(int descriptor) : m_descriptor(descriptor)
    {
        int const enabled = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }
    ~connection() { ::close(m_descriptor); }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    int descriptor() const noexcept { return m_descriptor; }
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
    void shut_down() const { ::shutdown(m_descriptor, SHUT_RDWR); }
    /// Returns true if the peer has closed or reset the connection.
    bool is_closed_by_peer() const
    {
        pollfd entry{m_descriptor, POLLRDHUP, 0};
        return ::poll(&entry, 1, 0) > 0;
    }

    /// Reads a head and a body with a length or in chunks, or, with `until_close`, up to the end of
    /// the connection. Returns false if the message is not complete; `result` then holds its part.
    bool read_message(message& result, int timeout_ms, bool until_close = false)
    {
        result = {};
        auto const head_end = find(0, "\r\n\r\n", timeout_ms);
        if (!head_end)
            return false;
        parse_head(std::string_view(m_buffer).substr(0, *head_end), result);
        m_buffer.erase(0, *head_end + 4);
        if (result.header("Transfer-Encoding") == "chunked")
            return read_chunks(result, timeout_ms);
        auto const length_text = result.header("Content-Length");
        auto const length = std::strtoull(length_text.c_str(), nullptr, 10);
        bool const has_length = !length_text.empty();
        while (has_length ? m_buffer.size() < length : until_close)
            if (!receive(timeout_ms))
            {
                result.body = m_buffer;
                return !has_length && m_closed_in_order;
            }
        if (has_length)
        {
            result.body = m_buffer.substr(0, length);
            m_buffer.erase(0, length);
        }
        return true;
    }

private:
    static void parse_head(std::string_view head, message& result)
    {
        bool is_first = true;
        while (!head.empty())
        {
            auto const end = head.find("\r\n");
            auto const line = head.substr(0, end);
            head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
            auto const colon = line.find(':');
            if (std::exchange(is_first, false))
                result.start_line = std::string(line);
            else if (colon != std::string_view::npos)
            {
                auto value = line.substr(colon + 1);
                while (!value.empty() && value.front() == ' ')
                    value.remove_prefix(1);
                result.headers.emplace_back(line.substr(0, colon), value);
            }
        }
    }
    bool read_chunks(message& result, int timeout_ms)
    {
        while (true)
        {
            auto const line_end = find(0, "\r\n", timeout_ms);
            if (!line_end)
                return false;
            auto const size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < *line_end + 2 + size + 2)
                if (!receive(timeout_ms))
                    return false;
            result.body += m_buffer.substr(*line_end + 2, size);
            m_buffer.erase(0, *line_end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    std::optional<std::size_t> find(std::size_t begin, char const* text, int timeout_ms)
    {
        while (true)
        {
            if (auto const found = m_buffer.find(text, begin); found != std::string::npos)
                return found;
            if (!receive(timeout_ms))
                return std::nullopt;
        }
    }
    bool receive(int timeout_ms)
    {
        pollfd entry{m_descriptor, POLLIN, 0};
        if (::poll(&entry, 1, timeout_ms) <= 0)
            return false;
        char bytes[16384];
        auto const count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            m_closed_in_order = count == 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_buffer;
    bool m_closed_in_order = false;
};

inline sockaddr_in make_address(std::string const& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/// Returns a connected socket, or -1.
inline int connect_to(std::string const& host, std::uint16_t port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = make_address(host, port);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

/// Serves each connection on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(std::string const& host, std::uint16_t port, handler serve)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_serve(std::move(serve))
    {
        int const enabled = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        auto address = make_address(host, port);
        socklen_t size = sizeof address;
        m_listening =
            ::bind(m_descriptor, reinterpret_cast<sockaddr const*>(&address), size) == 0 &&
            ::listen(m_descriptor, 512) == 0;
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept_loop(); }).detach();
    }
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    bool is_listening() const noexcept { return m_listening; }
    std::uint16_t port() const noexcept { return m_port; }
    /// Refuses new connections from now on.
    void stop()
    {
        ::shutdown(m_descriptor, SHUT_RDWR);
        ::close(m_descriptor);
    }

private:
    void accept_loop()
    {
        while (true)
        {
            int const accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0 && (errno == EINTR || errno == ECONNABORTED))
                continue;
            if (accepted < 0)
                return;
            std::thread(
                [this, accepted]
                {
                    connection served(accepted);
                    m_serve(served);
                })
                .detach();
        }
    }

    int m_descriptor;
    handler m_serve;
    bool m_listening = false;
    std::uint16_t m_port = 0;
};

} // namespace review
