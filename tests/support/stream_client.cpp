#include "tests/support/stream_client.hpp"

#include "base/json.hpp"

namespace jasminepier::tests
{

void received_completion::add_event(backend::server_sent_event const& event)
{
    if (!event.id.empty())
        last_event_id = event.id;
    if (event.data == "[DONE]")
    {
        done = true;
        return;
    }
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(object, base::parse_json_object(event.data));
            if (auto error = object->getObject("error"))
            {
                error_code = error->optValue<std::string>("code", "");
                error_delivered_tokens = error->optValue<Poco::Int64>("delivered_tokens", -1);
                return {};
            }
            if (!object->has("token_index"))
                return {};
            tokens.push_back(object->getValue<Poco::Int64>("token_index"));
            auto choice = object->getArray("choices")->getObject(0);
            text += choice->getObject("delta")->optValue<std::string>("content", "");
            return {};
        },
        [&](base::error const& failure) { error_code = failure.message; });
}

stream_client::stream_client(deployment& test_deployment, int node, std::string const& body,
                             std::map<std::string, std::string> headers)
    : m_exchange({test_deployment.host(), static_cast<std::uint16_t>(entry_port_base + node)}, {})
{
    headers.try_emplace("Authorization", "Bearer demo-key");
    m_status = base::handle(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_CHECK(m_exchange.send({"POST", "/v1/chat/completions", headers, body}));
            return m_exchange.receive_status();
        },
        [](base::error const&) { return 0; });
    if (m_status != 0)
        m_events = std::make_unique<backend::event_stream_reader>(m_exchange.body());
}

void stream_client::read(received_completion& completion, std::size_t tokens)
{
    while (!completion.done && (tokens == 0 || completion.tokens.size() < tokens) &&
           read_event(completion))
    {
    }
}

bool stream_client::read_event(received_completion& completion)
{
    completion.status = m_status;
    try
    {
        auto const event = m_events ? m_events->next() : std::nullopt;
        if (event)
            completion.add_event(*event);
        return event.has_value();
    }
    catch (std::exception const&)
    {
        // The connection was lost; `completion` keeps what was received.
        return false;
    }
}

std::string stream_body(int tokens, std::string const& prompt, bool streamed)
{
    return std::string(R"({"model":"demo","stream":)") + (streamed ? "true" : "false") +
           R"(,"messages":[{"role":"user","content":")" + prompt +
           " tokens=" + std::to_string(tokens) + "\"}]}";
}

std::string expected_text(int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += "w" + std::to_string(i) + " ";
    return text;
}

} // namespace jasminepier::tests
