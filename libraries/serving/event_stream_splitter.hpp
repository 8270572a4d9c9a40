/// Splits a stream of server-sent events at event boundaries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// A complete event, or comments between events, with the bytes as received, including the blank
/// line that ends it.
struct server_sent_event
{
    std::string bytes;
    /// Empty if the event has no id.
    std::string id;
    /// False for comments and blank lines, which are no event.
    bool has_fields = false;
};

/// Splits a stream into complete events. If a server fails in the middle of an event, the partial
/// event is not returned, so another server can resume the stream after the last complete event.
class event_stream_splitter
{
public:
    /// Bounds the memory that a server can occupy with an event without end.
    static constexpr std::size_t maximum_event_bytes = std::size_t{256} * 1024;

    /// Adds received bytes and returns the events that they complete, up to an event that holds the
    /// beginning of another response.
    std::vector<server_sent_event> feed(std::string_view bytes);
    /// True if an event exceeds `maximum_event_bytes`. The splitter then returns no further events.
    bool oversized() const noexcept { return m_pending.size() > maximum_event_bytes; }
    /// True if the server has begun another response instead of going on with the stream: a line
    /// has the status line of a response where its field name is due. The splitter then returns no
    /// further events.
    bool interrupted() const noexcept { return m_interrupted; }
    /// True if the received bytes end inside an event. Comment lines are not part of an event
    /// unless fields follow them.
    bool has_partial_event() const;
    /// Returns the received bytes that belong to no complete event.
    std::string_view remainder() const noexcept { return m_pending; }

private:
    std::string m_pending;
    bool m_interrupted = false;
};

/// Returns nullopt if `id` isn't an integer.
std::optional<std::int64_t> parse_event_number(std::string_view id);

} // namespace jasminepier::serving
