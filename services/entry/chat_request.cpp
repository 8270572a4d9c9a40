#include "services/entry/chat_request.hpp"

#include <algorithm>
#include <sstream>

namespace jasminepier::entry
{
namespace
{

std::string parts_to_text(base::json_array const& parts)
{
    std::ostringstream text;
    parts->stringify(text);
    return text.str();
}

/// Returns the requested output length in tokens, or 0 if the request has no limit.
base::result<std::int64_t> read_maximum_tokens(base::json_object const& source)
{
    for (char const* name : {"max_completion_tokens", "max_tokens"})
    {
        BOOST_LEAF_AUTO(tokens, base::read_integer_or(source, name, 0));
        if (tokens < 0)
            return base::fail(base::error_kind::bad_request,
                              "member '" + std::string(name) + "' must not be negative");
        if (tokens > 0)
            return tokens;
    }
    return std::int64_t{0};
}

/// `source` has a valid list of messages.
std::vector<std::string> read_shared_messages(base::json_object const& source)
{
    auto const messages = source->getArray("messages");
    std::vector<std::string> shared;
    shared.reserve(messages->size());
    for (unsigned i = 0; i + 1 < messages->size(); ++i)
        shared.push_back(base::write_json(messages->getObject(i)));
    return shared;
}

base::result<std::string> read_prompt(base::json_object const& source)
{
    auto messages = source->getArray("messages");
    if (!messages || messages->empty())
        return base::fail(base::error_kind::bad_request,
                          "member 'messages' must be a list of messages");
    std::string prompt;
    for (std::size_t i = 0; i < messages->size(); ++i)
    {
        auto message = messages->getObject(static_cast<unsigned>(i));
        if (!message)
            return base::fail(base::error_kind::bad_request, "each message must be an object");
        BOOST_LEAF_CHECK(base::read_string(message, "role"));
        // Content may be a string, a list of parts, or absent in messages with tool calls.
        auto const content = message->get("content");
        if (content.isString())
            prompt += content.convert<std::string>();
        else if (auto parts = message->getArray("content"))
            prompt += parts_to_text(parts);
        else if (!content.isEmpty())
            return base::fail(base::error_kind::bad_request,
                              "member 'content' must be a string or a list of parts");
        prompt += '\n';
    }
    return prompt;
}

} // namespace

base::result<chat_request> parse_chat_request(std::string_view body, std::int64_t maximum_output)
{
    BOOST_LEAF_AUTO(source, base::parse_json_object(body));
    chat_request parsed;
    BOOST_LEAF_ASSIGN(parsed.model, base::read_string(source, "model"));
    BOOST_LEAF_ASSIGN(parsed.prompt, read_prompt(source));
    parsed.shared_messages = read_shared_messages(source);
    BOOST_LEAF_AUTO(streamed, base::read_bool_or(source, "stream", false));
    parsed.mode = streamed ? response_mode::stream : response_mode::complete;
    BOOST_LEAF_AUTO(choice_count, base::read_integer_or(source, "n", 1));
    if (choice_count != 1)
        return base::fail(base::error_kind::bad_request, "member 'n' must be 1");
    BOOST_LEAF_AUTO(requested, read_maximum_tokens(source));
    parsed.maximum_tokens = requested == 0 ? maximum_output : std::min(requested, maximum_output);
    source->remove("max_completion_tokens");
    source->set("max_tokens", parsed.maximum_tokens);
    source->set("stream", true);
    parsed.engine_body = base::write_json(source);
    return parsed;
}

} // namespace jasminepier::entry
