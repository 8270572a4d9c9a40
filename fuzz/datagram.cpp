/// Fuzzes the decoder of gossip datagrams.
#include "inner_protocol/datagram.hpp"

#include "fuzz/harness.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(decoded, inner_protocol::decode_datagram(fuzz::as_text(data, size)));
            // Nodes forward the records that they receive, so a decoded datagram must be decodable
            // again once encoded. Absent fields are encoded with their defaults, which may exceed
            // the size limit.
            auto const encoded = inner_protocol::encode_datagram(decoded);
            if (encoded.size() > inner_protocol::maximum_datagram_bytes)
                return {};
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    BOOST_LEAF_AUTO(decoded_again, inner_protocol::decode_datagram(encoded));
                    fuzz::require(decoded_again == decoded);
                    return {};
                });
            return {};
        });
    return 0;
}
