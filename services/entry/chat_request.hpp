/// Parsing of chat completion requests.
#pragma once

#include "configuration/types.hpp"

#include <string>
#include <string_view>
#include <vector>

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
    /// The text of all messages, used to estimate the length and to match prefixes.
    std::string prompt;
    /// All messages except the last one, each as JSON. Other requests may share them.
    std::vector<std::string> shared_messages;
    response_mode mode = response_mode::complete;
    std::int64_t maximum_tokens = 0;
    /// The received body with `stream` and `max_tokens` set, as sent to the engine. It does not
    /// depend on whether the caller asked for a stream.
    std::string engine_body;
};

/// Limits the output to `maximum_output` tokens. Fails with bad_request and a message that names
/// the invalid member.
base::result<chat_request> parse_chat_request(std::string_view body, std::int64_t maximum_output);

} // namespace jasminepier::entry
