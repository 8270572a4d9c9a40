#include "http/caller_connection.hpp"

#include "http/client_exchange.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace jasminepier::http
{
namespace
{

// The platform states no timeout for bodies, so a body gets four times the header timeout.
constexpr int body_timeout_factor = 4;
// The kernel counts the time since the last data in ticks of several milliseconds.
constexpr base::milliseconds minimum_read_delay{20};
// Interval at which the bytes are counted that the caller has not taken yet.
constexpr std::chrono::milliseconds acknowledgement_poll_interval{20};
// A request that holds charged memory must go on with this many bytes in each span of two header
// timeouts. Smaller ones only have to end in four.
constexpr int progress_span_factor = 2;
constexpr std::size_t minimum_progress_bytes = 1024;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

/// Watches a caller take the bytes of a response. The socket can stay unwritable for a long time
/// although the caller reads, so acknowledged bytes count as progress.
class stall_detector
{
public:
    stall_detector(send_limits const& limits, std::size_t unacknowledged_bytes)
        : m_limits(limits), m_unacknowledged_bytes(unacknowledged_bytes)
    {
    }
    /// Returns true if the caller has taken nothing for too long, or the response took too long.
    bool exceeds_limits(std::size_t unacknowledged_bytes)
    {
        auto const now = base::steady_clock_source{}.now();
        if (unacknowledged_bytes < m_unacknowledged_bytes)
        {
            m_unacknowledged_bytes = unacknowledged_bytes;
            m_last_progress = now;
        }
        return now >= deadline();
    }
    base::time_point deadline() const
    {
        return std::min<base::time_point>(m_last_progress + m_limits.stall, m_limits.end);
    }

private:
    send_limits m_limits;
    std::size_t m_unacknowledged_bytes;
    base::time_point m_last_progress = base::steady_clock_source{}.now();
};

} // namespace

caller_connection::caller_connection(Poco::Net::StreamSocket const& socket,
                                     request_size_limits limits, memory_account& account,
                                     wakeup& wake)
    : m_socket(socket), m_reader(limits), m_wake(wake),
      m_memory(
          account, [&wake] { wake.signal(); }, base::steady_clock_source{}.now()),
      m_peer_address(m_socket.peerAddress().toString())
{
    m_socket.setBlocking(false);
    set_connection_options(m_socket);
}

int caller_connection::descriptor() const noexcept
{
    return m_socket.impl()->sockfd();
}

bool caller_connection::try_hold(std::size_t bytes)
{
    return (bytes <= memory_holder::uncharged_bytes && m_memory.held_bytes() == 0) ||
           m_memory.try_hold_or_evict(bytes, base::steady_clock_source{}.now());
}

bool caller_connection::try_make_room(std::size_t count)
{
    return try_hold(m_reader.bytes_to_hold(count));
}

bool caller_connection::try_make_room(std::span<char const> received)
{
    auto const fields = m_reader.fields_to_hold(received);
    return fields == 0 || try_hold(m_reader.bytes_to_hold(received.size()) + fields);
}

void caller_connection::take_request(request& result)
{
    result = m_reader.take_request();
    m_request_bytes =
        m_reader.held_bytes() + result.body.capacity() +
        request_reader::field_bytes *
            static_cast<std::size_t>(std::distance(result.headers.begin(), result.headers.end()));
    m_memory.hold(m_request_bytes);
    m_memory.set_stage(holder_stage::serving);
}

void caller_connection::discard_request()
{
    m_reader.discard();
    m_memory.try_hold(0);
}

read_outcome caller_connection::read_request(request& result, read_timeouts timeouts,
                                             wakeup& interruption,
                                             std::function<bool()> const& may_start)
{
    base::steady_clock_source const clock;
    auto const start = clock.now();
    auto deadline = start + timeouts.idle;
    bool head_started = false;
    bool body_started = false;
    bool interrupted = false;
    bool waits_for_room = false;
    // Received bytes for which the reader has had no room yet.
    std::size_t pending = 0;
    std::size_t span_bytes = 0;
    auto span_end = base::time_point::max();
    m_memory.hold(m_reader.held_bytes());
    // A pipelined request may have arrived in part with the last one.
    m_memory.set_stage(m_reader.current_state() == request_reader::state::idle
                           ? holder_stage::idle
                           : holder_stage::receiving);
    m_memory.record_progress(start);
    wait_set poll_set;
    std::array<char, 16384> bytes;
    while (true)
    {
        auto const state = m_reader.current_state();
        if (state != request_reader::state::idle && !head_started)
        {
            head_started = true;
            deadline = clock.now() + timeouts.header;
        }
        if (state == request_reader::state::complete)
        {
            take_request(result);
            return read_outcome::request;
        }
        if (m_memory.evicted())
            return head_started ? read_outcome::no_room : read_outcome::evicted;
        if (state == request_reader::state::malformed)
            return read_outcome::malformed;
        if (state == request_reader::state::head_too_large)
            return read_outcome::head_too_large;
        if (state == request_reader::state::body_too_large)
            return read_outcome::body_too_large;
        if (state == request_reader::state::framing_too_large)
            return read_outcome::framing_too_large;
        if (state == request_reader::state::reading_body && !body_started)
        {
            body_started = true;
            deadline = clock.now() + timeouts.header * body_timeout_factor;
            span_end = clock.now() + timeouts.header * progress_span_factor;
            if (m_reader.consume_expect_continue() &&
                !send(continue_response, {timeouts.header, deadline}))
                return read_outcome::closed;
        }
        auto wait_deadline = std::min<base::time_point>(deadline, span_end);
        base::time_point wait_start;
        if (waits_for_room)
        {
            wait_start = clock.now();
            wait_deadline =
                std::min<base::time_point>(wait_deadline, wait_start + m_memory.poll_interval());
        }
        poll_set.clear();
        // While no bytes are read, only the loss of the connection is of interest.
        poll_set.add(descriptor(), waits_for_room ? short{0} : short{POLLIN});
        poll_set.add(head_started || interrupted ? -1 : interruption.descriptor(), POLLIN);
        poll_set.add(m_wake.descriptor(), POLLIN);
        poll_set.wait(wait_deadline);
        if (poll_set.ready(2) != 0)
            m_wake.clear();
        if (waits_for_room)
        {
            // The caller isn't to blame for this time.
            auto const waited = clock.now() - wait_start;
            if ((poll_set.ready(0) & (POLLERR | POLLHUP)) != 0)
                return read_outcome::closed;
            deadline += waited;
            if (body_started)
                span_end += waited;
            waits_for_room =
                !m_memory.evicted() && !(pending > 0 ? try_make_room({bytes.data(), pending})
                                                     : try_make_room(bytes.size()));
            if (waits_for_room || m_memory.evicted())
                continue;
            m_memory.record_progress(clock.now());
            if (pending > 0)
                m_reader.feed({bytes.data(), std::exchange(pending, 0)});
            continue;
        }
        if (poll_set.ready(1) != 0)
        {
            interrupted = true;
            deadline =
                std::min<base::time_point>(deadline, clock.now() + timeouts.after_interruption);
        }
        if (poll_set.ready(0) != 0)
        {
            if (!head_started && !may_start())
                return read_outcome::interrupted;
            waits_for_room = !try_make_room(bytes.size());
            if (waits_for_room)
                continue;
            auto const byte_count = ::recv(descriptor(), bytes.data(), bytes.size(), 0);
            if (byte_count > 0)
            {
                span_bytes += static_cast<std::size_t>(byte_count);
                waits_for_room =
                    !try_make_room({bytes.data(), static_cast<std::size_t>(byte_count)});
                if (waits_for_room)
                {
                    if (!std::exchange(head_started, true))
                        deadline = clock.now() + timeouts.header;
                    pending = static_cast<std::size_t>(byte_count);
                    m_memory.set_stage(holder_stage::receiving);
                    continue;
                }
                m_reader.feed({bytes.data(), static_cast<std::size_t>(byte_count)});
                if (m_reader.current_state() != request_reader::state::complete)
                {
                    m_memory.set_stage(holder_stage::receiving);
                    m_memory.record_progress(clock.now());
                }
            }
            else if (byte_count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
                return read_outcome::closed;
            continue;
        }
        auto const now = clock.now();
        if (now >= span_end && now < deadline)
        {
            if (span_bytes < minimum_progress_bytes &&
                m_reader.held_bytes() > memory_holder::uncharged_bytes)
                return read_outcome::read_timeout;
            span_bytes = 0;
            span_end = now + timeouts.header * progress_span_factor;
        }
        if (now >= deadline)
            return head_started  ? read_outcome::read_timeout
                   : interrupted ? read_outcome::interrupted
                                 : read_outcome::idle_timeout;
    }
}

bool caller_connection::send(std::string_view bytes, send_limits const& limits)
{
    stall_detector stall(limits, unacknowledged_bytes());
    wait_set poll_set;
    while (!bytes.empty())
    {
        auto const written = ::send(descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(written));
            stall = stall_detector(limits, unacknowledged_bytes());
            continue;
        }
        bool const failed = errno != EAGAIN && errno != EWOULDBLOCK;
        if (failed || stall.exceeds_limits(unacknowledged_bytes()))
        {
            m_send_failed = true;
            return false;
        }
        poll_set.clear();
        poll_set.add(descriptor(), POLLOUT);
        poll_set.wait(stall.deadline());
    }
    return true;
}

base::milliseconds caller_connection::time_since_last_data() const
{
    tcp_info information{};
    socklen_t size = sizeof information;
    if (::getsockopt(descriptor(), IPPROTO_TCP, TCP_INFO, &information, &size) != 0)
        return {};
    base::milliseconds const elapsed(information.tcpi_last_data_recv);
    return elapsed < minimum_read_delay ? base::milliseconds(0) : elapsed;
}

std::size_t caller_connection::unacknowledged_bytes() const
{
    int count = 0;
    return ::ioctl(descriptor(), SIOCOUTQ, &count) == 0 ? static_cast<std::size_t>(count) : 0;
}

bool caller_connection::is_disconnected() const
{
    pollfd entry{descriptor(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

bool caller_connection::has_pipelined_request() const noexcept
{
    if (m_reader.current_state() != request_reader::state::idle)
        return true;
    char byte = 0;
    return ::recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void caller_connection::close_gracefully(send_limits const& limits, base::milliseconds linger)
{
    ::shutdown(descriptor(), SHUT_WR);
    base::steady_clock_source const clock;
    auto const linger_end = clock.now() + linger;
    stall_detector stall(limits, unacknowledged_bytes());
    bool caller_has_closed = false;
    wait_set poll_set;
    std::array<char, 16384> bytes;
    while (true)
    {
        auto const remaining = m_send_failed ? 0 : unacknowledged_bytes();
        if (remaining == 0 && (caller_has_closed || clock.now() >= linger_end))
            break;
        if (remaining > 0 && stall.exceeds_limits(remaining))
            break;
        poll_set.clear();
        // A socket that both sides have shut down is always ready.
        poll_set.add(caller_has_closed ? -1 : descriptor(), POLLIN);
        poll_set.wait(remaining == 0 ? linger_end : clock.now() + acknowledgement_poll_interval);
        if (poll_set.ready(0) == 0 && !caller_has_closed)
            continue;
        auto const received = ::recv(descriptor(), bytes.data(), bytes.size(), 0);
        if (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            break;
        caller_has_closed = received == 0;
    }
    m_socket.close();
}

} // namespace jasminepier::http
