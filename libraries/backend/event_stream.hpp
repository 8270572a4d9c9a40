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
struct stream_event
{
    std::string type;
    std::string id;
    std::string data;
};

/// Reads events from a stream. Lines longer than `maximum_line` bytes end the stream.
class event_reader
{
public:
    explicit event_reader(std::istream& in, std::size_t maximum_line = 1U << 20U)
        : m_in(in), m_maximum_line(maximum_line)
    {
    }

    /// Returns the next event that carries data, or nothing at the end of the stream. An event that
    /// the stream cuts off is not returned.
    std::optional<stream_event> next();

    /// What `poll` found.
    enum class state
    {
        event,
        waiting,
        ended,
    };

    /// Like `next`, but asks `wait` before reading when nothing is buffered, and returns `waiting`
    /// when it says that nothing has arrived. A part of an event is kept for the next call.
    state poll(std::function<bool()> const& wait, stream_event& event);

private:
    state read_line(std::function<bool()> const& wait);
    bool take_line();

    std::istream& m_in;
    std::size_t m_maximum_line;
    std::string m_line;
    stream_event m_event;
    bool m_has_data = false;
};

} // namespace jasminepier::backend
