#include "services/entry/chat_request.hpp"

namespace jasminepier::entry
{
namespace
{

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
        auto const content = message->get("content");
        // Content that is a list of parts is passed on as it is.
        prompt += content.isString() ? content.convert<std::string>() : content.toString();
        prompt += '\n';
    }
    return prompt;
}

} // namespace

base::result<chat_request> parse_chat_request(std::string_view body)
{
    BOOST_LEAF_AUTO(source, base::parse_json_object(body));
    chat_request parsed;
    BOOST_LEAF_ASSIGN(parsed.model, base::read_string(source, "model"));
    BOOST_LEAF_ASSIGN(parsed.prompt, read_prompt(source));
    BOOST_LEAF_AUTO(streamed, base::read_bool_or(source, "stream", false));
    parsed.mode = streamed ? answer_mode::stream : answer_mode::whole;
    BOOST_LEAF_ASSIGN(parsed.maximum_tokens, base::read_integer_or(source, "max_tokens", 0));
    if (parsed.maximum_tokens < 0)
        return base::fail(base::error_kind::bad_request,
                          "member 'max_tokens' must not be negative");
    source->set("stream", true);
    parsed.engine_body = base::write_json(source);
    return parsed;
}

} // namespace jasminepier::entry
