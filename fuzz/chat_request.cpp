/// Bodies of callers' chat completion requests.
#include "services/entry/chat_request.hpp"

#include "fuzz/harness.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(parsed, entry::parse_chat_request(fuzz::as_text(data, size), 65536));
            fuzz::require(parsed.maximum_tokens >= 0);
            // What is forwarded must be a request that the engine can read.
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    BOOST_LEAF_AUTO(forwarded, base::parse_json_object(parsed.engine_body));
                    BOOST_LEAF_AUTO(model, base::read_string(forwarded, "model"));
                    fuzz::require(model == parsed.model);
                    return {};
                });
            return {};
        });
    return 0;
}
