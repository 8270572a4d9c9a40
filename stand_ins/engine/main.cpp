/// A stand-in model engine for tests. `POST /stand-in/faults` injects faults: {"turn_cold":true},
/// {"leaving":true} and {"crash":true} take effect at once, {"reclaim_in_milliseconds":N} reports
/// the server as leaving and ends the process after N milliseconds, {"freeze_milliseconds":N}
/// blocks the engine for N milliseconds, {"raw_answer":TEXT} starts generations and sends TEXT
/// instead of their streams, until it is set to "", and the members of `stream_faults` affect the
/// next stream that reaches their token index. A prompt that contains `crash-the-engine` crashes
/// the engine.
#include "base/hash.hpp"
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "stand_ins/engine/realtime_engine.hpp"
#include "stand_ins/engine/stream_faults.hpp"
#include "stand_ins/http_server.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <chrono>
#include <mutex>
#include <thread>

namespace jasminepier::stand_ins
{
namespace
{

std::string concatenate_messages(base::json_object const& body)
{
    std::string prompt;
    auto messages = body->getArray("messages");
    for (std::size_t i = 0; messages && i < messages->size(); ++i)
        if (auto message = messages->getObject(static_cast<unsigned>(i)))
            prompt += message->optValue<std::string>("content", "") + "\n";
    return prompt;
}

base::json_object make_chunk(std::string const& id, std::string const& model, std::size_t index,
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

base::json_object make_usage(std::int64_t prompt_tokens, std::size_t completion_tokens)
{
    base::json_object usage = make_object("prompt_tokens", prompt_tokens);
    usage->set("completion_tokens", static_cast<Poco::UInt64>(completion_tokens));
    usage->set("total_tokens", prompt_tokens + static_cast<std::int64_t>(completion_tokens));
    return usage;
}

/// The `raw_answer` fault; empty if it is not set.
struct raw_answer_fault
{
    std::mutex mutex;
    std::string bytes;
};

raw_answer_fault& raw_answer()
{
    static raw_answer_fault fault;
    return fault;
}

stream_faults& pending_faults()
{
    static stream_faults faults;
    return faults;
}

/// Sends the event `index`, with the faults set for it. Returns false if the stream has ended.
bool send_event(http_request& request, std::ostream& out, std::size_t index,
                base::json_object const& event)
{
    auto& faults = pending_faults();
    if (stream_faults::try_trigger(faults.cut_at, index))
    {
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
        return false;
    }
    if (stream_faults::try_trigger(faults.stall_at, index))
    {
        std::this_thread::sleep_for(std::chrono::seconds(60));
        return false;
    }
    if (stream_faults::try_trigger(faults.skip_at, index))
        return true;
    auto const text = base::write_json(event);
    if (stream_faults::try_trigger(faults.cross_at, index))
    {
        auto unrelated_event = base::parse_json_object(text).value();
        unrelated_event->set("id", "another-generation");
        out << "data: " << base::write_json(unrelated_event) << "\n\n";
    }
    out << "data: " << text << "\n\n";
    if (stream_faults::try_trigger(faults.duplicate_at, index))
        out << "data: " << text << "\n\n";
    out.flush();
    return out.good();
}

void stream_tokens(realtime_engine& engine, http_request& request, http_response& response,
                   std::string const& id, std::string const& model, std::size_t index)
{
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    auto& out = response.send();
    out.flush();
    while (auto token = engine.wait_for_token(id, index))
    {
        if (!send_event(request, out, index, make_chunk(id, model, index, *token)))
            return;
        ++index;
    }
    // Readers of a cancelled generation get no final event; their connection is closed.
    if (!engine.is_finished(id))
    {
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
        return;
    }
    auto last_event = make_chunk(id, model, index, "");
    last_event->getArray("choices")->getObject(0)->set("finish_reason", "stop");
    last_event->set("usage", make_usage(engine.prompt_tokens(id), index));
    if (send_event(request, out, index, last_event))
        out << "data: [DONE]\n\n";
    out.flush();
}

void serve_completion(realtime_engine& engine, http_request& request, http_response& response)
{
    auto const body = parse_or_empty(read_body(request));
    auto const prompt = concatenate_messages(body);
    if (prompt.find("crash-the-engine") != std::string::npos)
        std::_Exit(71);
    auto const id = request.get("X-Generation-Id", base::random_id());
    auto const model = body->optValue<std::string>("model", "");
    engine.start(id, prompt, std::atoi(request.get("X-Priority", "1").c_str()),
                 body->optValue<Poco::Int64>("max_tokens", 1 << 20));
    struct reader_guard
    {
        realtime_engine& engine;
        std::string const& id;
        ~reader_guard() { engine.detach(id); }
    } const guard{engine, id};
    std::unique_lock lock(raw_answer().mutex);
    auto const bytes = raw_answer().bytes;
    lock.unlock();
    if (!bytes.empty())
        send_raw(request, bytes);
    stream_tokens(engine, request, response, id, model, 0);
}

void serve_resume(realtime_engine& engine, http_request& request, http_response& response,
                  std::string const& id)
{
    std::size_t first_index = 0;
    for (auto const& [name, value] : Poco::URI(request.getURI()).getQueryParameters())
        if (name == "from")
            first_index = static_cast<std::size_t>(std::atoll(value.c_str()));
    if (!engine.attach(id))
    {
        send_json(response, 404, make_object("error", "unknown generation"));
        return;
    }
    struct reader_guard
    {
        realtime_engine& engine;
        std::string const& id;
        ~reader_guard() { engine.detach(id); }
    } const guard{engine, id};
    stream_tokens(engine, request, response, id, "", first_index);
}

void apply_faults(realtime_engine& engine, base::json_object const& faults)
{
    pending_faults().update(faults);
    {
        std::lock_guard const lock(raw_answer().mutex);
        raw_answer().bytes = faults->optValue("raw_answer", raw_answer().bytes);
    }
    if (auto const time = faults->optValue<int>("freeze_milliseconds", 0))
        engine.freeze(std::chrono::milliseconds(time));
    if (auto const time = faults->optValue<int>("reclaim_in_milliseconds", 0))
    {
        engine.set_leaving();
        std::thread(
            [time]
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(time));
                std::_Exit(73);
            })
            .detach();
    }
    if (faults->optValue("turn_cold", false))
        engine.turn_cold();
    if (faults->optValue("leaving", false))
        engine.set_leaving();
    if (faults->optValue("crash", false))
        std::_Exit(72);
}

void handle_request(realtime_engine& engine, http_request& request, http_response& response)
{
    std::string const path = Poco::URI(request.getURI()).getPath();
    std::string const generation_prefix = "/v1/generations/";
    if (path == "/v1/chat/completions")
        return serve_completion(engine, request, response);
    if (path == "/load")
        return send_json(response, 200, engine.load_report());
    if (path == "/orders" && request.getMethod() == "GET")
        return send_json(response, 200, engine.received_commands());
    if (path == "/orders")
        return send_json(response, engine.apply_command(parse_or_empty(read_body(request))),
                         new Poco::JSON::Object);
    if (path == "/stand-in/faults")
    {
        apply_faults(engine, parse_or_empty(read_body(request)));
        return send_json(response, 200, new Poco::JSON::Object);
    }
    if (path.starts_with(generation_prefix))
    {
        auto const id = path.substr(generation_prefix.size());
        if (request.getMethod() == "DELETE")
            return send_json(response, engine.cancel(id) ? 200 : 404, new Poco::JSON::Object);
        return serve_resume(engine, request, response, id);
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
    parser.add("models", models, "Model loaded at startup");
    parser.add("enforce-fencing", enforces_fencing,
               "Reject placement commands with an old fencing number");
    parser.add("kv-capacity-tokens", settings.kv_capacity_tokens,
               "Capacity of the KV cache, tokens");
    parser.add("max-running", settings.max_running, "Maximum batch size");
    parser.add("step-milliseconds", settings.step_milliseconds,
               "Base duration of a decode step, milliseconds");
    parser.add("cold-capacity", settings.cold_capacity,
               "Maximum running generations of a cold engine");
    parser.add("starts-cold", settings.starts_cold, "Start cold");
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    stand_ins::realtime_engine engine(settings, {models}, enforces_fencing);
    stand_ins::http_server const server(host, port,
                                        [&](auto& request, auto& response)
                                        { stand_ins::handle_request(engine, request, response); });
    base::wait_for_shutdown_signal();
    std::_Exit(0);
}
