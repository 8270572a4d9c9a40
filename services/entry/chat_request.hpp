/// A caller's chat completion request.
#pragma once

#include "configuration/types.hpp"

#include <string>
#include <string_view>

namespace jasminepier::entry
{

enum class response_mode
{
    complete,
    stream,
};

struct chat_request
{
    std::string model;
    /// The text of all messages, for length and prefix estimates.
    std::string prompt;
    response_mode mode = response_mode::complete;
    std::int64_t maximum_tokens = 0;
    /// The body as received, with `stream` and `max_tokens` set, for the engine. Equal requests
    /// have equal bodies, whether they ask for a stream or not.
    std::string engine_body;
};

/// Limits the output to `maximum_output` tokens. Fails with bad_request and names the offending
/// member.
base::result<chat_request> parse_chat_request(std::string_view body, std::int64_t maximum_output);

} // namespace jasminepier::entry
