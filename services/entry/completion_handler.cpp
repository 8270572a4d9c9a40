#include "services/entry/completion_handler.hpp"

#include "backend/event_stream.hpp"
#include "backend/http_exchange.hpp"
#include "base/hash.hpp"
#include "services/entry/chat_request.hpp"
#include "services/entry/entry_metrics.hpp"

namespace jasminepier::entry
{
namespace
{

/// Ends the attempt on every way out.
class attempt_hold
{
public:
    attempt_hold(entry_state& state, std::uint64_t ticket) : m_state(state), m_ticket(ticket) {}
    attempt_hold(attempt_hold const&) = delete;
    attempt_hold& operator=(attempt_hold const&) = delete;
    ~attempt_hold() { m_state.finish(m_ticket, m_outcome); }

    /// Records one token of the stream.
    void note_token() { m_state.note_tokens(m_ticket); }
    void set_outcome(attempt_outcome outcome) noexcept { m_outcome = outcome; }

private:
    entry_state& m_state;
    std::uint64_t m_ticket;
    attempt_outcome m_outcome = attempt_outcome::failed;
};

base::result<void> relay_stream(backend::http_exchange& exchange, attempt_hold& hold,
                                http_response& response)
{
    response.setContentType("text/event-stream");
    response.set("Cache-Control", "no-cache");
    response.setChunkedTransferEncoding(true);
    auto& out = response.send();
    backend::event_reader events(exchange.body());
    bool complete = false;
    while (auto event = events.next())
    {
        out << "data: " << event->data << "\n\n";
        out.flush();
        complete = event->data == "[DONE]";
        if (complete)
            break;
        observe_token();
        hold.note_token();
    }
    hold.set_outcome(complete ? attempt_outcome::completed : attempt_outcome::failed);
    if (!complete)
    {
        observe_failure(base::error_kind::generation_lost);
        out << "data: "
            << base::write_json(error_body(
                   {base::error_kind::generation_lost, "the engine ended the stream early"}))
            << "\n\n";
    }
    out.flush();
    return {};
}

base::result<void> relay_whole(backend::http_exchange& exchange, attempt_hold& hold,
                               chat_request const& chat, std::string const& request_id,
                               http_response& response)
{
    backend::event_reader events(exchange.body());
    std::string text;
    base::json_object last;
    while (auto event = events.next())
    {
        if (event->data == "[DONE]")
        {
            base::json_object message = new Poco::JSON::Object;
            message->set("role", "assistant");
            message->set("content", text);
            base::json_object choice = new Poco::JSON::Object;
            choice->set("index", 0);
            choice->set("message", message);
            choice->set("finish_reason", "stop");
            base::json_array choices = new Poco::JSON::Array;
            choices->add(choice);
            base::json_object body = new Poco::JSON::Object;
            body->set("id", request_id);
            body->set("object", "chat.completion");
            body->set("model", chat.model);
            body->set("choices", choices);
            if (last && last->has("usage"))
                body->set("usage", last->get("usage"));
            hold.set_outcome(attempt_outcome::completed);
            send_json(response, 200, body);
            return {};
        }
        observe_token();
        hold.note_token();
        BOOST_LEAF_ASSIGN(last, base::parse_json_object(event->data));
        auto choices = last->getArray("choices");
        auto choice = choices ? choices->getObject(0) : nullptr;
        auto delta = choice ? choice->getObject("delta") : nullptr;
        if (delta)
            text += delta->optValue<std::string>("content", "");
    }
    return base::fail(base::error_kind::generation_lost, "the engine ended the stream early");
}

} // namespace

base::result<void> serve_completion(entry_state& state, configuration::customer const& customer,
                                    http_request& request, http_response& response)
{
    BOOST_LEAF_AUTO(body, read_body(request));
    BOOST_LEAF_AUTO(chat, parse_chat_request(body));
    auto const snapshot = state.snapshot();
    auto const* service = snapshot->find_model_service(chat.model);
    if (service == nullptr)
        return base::fail(base::error_kind::not_found, "unknown model '" + chat.model + "'");
    BOOST_LEAF_AUTO(kind,
                    configuration::parse_work_kind(request.get(
                        "Jasminepier-Work-Kind", std::string(to_string(customer.default_kind)))));
    auto const request_id = base::random_id();
    response.set("X-Request-Id", request_id);
    observe_request(request_id, customer.name, kind, chat.model);
    acquire_request wanted{service->name, chat.model, customer.name, kind, request_id};
    // About four characters make a token.
    wanted.prompt_tokens = static_cast<std::int64_t>(chat.prompt.size() / 4 + 1);
    wanted.maximum_tokens = chat.maximum_tokens;
    wanted.prefix_hash = base::stable_hash(std::string_view(chat.prompt).substr(0, 1024));
    BOOST_LEAF_AUTO(server, state.acquire(wanted));
    attempt_hold hold(state, server.ticket);
    backend::http_exchange exchange({server.host, server.port}, {});
    backend::backend_request forwarded{"POST", "/v1/chat/completions", {}, chat.engine_body};
    forwarded.headers["Content-Type"] = "application/json";
    forwarded.headers["X-Generation-Id"] = request_id;
    forwarded.headers["X-Priority"] = std::to_string(server.priority);
    BOOST_LEAF_CHECK(exchange.send(forwarded));
    BOOST_LEAF_AUTO(status, exchange.receive_status());
    if (status != 200)
        return base::fail(base::error_kind::server_failed,
                          "the engine answered with status " + std::to_string(status));
    if (chat.mode == answer_mode::stream)
        return relay_stream(exchange, hold, response);
    return relay_whole(exchange, hold, chat, request_id, response);
}

} // namespace jasminepier::entry
