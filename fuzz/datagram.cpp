/// Thrift datagrams between control processes.
#include "inner_protocol/datagram.hpp"

#include "fuzz/harness.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(parsed, inner_protocol::decode_datagram(fuzz::as_text(data, size)));
            // A node passes records on; what it read, others must be able to read. Fields that were
            // absent are written with their defaults, which may exceed the limit.
            auto const written = inner_protocol::encode_datagram(parsed);
            if (written.size() > inner_protocol::maximum_datagram_bytes)
                return {};
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    BOOST_LEAF_AUTO(reread, inner_protocol::decode_datagram(written));
                    fuzz::require(reread == parsed);
                    return {};
                });
            return {};
        });
    return 0;
}
