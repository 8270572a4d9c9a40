/// Metadata of requests and responses, independent of the header fields that carry it.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::serving
{

/// Metadata of a caller's request. A retry by the caller is a separate request.
struct request_metadata
{
    std::string request_id;
    /// In lower case, without the port.
    std::string host;
    std::string api_key;
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    /// The caller's estimate; accurate at the median, but single estimates are often far off.
    std::optional<std::int64_t> estimated_output_tokens;
    /// Ids of the prompt's parts that other requests may share, in order; the last part is left
    /// out.
    std::vector<std::string> shared_prompt_parts;
    /// How long the caller waits, from the arrival of the request.
    std::optional<base::milliseconds> timeout;
    /// The caller resumes a stream after this event; empty for a new stream.
    std::string last_event_id;
    /// Id of the request that brought the first event of the resumed stream; empty if not stated.
    std::string resumed_request_id;

    bool resumes_stream() const noexcept
    {
        return !last_event_id.empty() || !resumed_request_id.empty();
    }
};

/// Metadata that a node adds to a request that it forwards to a server.
struct forwarded_metadata
{
    /// Customer that the request's API key belongs to; empty if no customers are configured.
    std::string customer;
    /// A server with another id declines the request.
    std::string server_id;
    base::milliseconds time_left{0};
    /// 0 is the most urgent, 9 the least.
    int urgency = 5;
    /// Event after which the stream resumes; if empty, the caller's value is forwarded.
    std::string resume_after;
    /// IP:PORT/HANDLE of the copy that the generation continues from; empty for a generation from
    /// the start.
    std::string continue_from;
};

/// Metadata of a server's response.
struct response_metadata
{
    std::string request_id;
    /// A response that reports success is only valid with a signature.
    bool has_signature = false;
    /// The server guarantees that it did not run the request and will not run it.
    bool declined = false;
    /// It declined because it has no room at the moment.
    bool full = false;
    /// The body has a content encoding. Servers send plain bodies, so the response isn't theirs.
    bool encoded = false;
    /// A server with another id has the address now.
    bool wrong_server = false;
    /// Running and queued requests, if the server reports them.
    std::optional<int> running;
    std::optional<int> waiting;
    /// Time that work takes on the server's VM at the moment, in percent of the usual time, if the
    /// server states it.
    std::optional<int> pace_percent;
    /// Seconds after which the server closes an idle connection, if the server reports them.
    std::optional<int> keep_alive_seconds;
    /// The server says that it is about to stop.
    bool server_leaving = false;
    /// How long the server wants no more requests from this node, if it rejects one for that
    /// reason.
    std::optional<base::milliseconds> pause;
    /// Requests per second that the server accepts from all nodes together, if it states a limit.
    std::optional<double> request_rate_limit;
};

} // namespace jasminepier::serving
