/// A connection that a caller opened.
#pragma once

#include "base/clock.hpp"
#include "http/request_reader.hpp"
#include "http/wait_set.hpp"

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <string_view>

namespace jasminepier::http
{

struct read_time_limits
{
    /// Longest time between a request's first byte and the end of its header.
    std::chrono::milliseconds header{3000};
    /// Longest time without a request.
    std::chrono::milliseconds idle{15000};
};

enum class read_outcome
{
    request,
    /// The caller closed the connection, or it broke.
    closed,
    idle_timeout,
    read_timeout,
    malformed,
    head_too_large,
    body_too_large,
    /// The process asked to stop reading while no request was under way.
    interrupted,
};

/// Reads requests and sends answers. One thread serves one connection.
class caller_connection
{
public:
    caller_connection(Poco::Net::StreamSocket const& socket, request_size_limits limits);

    /// Waits for the next whole request. `interruption` ends the wait while nothing was received.
    read_outcome read_request(request& received, read_time_limits limits, wakeup& interruption);

    /// Sends all bytes. Returns false when the caller has left or accepts nothing until `until`.
    bool send(std::string_view bytes, base::time_point until);

    /// True when the caller closed its side or reset the connection.
    bool departed() const;
    int descriptor() const noexcept;
    /// Ends the sending side and discards what arrives for a moment, so that the answer is not
    /// destroyed by a reset when the caller is still sending.
    void close_gracefully();
    std::string peer() const { return m_peer; }

private:
    Poco::Net::StreamSocket m_socket;
    request_reader m_reader;
    std::string m_peer;
};

} // namespace jasminepier::http
