/// A caller's chat completion request.
#pragma once

#include "configuration/types.hpp"

#include <string>
#include <string_view>

namespace jasminepier::entry
{

enum class answer_mode
{
    whole,
    stream,
};

struct chat_request
{
    std::string model;
    /// The text of all messages, for length and prefix estimates.
    std::string prompt;
    answer_mode mode = answer_mode::whole;
    std::int64_t maximum_tokens = 0;
    /// The body as received, with `stream` set, for the engine.
    std::string engine_body;
};

/// Fails with bad_request and names the offending member.
base::result<chat_request> parse_chat_request(std::string_view body);

} // namespace jasminepier::entry
