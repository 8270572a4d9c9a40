/// Thrift datagrams between control processes.
#include "fuzz/harness.hpp"
#include "jasminepier_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace
{

using namespace jasminepier;
using apache::thrift::transport::TMemoryBuffer;
using protocol_type = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

// Without a limit on list lengths Thrift takes them from the message: the corpus input huge_list,
// six bytes, made it allocate gigabytes.
constexpr int maximum_elements = 512;
constexpr int maximum_string = 4096;

base::result<inner_protocol::gossip_datagram> parse(std::uint8_t const* data, std::size_t size)
{
    // OBSERVE does not write to the buffer.
    auto const buffer = std::make_shared<TMemoryBuffer>(
        const_cast<std::uint8_t*>(data), static_cast<std::uint32_t>(size), TMemoryBuffer::OBSERVE);
    protocol_type protocol(buffer, maximum_string, maximum_elements);
    inner_protocol::gossip_datagram datagram;
    try
    {
        datagram.read(&protocol);
    }
    catch (std::exception const& failure)
    {
        return base::fail(base::error_kind::bad_request,
                          std::string("not a datagram: ") + failure.what());
    }
    return datagram;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(parsed, parse(data, size));
            // A node passes records on; what it read, others must be able to read.
            auto const written = std::make_shared<TMemoryBuffer>();
            protocol_type writer(written);
            parsed.write(&writer);
            auto const bytes = written->getBufferAsString();
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    BOOST_LEAF_AUTO(
                        reread,
                        parse(reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size()));
                    fuzz::require(reread == parsed);
                    return {};
                });
            return {};
        });
    return 0;
}
