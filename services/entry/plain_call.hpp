/// A caller's request to a plain service.
#pragma once

#include "backend/http_exchange.hpp"
#include "base/clock.hpp"
#include "configuration/snapshot.hpp"
#include "services/entry/http_messages.hpp"

#include <string>

namespace jasminepier::entry
{

/// How often the system may send a call.
enum class call_semantics
{
    /// Retried and hedged.
    idempotent,
    /// Sent at most once; a caller that sends it again has it run again.
    unkeyed,
    /// Runs at most once for its key.
    keyed,
};

struct plain_call
{
    std::string service;
    std::string customer;
    std::string key;
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

/// Hash of everything that makes two calls with one key the same call.
std::string request_hash(plain_call const& call);

} // namespace jasminepier::entry
