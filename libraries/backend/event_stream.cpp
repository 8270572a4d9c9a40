#include "backend/event_stream.hpp"

#include <string_view>
#include <utility>

namespace jasminepier::backend
{

event_reader::state event_reader::read_line(std::function<bool()> const& wait)
{
    auto* buffer = m_in.rdbuf();
    for (;;)
    {
        if (buffer->in_avail() <= 0 && !wait())
            return state::waiting;
        auto const c = buffer->sbumpc();
        if (c == std::char_traits<char>::eof())
            return state::ended;
        if (c == '\n')
            break;
        if (m_line.size() >= m_maximum_line || m_event.data.size() > m_maximum_line)
            return state::ended;
        m_line.push_back(static_cast<char>(c));
    }
    if (!m_line.empty() && m_line.back() == '\r')
        m_line.pop_back();
    return state::event;
}

/// Takes over one line; returns true when it ends an event that carries data.
bool event_reader::take_line()
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

event_reader::state event_reader::poll(std::function<bool()> const& wait, stream_event& event)
{
    for (;;)
    {
        auto const found = read_line(wait);
        if (found != state::event)
            return found;
        bool const complete = take_line();
        m_line.clear();
        if (!complete)
            continue;
        event = std::exchange(m_event, {});
        m_has_data = false;
        return state::event;
    }
}

std::optional<stream_event> event_reader::next()
{
    stream_event event;
    if (poll([] { return true; }, event) != state::event)
        return std::nullopt;
    return event;
}

} // namespace jasminepier::backend
