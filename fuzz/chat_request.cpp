/// Fuzzes the parser of chat completion requests from callers.
#include "services/entry/chat_request.hpp"

#include "fuzz/harness.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(request, entry::parse_chat_request(fuzz::as_text(data, size), 65536));
            fuzz::require(request.maximum_tokens >= 0);
            // The body for the engine must be a valid request for the same model.
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    BOOST_LEAF_AUTO(engine_request, base::parse_json_object(request.engine_body));
                    BOOST_LEAF_AUTO(model, base::read_string(engine_request, "model"));
                    fuzz::require(model == request.model);
                    return {};
                });
            return {};
        });
    return 0;
}
