#include "http/caller_connection.hpp"

#include "http/client_exchange.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace jasminepier::http
{
namespace
{

// A body may take as long as four headers; the pages give no limit of its own.
constexpr int body_time_factor = 4;
// Time for a caller to read the answer before the connection is closed for good.
constexpr std::chrono::milliseconds closing_wait{200};
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

caller_connection::caller_connection(Poco::Net::StreamSocket const& socket,
                                     request_size_limits limits)
    : m_socket(socket), m_reader(limits), m_peer(m_socket.peerAddress().toString())
{
    m_socket.setBlocking(false);
    set_connection_options(m_socket);
}

int caller_connection::descriptor() const noexcept
{
    return m_socket.impl()->sockfd();
}

read_outcome caller_connection::read_request(request& received, read_time_limits limits,
                                             wakeup& interruption)
{
    base::steady_clock_source const clock;
    auto until = clock.now() + limits.idle;
    bool head_started = false;
    bool body_started = false;
    wait_set waiting;
    std::array<char, 16384> bytes;
    while (true)
    {
        auto const state = m_reader.current_state();
        if (state == request_reader::state::complete)
        {
            received = m_reader.take_request();
            return read_outcome::request;
        }
        if (state == request_reader::state::malformed)
            return read_outcome::malformed;
        if (state == request_reader::state::head_too_large)
            return read_outcome::head_too_large;
        if (state == request_reader::state::body_too_large)
            return read_outcome::body_too_large;
        if (state != request_reader::state::idle && !head_started)
        {
            head_started = true;
            until = clock.now() + limits.header;
        }
        if (state == request_reader::state::reading_body && !body_started)
        {
            body_started = true;
            until = clock.now() + limits.header * body_time_factor;
            if (m_reader.take_expect_continue() && !send(continue_line, until))
                return read_outcome::closed;
        }
        waiting.clear();
        waiting.add(descriptor(), POLLIN);
        waiting.add(interruption.descriptor(), head_started ? 0 : POLLIN);
        waiting.wait(until);
        if (waiting.ready(0) != 0)
        {
            auto const count = ::recv(descriptor(), bytes.data(), bytes.size(), 0);
            if (count > 0)
                m_reader.feed({bytes.data(), static_cast<std::size_t>(count)});
            else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
                return read_outcome::closed;
            continue;
        }
        if (!head_started && waiting.ready(1) != 0)
            return read_outcome::interrupted;
        if (clock.now() >= until)
            return head_started ? read_outcome::read_timeout : read_outcome::idle_timeout;
    }
}

bool caller_connection::send(std::string_view bytes, base::time_point until)
{
    base::steady_clock_source const clock;
    wait_set waiting;
    while (!bytes.empty())
    {
        auto const written = ::send(descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(written));
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK)
            return false;
        if (clock.now() >= until)
            return false;
        waiting.clear();
        waiting.add(descriptor(), POLLOUT);
        waiting.wait(until);
    }
    return true;
}

bool caller_connection::departed() const
{
    pollfd entry{descriptor(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

void caller_connection::close_gracefully()
{
    ::shutdown(descriptor(), SHUT_WR);
    base::steady_clock_source const clock;
    auto const until = clock.now() + closing_wait;
    wait_set waiting;
    std::array<char, 16384> bytes;
    while (clock.now() < until)
    {
        waiting.clear();
        waiting.add(descriptor(), POLLIN);
        waiting.wait(until);
        if (::recv(descriptor(), bytes.data(), bytes.size(), 0) == 0 ||
            (waiting.ready(0) & (POLLERR | POLLHUP)) != 0)
            break;
    }
    m_socket.close();
}

} // namespace jasminepier::http
