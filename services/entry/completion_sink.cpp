#include "services/entry/completion_sink.hpp"

#include "services/entry/caller_connection.hpp"

#include <Poco/JSON/Parser.h>

namespace jasminepier::entry
{
namespace
{

/// Interval of the comments that keep proxies from closing an idle stream.
constexpr std::chrono::seconds comment_interval{5};

/// Returns true for string members that a delta replaces instead of extending.
bool is_replaced(std::string const& name)
{
    return name == "role" || name == "id" || name == "type" || name == "index";
}

base::json_object find_by_index(Poco::JSON::Array& list, int index)
{
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        auto entry = list.getObject(static_cast<unsigned>(i));
        if (entry && entry->optValue<int>("index", -1) == index)
            return entry;
    }
    base::json_object added = new Poco::JSON::Object;
    added->set("index", index);
    list.add(added);
    return added;
}

void merge_list(Poco::JSON::Object& message, std::string const& name,
                base::json_array const& additions)
{
    auto list = message.getArray(name);
    if (!list)
    {
        list = new Poco::JSON::Array;
        message.set(name, list);
    }
    for (std::size_t i = 0; i < additions->size(); ++i)
        if (auto addition = additions->getObject(static_cast<unsigned>(i)))
            merge_delta(*find_by_index(*list, addition->optValue<int>("index", 0)), addition);
}

} // namespace

void merge_delta(Poco::JSON::Object& message, base::json_object const& delta)
{
    for (auto const& [name, value] : *delta)
    {
        if (value.isEmpty())
            continue;
        if (auto list = delta->getArray(name))
            merge_list(message, name, list);
        else if (auto object = delta->getObject(name))
        {
            if (!message.isObject(name))
                message.set(name, base::json_object(new Poco::JSON::Object));
            merge_delta(*message.getObject(name), object);
        }
        else if (value.isString() && !is_replaced(name))
            message.set(name,
                        message.optValue<std::string>(name, "") + value.convert<std::string>());
        else
            message.set(name, value);
    }
}

std::string stream_sink::event_id(std::int64_t delivered, std::uint64_t digest, bool complete) const
{
    if (m_context.event_id_key.empty())
        return {};
    stream_position position;
    position.server_hash = base::stable_hash(m_transport.server());
    position.generation_id = m_transport.generation_id();
    position.expiry_seconds = base::unix_seconds() + event_id_lifetime_seconds;
    position.delivered = delivered;
    position.digest = digest;
    position.complete = complete;
    return "id: " + sign_event_id(m_context.event_id_key, m_context.scope, position) + "\n";
}

std::string stream_sink::chunk_prefix() const
{
    base::json_object prefix = new Poco::JSON::Object;
    prefix->set("id", m_context.request_id);
    prefix->set("object", "chat.completion.chunk");
    prefix->set("created", m_context.created_seconds);
    prefix->set("model", m_context.scope.model);
    auto text = base::write_json(prefix);
    text.pop_back();
    return text;
}

bool stream_sink::begin_response(std::int64_t delivered, std::uint64_t digest)
{
    // Clients decode every event as JSON, so the event with the first id has an empty delta instead
    // of no data.
    m_first_event = event_id(delivered, digest, false) + "data: " + chunk_prefix() +
                    R"(,"choices":[{"index":0,"delta":{"role":"assistant","content":""},)"
                    R"("finish_reason":null}]})"
                    "\n\n";
    return m_out == nullptr || start();
}

bool stream_sink::start()
{
    if (m_out == nullptr)
    {
        m_response.setContentType("text/event-stream");
        m_response.set("Cache-Control", "no-cache");
        m_response.setChunkedTransferEncoding(true);
        m_out = &m_response.send();
    }
    return m_first_event.empty() || write(std::exchange(m_first_event, {}));
}

bool stream_sink::write(std::string const& text)
{
    try
    {
        *m_out << text;
        m_out->flush();
        m_last_write = std::chrono::steady_clock::now();
        return m_out->good();
    }
    catch (std::exception const&)
    {
        // The caller closed the connection or stopped reading.
        return false;
    }
}

bool stream_sink::deliver(decision::generation_token const& token, std::uint64_t digest)
{
    return start() && write(event_id(token.index + 1, digest, token.is_last) + "data: " +
                            chunk_prefix() + ",\"token_index\":" + std::to_string(token.index) +
                            ",\"choices\":" + token.payload + token.extra_members + "}\n\n");
}

bool stream_sink::keep_alive()
{
    if (caller_disconnected(m_request) || !start())
        return false;
    if (std::chrono::steady_clock::now() - m_last_write < comment_interval)
        return true;
    // No empty line follows, since some clients would parse it as an event without data.
    return write(": waiting\n");
}

bool stream_sink::finish()
{
    return start() && write("data: [DONE]\n\n");
}

void stream_sink::write_error(base::error const& failure, std::int64_t delivered)
{
    auto body = error_body(failure);
    body->getObject("error")->set("delivered_tokens", delivered);
    if (start())
        write("data: " + base::write_json(body) + "\n\n");
}

bool buffered_sink::deliver(decision::generation_token const& token, std::uint64_t)
{
    auto const choices =
        Poco::JSON::Parser().parse(token.payload).extract<Poco::JSON::Array::Ptr>();
    auto const choice = choices->getObject(0);
    if (auto delta = choice->getObject("delta"))
        merge_delta(*m_message, delta);
    if (token.is_last)
        m_finish_reason = choice->get("finish_reason");
    if (!token.extra_members.empty())
        m_usage = Poco::JSON::Parser()
                      .parse("{" + token.extra_members.substr(1) + "}")
                      .extract<Poco::JSON::Object::Ptr>()
                      ->get("usage");
    return true;
}

bool buffered_sink::keep_alive()
{
    return !caller_disconnected(m_request);
}

bool buffered_sink::finish()
{
    if (!m_message->has("role"))
        m_message->set("role", "assistant");
    base::json_object choice = new Poco::JSON::Object;
    choice->set("index", 0);
    choice->set("message", m_message);
    choice->set("finish_reason", m_finish_reason);
    base::json_array choices = new Poco::JSON::Array;
    choices->add(choice);
    base::json_object body = new Poco::JSON::Object;
    body->set("id", m_context.request_id);
    body->set("object", "chat.completion");
    body->set("created", m_context.created_seconds);
    body->set("model", m_context.scope.model);
    body->set("choices", choices);
    if (!m_usage.isEmpty())
        body->set("usage", m_usage);
    m_response.set("Jasminepier-Execution", "ran");
    send_json(m_response, 200, body);
    return true;
}

} // namespace jasminepier::entry
