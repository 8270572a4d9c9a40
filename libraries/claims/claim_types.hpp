/// Requests, answers and environment of the claim code.
#pragma once

#include "base/clock.hpp"
#include "claims/claim.hpp"
#include "claims/claim_table.hpp"

#include <concepts>
#include <string>
#include <variant>

namespace jasminepier::claims
{

/// One attempt of a caller to have an order run.
struct claim_request
{
    std::string name;
    std::string request_hash;
    /// The caller waits no longer than this.
    base::time_point deadline;
};

/// A claim that this process holds; only the holder dispatches.
struct owned_claim
{
    claim_request request;
    std::string nonce;
    std::int64_t version = 0;
};

/// The recorded or fresh answer of the service.
struct service_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// True when the answer was too large to be kept for repetition.
    bool body_omitted = false;
    /// True when the answer belongs to an earlier attempt.
    bool replayed = false;
};

/// What the caller is told: the service's answer, or an error whose kind says what was executed.
using execution_result = std::variant<service_response, base::error>;

/// What the dispatcher knows after the exchange with the service.
enum class dispatch_status
{
    responded,
    /// No byte of the call left this process.
    not_sent,
    /// The call may have run.
    unknown,
};

struct dispatch_result
{
    dispatch_status status = dispatch_status::unknown;
    service_response response;
    /// Reason when the status is not `answered`.
    base::error failure;
};

/// Sends the call to the service, at most once. Called without any lock held.
template <class T>
concept dispatcher = requires(T& dispatch)
{
    {
        dispatch()
        } -> std::same_as<dispatch_result>;
};

/// Asks the node that holds a claim. Fails with server_unreachable.
template <class T>
concept claim_peers = requires(T& peers, std::string const& text)
{
    {
        peers.query_progress(text, text, text)
        } -> std::same_as<base::result<claim_progress>>;
};

/// Monotonic time, waiting, and the wall clock that claims are stamped with.
template <class T>
concept claim_clock = base::clock_source<T> && requires(T& clock, base::milliseconds duration)
{
    clock.sleep_for(duration);
    {
        clock.unix_seconds()
        } -> std::convertible_to<std::int64_t>;
};

/// Limits of the claim code; the defaults are those of the programs.
struct claim_settings
{
    std::string node;
    /// Claims open in one process. An answer of up to 64 KiB may wait in each for the platform, so
    /// that 1,024 take at most 64 MB of the entry process.
    std::size_t maximum_open_claims = 1024;
    /// Writes that one attempt spends on getting its claim before it gives up.
    int maximum_claim_writes = 3;
    /// A peer that has not answered for this long is taken for dead; the outcome is unknown then.
    base::milliseconds peer_timeout{2000};
    base::milliseconds initial_poll_interval{20};
    base::milliseconds maximum_poll_interval{500};
    /// Background attempts on one claim; with the longest pause of 30 s this is about an hour.
    int maximum_background_attempts = 120;
    base::milliseconds maximum_background_delay{30000};
};

} // namespace jasminepier::claims
