#include "backend/event_stream.hpp"

#include <string_view>

namespace jasminepier::backend
{

bool event_reader::read_line(std::string& line)
{
    line.clear();
    auto* buffer = m_in.rdbuf();
    for (;;)
    {
        auto const c = buffer->sbumpc();
        if (c == std::char_traits<char>::eof())
            return false;
        if (c == '\n')
            break;
        if (line.size() >= m_maximum_line)
            return false;
        line.push_back(static_cast<char>(c));
    }
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return true;
}

std::optional<stream_event> event_reader::next()
{
    stream_event event;
    bool has_data = false;
    std::string line;
    while (read_line(line))
    {
        if (line.empty())
        {
            if (has_data)
                return event;
            event.type.clear();
            continue;
        }
        auto const colon = line.find(':');
        if (colon == 0)
            continue;
        std::string_view const field = std::string_view(line).substr(0, colon);
        std::string_view value;
        if (colon != std::string::npos)
            value = std::string_view(line).substr(colon + 1);
        if (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        if (field == "data")
        {
            if (has_data)
                event.data.push_back('\n');
            event.data.append(value);
            has_data = true;
        }
        else if (field == "id")
            event.id = value;
        else if (field == "event")
            event.type = value;
    }
    return std::nullopt;
}

} // namespace jasminepier::backend
