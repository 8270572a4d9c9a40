/// What a caller's request says about itself.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace jasminepier::serving
{

/// The decoded header of one request. Each attempt of a caller is a request of its own.
struct request_metadata
{
    std::string request_id;
    /// Without port, in lower case.
    std::string host;
    std::string api_key;
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    /// The caller's estimate, right at the median and often far off.
    std::optional<std::int64_t> estimated_output_tokens;
    /// How long the caller waits from now on.
    std::optional<base::milliseconds> timeout;
    /// The caller continues a stream behind this event.
    std::string last_event_id;
};

/// What a node adds to a request when it sends it to a server.
struct forwarded_metadata
{
    /// Name of the customer that holds the request's key; empty without customers.
    std::string customer;
    /// The server refuses the request when it is not the one of this id.
    std::string server_id;
    base::milliseconds time_left{0};
    /// 0 is the most urgent, 9 the least.
    int urgency = 5;
    /// Continue behind this event; empty for the caller's own value.
    std::string resume_after;
    /// IP:PORT/HANDLE of the copy from which the run goes on; empty for a run from the start.
    std::string continue_from;
};

/// What a server's answer says beside status and body.
struct response_metadata
{
    std::string request_id;
    /// The server signed the answer, so a success is genuine.
    bool has_signature = false;
    /// The server promises that the request did not run and will not.
    bool declined = false;
    /// The body is encoded, so it is not the server's plain answer.
    bool encoded = false;
    /// Another server has the address.
    bool wrong_server = false;
    /// Requests running and waiting and the places, when the server tells them.
    std::optional<int> running;
    std::optional<int> waiting;
    /// Seconds for which the server keeps an idle connection, when it says so.
    std::optional<int> keep_alive_seconds;
};

} // namespace jasminepier::serving
