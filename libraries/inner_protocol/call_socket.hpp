/// Socket of an RPC client with one time limit for a whole call.
#pragma once

#include "base/clock.hpp"

#include <thrift/transport/TSocket.h>

namespace jasminepier::inner_protocol
{

/// Thrift's socket limits the time of each read, so a peer that sends a byte now and then could
/// hold a call without end. This one limits the time until the response is complete.
class call_socket : public apache::thrift::transport::TSocket
{
public:
    using TSocket::TSocket;

    void set_deadline(base::time_point deadline) noexcept { m_deadline = deadline; }
    /// Throws TTransportException (TIMED_OUT) once the deadline has passed.
    std::uint32_t read(std::uint8_t* buffer, std::uint32_t length) override;
    /// Bytes received since the connection was opened.
    std::uint64_t received_bytes() const noexcept { return m_received_bytes; }

private:
    base::time_point m_deadline = base::time_point::max();
    std::uint64_t m_received_bytes = 0;
};

} // namespace jasminepier::inner_protocol
