/// Thrift datagrams between control processes.
#include "inner_protocol/datagram.hpp"

#include "fuzz/harness.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(parsed, inner_protocol::parse_datagram({data, size}));
            // A node passes records on; what it read, others must be able to read.
            auto const written = inner_protocol::write_datagram(parsed);
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    auto const* bytes = reinterpret_cast<std::uint8_t const*>(written.data());
                    BOOST_LEAF_AUTO(reread,
                                    inner_protocol::parse_datagram({bytes, written.size()}));
                    fuzz::require(reread == parsed);
                    return {};
                });
            return {};
        });
    return 0;
}
