#include "serving/event_stream_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace jasminepier::serving
{
namespace
{

constexpr std::string_view http_version_prefix = "HTTP/1.";

/// Removes the first line and its end, which is LF, CRLF or CR, from `text`. Returns the line
/// without its end, or nullopt if no line is complete.
std::optional<std::string_view> take_line(std::string_view& text)
{
    auto const end = text.find_first_of("\r\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    auto const line = text.substr(0, end);
    text.remove_prefix(text.substr(end).starts_with("\r\n") ? end + 2 : end + 1);
    return line;
}

std::string parse_event_id(std::string_view event)
{
    while (auto line = take_line(event))
    {
        if (!line->starts_with("id:"))
            continue;
        line->remove_prefix(3);
        if (line->starts_with(' '))
            line->remove_prefix(1);
        return std::string(*line);
    }
    return {};
}

/// Returns the position after the first blank line, or npos.
std::size_t find_event_end(std::string_view text)
{
    auto rest = text;
    while (auto const line = take_line(rest))
        if (line->empty())
            return text.size() - rest.size();
    return std::string_view::npos;
}

bool is_field(std::string_view line)
{
    return !line.empty() && line.front() != ':';
}

bool has_field(std::string_view text)
{
    while (auto const line = take_line(text))
        if (is_field(*line))
            return true;
    return is_field(text);
}

bool is_digit(char character)
{
    return character >= '0' && character <= '9';
}

/// Returns true if the name of the line's field holds the status line of a response. What precedes
/// it may be the beginning of a line that the server has not ended.
bool has_status_line(std::string_view line)
{
    constexpr std::size_t version_and_status_size = 5;
    auto const name = line.substr(0, line.find(':'));
    auto const start = name.find(http_version_prefix);
    if (start == std::string_view::npos)
        return false;
    auto const rest = name.substr(start + http_version_prefix.size());
    return rest.size() >= version_and_status_size && is_digit(rest[0]) && rest[1] == ' ' &&
           std::all_of(rest.begin() + 2, rest.begin() + version_and_status_size, is_digit) &&
           (rest.size() == version_and_status_size || rest[version_and_status_size] == ' ');
}

bool begins_response(std::string_view event)
{
    if (event.find(http_version_prefix) == std::string_view::npos)
        return false;
    while (auto const line = take_line(event))
        if (has_status_line(*line))
            return true;
    return false;
}

} // namespace

std::vector<server_sent_event> event_stream_splitter::feed(std::string_view bytes)
{
    std::vector<server_sent_event> events;
    if (oversized() || m_interrupted)
        return events;
    m_pending.append(bytes);
    std::string_view remaining = m_pending;
    while (true)
    {
        auto const end = find_event_end(remaining);
        if (end == std::string_view::npos)
            break;
        auto const event = remaining.substr(0, end);
        m_interrupted = begins_response(event);
        if (m_interrupted)
            break;
        events.push_back({std::string(event), parse_event_id(event), has_field(event)});
        remaining.remove_prefix(end);
    }
    m_pending.erase(0, m_pending.size() - remaining.size());
    return events;
}

bool event_stream_splitter::has_partial_event() const
{
    return has_field(m_pending);
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
