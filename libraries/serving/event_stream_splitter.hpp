/// Whole events out of the bytes of a stream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// One event with its bytes as received, the blank line included.
struct server_sent_event
{
    std::string bytes;
    /// The event's id; empty when it has none.
    std::string id;
};

/// Cuts a stream into events. A server may stop in the middle of an event; what it began is never
/// returned, so that another server can go on behind the last whole event.
class event_stream_splitter
{
public:
    /// Takes over received bytes and returns the events that they complete.
    std::vector<server_sent_event> feed(std::string_view bytes);
    bool has_partial_event() const noexcept { return !m_pending.empty(); }

private:
    std::string m_pending;
};

/// Returns the id as a number, when it is one.
std::optional<std::int64_t> parse_event_number(std::string_view id);

} // namespace jasminepier::serving
