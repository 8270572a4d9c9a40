/// Feeds callers' bytes to the request parser, in pieces whose size the first byte states.
#include "fuzz/harness.hpp"
#include "http/request_reader.hpp"

#include <algorithm>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    if (size == 0)
        return 0;
    constexpr http::request_size_limits limits{512, 4096};
    // A body may exceed its limit by the piece that is being parsed, and its memory doubles.
    constexpr std::size_t maximum_held_bytes = std::size_t{16} * 1024;
    auto const piece_size = std::max<std::size_t>(data[0], 1);
    auto text = fuzz::as_text(data + 1, size - 1);
    http::request_reader reader(limits);
    using state = http::request_reader::state;
    while (!text.empty())
    {
        auto const piece = text.substr(0, piece_size);
        text.remove_prefix(piece.size());
        // What a connection charges before it feeds the piece.
        auto const stated = reader.bytes_to_hold(piece.size()) + reader.fields_to_hold(piece);
        reader.feed(piece);
        fuzz::require(reader.held_bytes() <= std::max(stated, maximum_held_bytes));
        reader.consume_expect_continue();
        while (reader.current_state() == state::complete)
        {
            auto const request = reader.take_request();
            fuzz::require(request.body.size() <= limits.body_bytes);
            fuzz::require(!request.method.empty());
        }
        if (reader.current_state() != state::idle &&
            reader.current_state() != state::reading_head &&
            reader.current_state() != state::reading_body)
            break;
    }
    reader.discard();
    return 0;
}
