/// The claim object that the platform keeps for each order.
#pragma once

#include "base/error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepier::claims
{

inline std::string const claim_kind = "claim";

/// Larger answers are not kept: a claim must stay far below the platform's limit of 1 MB a value.
inline constexpr std::size_t maximum_recorded_body_bytes = 64U << 10U;

enum class claim_state
{
    /// The owner of the nonce may dispatch the call, or has dispatched it.
    claimed,
    /// The call ran; the answer is recorded.
    done,
    /// Whether the call ran cannot be told any more.
    unknown,
    /// The owner of the nonce has not dispatched the call and never will.
    not_run,
};

struct claim_record
{
    claim_state state = claim_state::claimed;
    std::string nonce;
    std::string node;
    std::string request_hash;
    /// Seconds since the Unix epoch at which the state was entered.
    std::int64_t time = 0;
    int status = 0;
    std::string content_type;
    std::string body;
    /// True when the answer was larger than `maximum_recorded_body_bytes`.
    bool body_omitted = false;
};

/// Fails with bad_request on a malformed value.
base::result<claim_record> parse_claim(std::string const& text);
std::string write_claim(claim_record const& record);

/// Returns the object name for a key of a customer at a service.
std::string claim_name(std::string_view customer, std::string_view service, std::string_view key);

} // namespace jasminepier::claims
