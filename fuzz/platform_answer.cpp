/// Fuzzes the parser of the platform's responses to lists and watches. The first byte selects which
/// of them.
#include "fuzz/harness.hpp"
#include "store/response_parsing.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    if (size == 0)
        return 0;
    auto const kind = data[0] % 2 == 0 ? store::page_kind::list : store::page_kind::events;
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(
                page, store::parse_page(std::string(fuzz::as_text(data + 1, size - 1)), kind));
            for (auto const& object : page.objects)
                fuzz::require(!object.deleted || kind == store::page_kind::events);
            return {};
        });
    return 0;
}
