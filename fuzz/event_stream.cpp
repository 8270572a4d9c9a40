/// Event streams from engines.
#include "backend/event_stream.hpp"

#include "fuzz/harness.hpp"

#include <sstream>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    std::istringstream in{std::string(fuzz::as_text(data, size))};
    constexpr std::size_t maximum_line = 64;
    backend::event_stream_reader reader(in, maximum_line);
    std::size_t total = 0;
    while (auto const event = reader.next())
    {
        fuzz::require(event->id.size() <= maximum_line && event->type.size() <= maximum_line);
        fuzz::require(event->data.find('\r') == std::string::npos ||
                      fuzz::as_text(data, size).find('\r') != std::string_view::npos);
        total += event->data.size();
    }
    // Events are made only of bytes that were received.
    fuzz::require(total <= size);
    return 0;
}
