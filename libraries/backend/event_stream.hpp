/// Reading of server-sent events.
#pragma once

#include <cstddef>
#include <functional>
#include <istream>
#include <optional>
#include <string>

namespace jasminepier::backend
{

/// One server-sent event; `id` is empty when the event sets none.
struct server_sent_event
{
    std::string type;
    std::string id;
    std::string data;
};

/// Reads events from a stream. Lines longer than `maximum_line` bytes end the stream.
class event_stream_reader
{
public:
    explicit event_stream_reader(std::istream& in, std::size_t maximum_line = 1U << 20U)
        : m_in(in), m_maximum_line(maximum_line)
    {
    }

    /// Returns the next event that carries data, or nothing at the end of the stream. An event that
    /// the stream cuts off is not returned.
    std::optional<server_sent_event> next();

    /// What `poll` found.
    enum class poll_result
    {
        event,
        waiting,
        ended,
    };

    /// Like `next`, but asks `wait` before reading when nothing is buffered, and returns `waiting`
    /// when it says that nothing has arrived. A part of an event is kept for the next call.
    poll_result poll(std::function<bool()> const& wait, server_sent_event& event);

private:
    poll_result read_line(std::function<bool()> const& wait);
    bool take_line();

    std::istream& m_in;
    std::size_t m_maximum_line;
    std::string m_line;
    server_sent_event m_event;
    bool m_has_data = false;
};

} // namespace jasminepier::backend
