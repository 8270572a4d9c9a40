#include "serving/event_stream_splitter.hpp"

#include <charconv>

namespace jasminepier::serving
{
namespace
{

std::string parse_event_id(std::string_view event)
{
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.starts_with("id:"))
        {
            line.remove_prefix(3);
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            return std::string(line);
        }
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return {};
}

/// Returns the position after the first blank line, or npos.
std::size_t find_event_end(std::string_view text)
{
    for (auto newline = text.find('\n'); newline != std::string_view::npos;
         newline = text.find('\n', newline + 1))
    {
        if (text.substr(newline + 1).starts_with('\n'))
            return newline + 2;
        if (text.substr(newline + 1).starts_with("\r\n"))
            return newline + 3;
    }
    return std::string_view::npos;
}

} // namespace

std::vector<server_sent_event> event_stream_splitter::feed(std::string_view bytes)
{
    std::vector<server_sent_event> events;
    if (oversized())
        return events;
    m_pending.append(bytes);
    std::string_view remaining = m_pending;
    while (true)
    {
        auto const end = find_event_end(remaining);
        if (end == std::string_view::npos)
            break;
        auto const event = remaining.substr(0, end);
        events.push_back({std::string(event), parse_event_id(event)});
        remaining.remove_prefix(end);
    }
    m_pending.erase(0, m_pending.size() - remaining.size());
    return events;
}

std::optional<std::int64_t> parse_event_number(std::string_view id)
{
    std::int64_t value = 0;
    auto const parsed = std::from_chars(id.data(), id.data() + id.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != id.data() + id.size())
        return std::nullopt;
    return value;
}

} // namespace jasminepier::serving
