#include "inner_protocol/datagram.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/protocol/TVirtualProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace jasminepier::inner_protocol
{
namespace
{

using apache::thrift::protocol::TProtocolException;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
using memory_protocol = apache::thrift::protocol::TCompactProtocol;

/// Refuses lists with more elements than bytes are left; each element takes one byte or more.
class bounded_protocol
    : public apache::thrift::protocol::TVirtualProtocol<bounded_protocol, memory_protocol>
{
public:
    explicit bounded_protocol(std::shared_ptr<TMemoryBuffer> const& buffer)
        : TVirtualProtocol(buffer), m_buffer(buffer)
    {
    }

    // The names are those that Thrift's generated code calls.
    std::uint32_t readListBegin(TType& type, std::uint32_t& size) // NOLINT
    {
        auto const read = memory_protocol::readListBegin(type, size);
        check(size);
        return read;
    }
    std::uint32_t readSetBegin(TType& type, std::uint32_t& size) // NOLINT
    {
        return readListBegin(type, size);
    }
    std::uint32_t readMapBegin(TType& key, TType& value, std::uint32_t& size) // NOLINT
    {
        auto const read = memory_protocol::readMapBegin(key, value, size);
        check(size);
        return read;
    }

private:
    void check(std::uint32_t size) const
    {
        if (size > m_buffer->available_read())
            throw TProtocolException(TProtocolException::SIZE_LIMIT, "list is longer than message");
    }

    std::shared_ptr<TMemoryBuffer> m_buffer;
};

} // namespace

base::result<gossip_datagram> parse_datagram(std::span<std::uint8_t const> bytes)
{
    // OBSERVE does not write to the buffer.
    auto const buffer = std::make_shared<TMemoryBuffer>(const_cast<std::uint8_t*>(bytes.data()),
                                                        static_cast<std::uint32_t>(bytes.size()),
                                                        TMemoryBuffer::OBSERVE);
    bounded_protocol protocol(buffer);
    gossip_datagram datagram;
    try
    {
        datagram.read(&protocol);
    }
    catch (std::exception const& failure)
    {
        return base::fail(base::error_kind::bad_request,
                          std::string("not a gossip datagram: ") + failure.what());
    }
    return datagram;
}

std::string write_datagram(gossip_datagram const& datagram)
{
    auto const buffer = std::make_shared<TMemoryBuffer>();
    memory_protocol protocol(buffer);
    datagram.write(&protocol);
    return buffer->getBufferAsString();
}

} // namespace jasminepier::inner_protocol
