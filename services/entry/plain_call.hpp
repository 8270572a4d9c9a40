/// Parsing of callers' requests to plain services.
#pragma once

#include "backend/http_exchange.hpp"
#include "base/clock.hpp"
#include "configuration/snapshot.hpp"
#include "services/entry/http_messages.hpp"

#include <string>

namespace jasminepier::entry
{

/// How often a call may run, which determines whether it is retried.
enum class call_semantics
{
    /// May run any number of times: retried and hedged.
    idempotent,
    /// Sent at most once, but not deduplicated: if the caller sends it again, it runs again.
    unkeyed,
    /// Runs at most once per idempotency key.
    keyed,
};

struct plain_call
{
    std::string service;
    std::string customer;
    std::string idempotency_key;
    std::string request_id;
    backend::backend_request forwarded;
    call_semantics semantics = call_semantics::unkeyed;
    base::time_point deadline;

    base::milliseconds time_left() const
    {
        return std::chrono::duration_cast<base::milliseconds>(deadline -
                                                              base::steady_clock_source{}.now());
    }
};

/// Fails with not_found, bad_request, payload_too_large or idempotency_key_required.
base::result<plain_call> parse_plain_call(configuration::snapshot const& snapshot,
                                          configuration::customer const& customer,
                                          http_request& request);

/// Hashes what must be equal for two calls with one idempotency key to be the same call.
std::string request_hash(plain_call const& call);

} // namespace jasminepier::entry
