/// Callers outside the limits, and what a process holds because of them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminepier::tests
{

/// What one caller sends: `head`, then `repeated` again and again, in all at most `maximum_bytes`.
struct hostile_message
{
    std::string head;
    std::string repeated;
    std::uint64_t maximum_bytes = 0;
};

/// Connections that all send the same message, read nothing and stay open until destruction.
class caller_crowd
{
public:
    /// Throws std::runtime_error if a connection cannot be started.
    caller_crowd(std::string const& host, std::uint16_t port, int callers, hostile_message message);
    ~caller_crowd();
    caller_crowd(caller_crowd const&) = delete;
    caller_crowd& operator=(caller_crowd const&) = delete;

    /// Sends until nothing has moved for some seconds, since each caller has sent its message or
    /// was cut off, or the process reads no more. Calls `observe` all the while.
    void send(std::function<void()> const& observe);
    std::uint64_t sent_bytes() const noexcept { return m_sent_bytes; }
    /// Returns the number of callers that were cut off.
    int cut_off() const noexcept { return m_cut_off; }

private:
    struct caller
    {
        int descriptor = -1;
        std::uint64_t sent = 0;
        bool ended = false;
    };

    /// Sends as much as the connection takes. Returns true if anything has moved.
    bool advance(caller& each);

    hostile_message m_message;
    std::vector<caller> m_callers;
    std::uint64_t m_sent_bytes = 0;
    int m_cut_off = 0;
};

/// Returns the largest resident memory that the process has had, in KiB; 0 if it has ended.
std::int64_t peak_memory_kib(pid_t process);
/// Returns the number of open descriptors of the process; 0 if it has ended.
std::size_t open_descriptors(pid_t process);

/// Returns `data` as a chunk of a chunked body.
std::string make_chunk(std::string const& data);

} // namespace jasminepier::tests
