#include "inner_protocol/call_socket.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace jasminepier::inner_protocol
{

std::uint32_t call_socket::read(std::uint8_t* buffer, std::uint32_t length)
{
    using apache::thrift::transport::TTransportException;
    auto const remaining = std::chrono::ceil<std::chrono::milliseconds>(
        m_deadline - base::steady_clock_source{}.now());
    if (remaining.count() <= 0)
        throw TTransportException(TTransportException::TIMED_OUT, "the response is not complete");
    setRecvTimeout(static_cast<int>(
        std::min<std::int64_t>(remaining.count(), std::numeric_limits<int>::max())));
    auto const received = TSocket::read(buffer, length);
    m_received_bytes += received;
    return received;
}

} // namespace jasminepier::inner_protocol
