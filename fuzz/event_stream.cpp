/// Fuzzes the reader of server-sent events from engines.
#include "backend/event_stream.hpp"

#include "fuzz/harness.hpp"

#include <sstream>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    std::istringstream in{std::string(fuzz::as_text(data, size))};
    constexpr std::size_t maximum_line_bytes = 64;
    backend::event_stream_reader reader(in, maximum_line_bytes);
    std::size_t total_data_bytes = 0;
    while (auto const event = reader.next())
    {
        fuzz::require(event->id.size() <= maximum_line_bytes &&
                      event->type.size() <= maximum_line_bytes);
        fuzz::require(event->data.find('\r') == std::string::npos ||
                      fuzz::as_text(data, size).find('\r') != std::string_view::npos);
        total_data_bytes += event->data.size();
    }
    // The data of events can't be longer than the input.
    fuzz::require(total_data_bytes <= size);
    return 0;
}
