/// Requests, results, dependencies and settings of at-most-once execution.
#pragma once

#include "base/clock.hpp"
#include "claims/claim.hpp"
#include "claims/claim_table.hpp"

#include <concepts>
#include <string>
#include <variant>

namespace jasminepier::claims
{

/// A caller's request to run a non-idempotent call.
struct claim_request
{
    /// Name of the claim object.
    std::string name;
    std::string request_hash;
    /// Time at which the caller stops waiting for a response.
    base::time_point deadline;
};

/// A claim owned by this process. Only the owner dispatches the call.
struct owned_claim
{
    claim_request request;
    std::string nonce;
    std::int64_t version = 0;
};

/// The service's response, received now or recorded by an earlier attempt.
struct service_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// True if the recorded body was too large to be stored and is missing.
    bool body_omitted = false;
    /// True if the response was recorded by an earlier attempt.
    bool replayed = false;
};

/// The service's response, or an error whose kind tells whether the call was executed.
using execution_result = std::variant<service_response, base::error>;

/// What the dispatcher knows after it has sent the call to the service.
enum class dispatch_status
{
    responded,
    /// This process sent no byte of the call.
    not_sent,
    /// The call may have run.
    unknown,
};

struct dispatch_result
{
    dispatch_status status = dispatch_status::unknown;
    service_response response;
    /// Set unless the status is `responded`.
    base::error failure;
};

/// Sends the call to the service, at most once. Invoked without a lock.
template <class T>
concept dispatcher = requires(T& dispatch)
{
    {
        dispatch()
        } -> std::same_as<dispatch_result>;
};

/// Queries the node that owns a claim. The arguments are the names of the node and of the claim,
/// and the owner's nonce. Fails with server_unreachable.
template <class T>
concept claim_peers = requires(T& peers, std::string const& text)
{
    {
        peers.query_progress(text, text, text)
        } -> std::same_as<base::result<claim_progress>>;
};

/// A monotonic clock that can sleep, and the wall clock for the timestamps of claims.
template <class T>
concept claim_clock = base::clock_source<T> && requires(T& clock, base::milliseconds duration)
{
    clock.sleep_for(duration);
    {
        clock.unix_seconds()
        } -> std::convertible_to<std::int64_t>;
};

/// Limits of at-most-once execution. The entry process uses the defaults.
struct claim_settings
{
    std::string node;
    /// Maximum number of open claims in a process. Each may hold a response body of up to 64 KiB
    /// until it is recorded, so 1,024 claims take at most 64 MB of memory.
    std::size_t maximum_open_claims = 1024;
    /// Maximum number of writes with which an attempt tries to obtain its claim.
    int maximum_claim_writes = 3;
    /// Time without a response after which a peer counts as dead and the outcome as unknown.
    base::milliseconds peer_timeout{2000};
    /// Interval at which the owner of a claim is queried. It doubles up to the maximum.
    base::milliseconds initial_poll_interval{20};
    base::milliseconds maximum_poll_interval{500};
    /// Maximum background attempts to record an outcome: about an hour at the maximum delay of
    /// 30 s.
    int maximum_background_attempts = 120;
    base::milliseconds maximum_background_delay{30000};
};

} // namespace jasminepier::claims
