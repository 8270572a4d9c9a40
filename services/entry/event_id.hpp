/// Signed ids of stream events, with which a caller can resume a stream at any entry node.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepier::entry
{

/// The request for which an event id is valid. The fields are signed but not part of the id.
struct event_id_scope
{
    std::string customer;
    std::string model;
    std::string request_hash;
};

/// A position in the stream of one generation.
struct stream_position
{
    /// Hash of the server's name, which hides the name from callers.
    std::uint64_t server_hash = 0;
    std::string generation_id;
    std::int64_t expiry_seconds = 0;
    /// Number of tokens delivered, including this event's.
    std::int64_t delivered = 0;
    /// Digest of the delivered tokens, for verified replay at another node.
    std::uint64_t digest = 0;
    /// True if the response ended with this event.
    bool complete = false;
};

/// Time after sending during which an id is valid.
inline constexpr std::int64_t event_id_lifetime_seconds = 900;

/// Returns `<signed>.<index>`. The signature is HMAC-SHA-256 truncated to 128 bits.
std::string sign_event_id(std::string_view key, event_id_scope const& scope,
                          stream_position const& position);

/// Fails with bad_request if the id is malformed, was not signed for `scope` or has expired.
base::result<stream_position> verify_event_id(std::string_view key, event_id_scope const& scope,
                                              std::string_view id, std::int64_t now_seconds);

} // namespace jasminepier::entry
