/// The claim: a stored object that makes a non-idempotent call run at most once per idempotency
/// key.
#pragma once

#include "base/error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepier::claims
{

inline std::string const claim_kind = "claim";

/// Larger response bodies are not recorded, which keeps a claim far below the platform's limit of
/// 1 MB per value.
inline constexpr std::size_t maximum_recorded_body_bytes = 64U << 10U;

enum class claim_state
{
    /// The owner of the nonce may dispatch the call or has dispatched it.
    claimed,
    /// The call ran and its response is recorded.
    done,
    /// Whether the call ran can no longer be determined.
    unknown,
    /// The owner of the nonce has not dispatched the call and never will.
    not_run,
};

struct claim_record
{
    claim_state state = claim_state::claimed;
    /// Identifies the attempt that owns the claim.
    std::string nonce;
    /// Name of the node that runs that attempt.
    std::string node;
    std::string request_hash;
    /// When the claim entered its state, seconds since the Unix epoch.
    std::int64_t time = 0;
    /// Status of the service's response, from 200 to 599 if the state is `done`.
    int status = 0;
    std::string content_type;
    std::string body;
    /// True if the body was larger than `maximum_recorded_body_bytes`.
    bool body_omitted = false;
    /// True if the state is `unknown` because the recorded response is one that no service can have
    /// sent.
    bool response_is_invalid = false;
};

/// Fails with bad_request if the value is malformed. A claim that is done counts as `unknown` if
/// its recorded response is invalid.
base::result<claim_record> parse_claim(std::string const& text);
std::string write_claim(claim_record const& record);

/// Returns the name of the claim object for a customer's idempotency key at a service.
std::string claim_name(std::string_view customer, std::string_view service, std::string_view key);

} // namespace jasminepier::claims
