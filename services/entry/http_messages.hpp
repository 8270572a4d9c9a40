/// Reading of request bodies from callers and writing of responses to them.
#pragma once

#include "base/error.hpp"
#include "base/json.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <chrono>
#include <string>

namespace jasminepier::entry
{

using http_request = Poco::Net::HTTPServerRequest;
using http_response = Poco::Net::HTTPServerResponse;

/// Maximum size of a caller's request body.
inline constexpr std::size_t maximum_body_bytes = 4U << 20U;

/// Maximum time to receive a body, so that a slow sender cannot occupy a worker.
inline constexpr std::chrono::seconds maximum_body_time{30};

void send_json(http_response& response, int status, base::json_object const& body);

/// Sends the error response that the error table defines for the failure's kind.
void send_error(http_response& response, base::error const& failure);

/// Returns the body of an error response.
base::json_object error_body(base::error const& failure);

/// Reads the request's body. Fails with payload_too_large, or with bad_request if the body is
/// truncated or arrives too slowly.
base::result<std::string> read_body(http_request& request);

/// Reads and discards the rest of the body, within limits. Closing a connection with unread bytes
/// resets it, and the caller would lose the response.
void discard_body(http_request& request);

} // namespace jasminepier::entry
