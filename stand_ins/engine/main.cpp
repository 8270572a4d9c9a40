/// A stand-in model engine. `POST /stand-in/faults` with {"turn_cold":true}, {"leaving":true} or
/// {"crash":true} brings about a fault, {"reclaim_in_milliseconds":N} announces the end of the
/// server, {"freeze_milliseconds":N} stops the decoding for a while, and the members of
/// `stream_faults` strike the next stream; a prompt that contains `crash-the-engine` crashes it.
#include "base/hash.hpp"
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "stand_ins/engine/engine_host.hpp"
#include "stand_ins/engine/stream_faults.hpp"
#include "stand_ins/http_program.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <chrono>
#include <thread>

namespace jasminepier::stand_ins
{
namespace
{

std::string prompt_of(base::json_object const& body)
{
    std::string prompt;
    auto messages = body->getArray("messages");
    for (std::size_t i = 0; messages && i < messages->size(); ++i)
        if (auto message = messages->getObject(static_cast<unsigned>(i)))
            prompt += message->optValue<std::string>("content", "") + "\n";
    return prompt;
}

base::json_object chunk(std::string const& id, std::string const& model, std::size_t index,
                        std::string const& content)
{
    base::json_object delta = make_object("content", content);
    base::json_object choice = make_object("index", 0);
    choice->set("delta", delta);
    choice->set("finish_reason", Poco::Dynamic::Var());
    base::json_array choices = new Poco::JSON::Array;
    choices->add(choice);
    base::json_object event = make_object("id", id);
    event->set("object", "chat.completion.chunk");
    event->set("model", model);
    event->set("token_index", static_cast<Poco::UInt64>(index));
    event->set("choices", choices);
    return event;
}

base::json_object usage_of(std::int64_t prompt_tokens, std::size_t completion_tokens)
{
    base::json_object usage = make_object("prompt_tokens", prompt_tokens);
    usage->set("completion_tokens", static_cast<Poco::UInt64>(completion_tokens));
    usage->set("total_tokens", prompt_tokens + static_cast<std::int64_t>(completion_tokens));
    return usage;
}

stream_faults& next_faults()
{
    static stream_faults faults;
    return faults;
}

/// Returns false when a fault ends the stream before the event `index`.
bool send_event(http_request& request, std::ostream& out, std::size_t index,
                base::json_object const& event)
{
    auto& faults = next_faults();
    if (stream_faults::strikes(faults.cut_at, index))
    {
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
        return false;
    }
    if (stream_faults::strikes(faults.stall_at, index))
    {
        std::this_thread::sleep_for(std::chrono::seconds(60));
        return false;
    }
    if (stream_faults::strikes(faults.skip_at, index))
        return true;
    auto const text = base::write_json(event);
    if (stream_faults::strikes(faults.cross_at, index))
    {
        auto crossed = base::parse_json_object(text).value();
        crossed->set("id", "another-generation");
        out << "data: " << base::write_json(crossed) << "\n\n";
    }
    out << "data: " << text << "\n\n";
    if (stream_faults::strikes(faults.duplicate_at, index))
        out << "data: " << text << "\n\n";
    out.flush();
    return out.good();
}

void stream_from(engine_host& host, http_request& request, http_response& response,
                 std::string const& id, std::string const& model, std::size_t index)
{
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    auto& out = response.send();
    out.flush();
    while (auto token = host.wait_for_token(id, index))
    {
        if (!send_event(request, out, index, chunk(id, model, index, *token)))
            return;
        ++index;
    }
    // A cancelled generation has no end; its readers lose the connection.
    if (!host.finished(id))
    {
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
        return;
    }
    auto last = chunk(id, model, index, "");
    last->getArray("choices")->getObject(0)->set("finish_reason", "stop");
    last->set("usage", usage_of(host.prompt_tokens(id), index));
    if (send_event(request, out, index, last))
        out << "data: [DONE]\n\n";
    out.flush();
}

void complete(engine_host& host, http_request& request, http_response& response)
{
    auto const body = parse_or_empty(read_body(request));
    auto const prompt = prompt_of(body);
    if (prompt.find("crash-the-engine") != std::string::npos)
        std::_Exit(71);
    auto const id = request.get("X-Generation-Id", base::random_id());
    auto const model = body->optValue<std::string>("model", "");
    host.start(id, prompt, std::atoi(request.get("X-Priority", "1").c_str()),
               body->optValue<Poco::Int64>("max_tokens", 1 << 20));
    struct reader
    {
        engine_host& host;
        std::string const& id;
        ~reader() { host.detach(id); }
    } const attached{host, id};
    stream_from(host, request, response, id, model, 0);
}

void resume(engine_host& host, http_request& request, http_response& response,
            std::string const& id)
{
    std::size_t from = 0;
    for (auto const& [name, value] : Poco::URI(request.getURI()).getQueryParameters())
        if (name == "from")
            from = static_cast<std::size_t>(std::atoll(value.c_str()));
    if (!host.attach(id))
    {
        send_json(response, 404, make_object("error", "unknown generation"));
        return;
    }
    struct reader
    {
        engine_host& host;
        std::string const& id;
        ~reader() { host.detach(id); }
    } const attached{host, id};
    stream_from(host, request, response, id, "", from);
}

void apply_fault(engine_host& host, base::json_object const& fault)
{
    next_faults().set(fault);
    if (auto const time = fault->optValue<int>("freeze_milliseconds", 0))
        host.freeze(std::chrono::milliseconds(time));
    if (auto const time = fault->optValue<int>("reclaim_in_milliseconds", 0))
    {
        host.set_leaving();
        std::thread(
            [time]
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(time));
                std::_Exit(73);
            })
            .detach();
    }
    if (fault->optValue("turn_cold", false))
        host.turn_cold();
    if (fault->optValue("leaving", false))
        host.set_leaving();
    if (fault->optValue("crash", false))
        std::_Exit(72);
}

void serve(engine_host& host, http_request& request, http_response& response)
{
    std::string const path = Poco::URI(request.getURI()).getPath();
    std::string const generation_prefix = "/v1/generations/";
    if (path == "/v1/chat/completions")
        return complete(host, request, response);
    if (path == "/load")
        return send_json(response, 200, host.load());
    if (path == "/orders" && request.getMethod() == "GET")
        return send_json(response, 200, host.orders());
    if (path == "/orders")
        return send_json(response, host.accept_order(parse_or_empty(read_body(request))),
                         new Poco::JSON::Object);
    if (path == "/stand-in/faults")
    {
        apply_fault(host, parse_or_empty(read_body(request)));
        return send_json(response, 200, new Poco::JSON::Object);
    }
    if (path.starts_with(generation_prefix))
    {
        auto const id = path.substr(generation_prefix.size());
        if (request.getMethod() == "DELETE")
            return send_json(response, host.cancel(id) ? 200 : 404, new Poco::JSON::Object);
        return resume(host, request, response, id);
    }
    send_json(response, 404, make_object("error", "not found"));
}

} // namespace
} // namespace jasminepier::stand_ins

int main(int argc, char** argv)
{
    using namespace jasminepier;
    base::block_process_signals();
    base::settings_parser parser("Stand-in model engine for tests", "stand-in-engine");
    std::string host = "127.0.0.1";
    std::uint16_t port = 9100;
    std::string models = "demo";
    bool enforces_fencing = false;
    stand_ins::engine_model_settings settings;
    parser.add("host", host, "Address to listen on");
    parser.add("port", port, "Port to listen on");
    parser.add("models", models, "The model that is loaded at the start");
    parser.add("enforce-fencing", enforces_fencing, "Refuse orders with an old fencing number");
    parser.add("kv-capacity-tokens", settings.kv_capacity_tokens, "Tokens that fit in memory");
    parser.add("max-running", settings.max_running, "Largest batch");
    parser.add("step-milliseconds", settings.step_milliseconds, "Duration of a decode step");
    parser.add("cold-capacity", settings.cold_capacity, "Generations a cold engine can run");
    parser.add("starts-cold", settings.starts_cold, "Start cold");
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    stand_ins::engine_host engine(settings, {models}, enforces_fencing);
    stand_ins::http_program const server(host, port,
                                         [&](auto& request, auto& response)
                                         { stand_ins::serve(engine, request, response); });
    base::wait_for_shutdown_signal();
    std::_Exit(0);
}
