/// Signed ids of stream events, from which any entry node can continue a stream.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepier::entry
{

/// What an event id is valid for. The fields are part of the signature but not of the id.
struct event_id_scope
{
    std::string customer;
    std::string model;
    std::string request_hash;
};

/// A position in one generation.
struct stream_position
{
    /// Hash of the server's name, so that callers do not learn the name.
    std::uint64_t server_hash = 0;
    std::string generation_id;
    std::int64_t expiry_seconds = 0;
    /// Tokens delivered, this event's included.
    std::int64_t delivered = 0;
    /// Digest of the delivered tokens, for verified replay at another node.
    std::uint64_t digest = 0;
    /// The answer ended with this event.
    bool complete = false;
};

/// Time for which an id can be used after it was sent.
inline constexpr std::int64_t event_id_lifetime_seconds = 900;

/// Returns `<signed>.<index>`. The signature is HMAC-SHA-256 cut to 128 bits.
std::string sign_event_id(std::string_view key, event_id_scope const& scope,
                          stream_position const& position);

/// Fails with bad_request when the id was not signed for `owner`, or has expired.
base::result<stream_position> verify_event_id(std::string_view key, event_id_scope const& scope,
                                              std::string_view id, std::int64_t now_seconds);

} // namespace jasminepier::entry
