#include "backend/event_stream.hpp"

#include <string_view>
#include <utility>

namespace jasminepier::backend
{

/// Reads into `m_line`. Returns `event` if the line is complete.
event_stream_reader::poll_result event_stream_reader::read_line(std::function<bool()> const& wait)
{
    auto* buffer = m_in.rdbuf();
    for (;;)
    {
        if (buffer->in_avail() <= 0 && !wait())
            return poll_result::waiting;
        auto const c = buffer->sbumpc();
        if (c == std::char_traits<char>::eof())
            return poll_result::ended;
        if (c == '\n')
            break;
        if (m_line.size() >= m_maximum_line_bytes || m_event.data.size() > m_maximum_line_bytes)
            return poll_result::ended;
        m_line.push_back(static_cast<char>(c));
    }
    m_polled_bytes += m_line.size() + 1;
    if (!m_line.empty() && m_line.back() == '\r')
        m_line.pop_back();
    return poll_result::event;
}

/// Parses one line. Returns true if it ends an event that has data.
bool event_stream_reader::parse_line()
{
    if (m_line.empty())
    {
        if (m_has_data)
            return true;
        m_event.type.clear();
        return false;
    }
    auto const colon = m_line.find(':');
    if (colon == 0)
        return false;
    std::string_view const field = std::string_view(m_line).substr(0, colon);
    std::string_view value;
    if (colon != std::string::npos)
        value = std::string_view(m_line).substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "data")
    {
        if (m_has_data)
            m_event.data.push_back('\n');
        m_event.data.append(value);
        m_has_data = true;
    }
    else if (field == "id")
        m_event.id = value;
    else if (field == "event")
        m_event.type = value;
    return false;
}

event_stream_reader::poll_result event_stream_reader::poll(std::function<bool()> const& wait,
                                                           server_sent_event& event)
{
    for (m_polled_bytes = 0; m_polled_bytes <= m_maximum_line_bytes;)
    {
        auto const result = read_line(wait);
        if (result != poll_result::event)
            return result;
        bool const complete = parse_line();
        m_line.clear();
        if (!complete)
            continue;
        event = std::exchange(m_event, {});
        m_has_data = false;
        return poll_result::event;
    }
    return poll_result::waiting;
}

std::optional<server_sent_event> event_stream_reader::next()
{
    server_sent_event event;
    auto result = poll_result::waiting;
    while (result == poll_result::waiting)
        result = poll([] { return true; }, event);
    if (result != poll_result::event)
        return std::nullopt;
    return event;
}

} // namespace jasminepier::backend
