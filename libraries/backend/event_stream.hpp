/// Parsing of server-sent event streams.
#pragma once

#include <cstddef>
#include <functional>
#include <istream>
#include <optional>
#include <string>

namespace jasminepier::backend
{

/// A server-sent event. `type` and `id` are empty if the event doesn't set them.
struct server_sent_event
{
    std::string type;
    std::string id;
    std::string data;
};

/// Reads events from a stream. A line or event data longer than `maximum_line_bytes` counts as the
/// end of the stream.
class event_stream_reader
{
public:
    explicit event_stream_reader(std::istream& in, std::size_t maximum_line_bytes = 1U << 20U)
        : m_in(in), m_maximum_line_bytes(maximum_line_bytes)
    {
    }

    /// Blocks until an event with data is complete and returns it, or returns nothing at the end of
    /// the stream. Discards an event that the end of the stream truncates.
    std::optional<server_sent_event> next();

    enum class poll_result
    {
        event,
        waiting,
        ended,
    };

    /// Like `next`, but calls `wait` whenever nothing is buffered. Returns `waiting` if `wait`
    /// returns false because no data has arrived, and after about `maximum_line_bytes` without an
    /// event, so that the caller can check its time limits. A partial event is kept for the next
    /// call.
    poll_result poll(std::function<bool()> const& wait, server_sent_event& event);

private:
    poll_result read_line(std::function<bool()> const& wait);
    bool parse_line();

    std::istream& m_in;
    std::size_t m_maximum_line_bytes;
    /// Bytes that this call of `poll` has read.
    std::size_t m_polled_bytes = 0;
    std::string m_line;
    server_sent_event m_event;
    bool m_has_data = false;
};

} // namespace jasminepier::backend
