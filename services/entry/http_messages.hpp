/// Writing of answers to callers.
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

/// Largest request body accepted from a caller, bytes.
inline constexpr std::size_t maximum_body_bytes = 4U << 20U;

/// Longest time for a body to arrive; a caller that sends byte by byte must not hold a worker.
inline constexpr std::chrono::seconds maximum_body_time{30};

void send_json(http_response& response, int status, base::json_object const& body);

/// Sends the answer that the error table gives for the failure's kind.
void send_error(http_response& response, base::error const& failure);

/// Returns the body of an error answer.
base::json_object error_body(base::error const& failure);

/// Reads the request's body. Fails with payload_too_large, and with bad_request when it is cut off
/// or slow.
base::result<std::string> read_body(http_request& request);

/// Reads and drops what is left of the body, within limits. Closing a connection with unread bytes
/// would reset it, and the caller would lose the answer.
void discard_body(http_request& request);

} // namespace jasminepier::entry
