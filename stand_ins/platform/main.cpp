/// A stand-in for the platform's object store. `POST /stand-in/faults` sets faults:
/// {"outage":bool} fails every request with 503, {"delay_milliseconds":N} delays every request,
/// {"lose_answers":N} applies the next N writes but closes the connection without a response, and
/// {"refuse_writes":N} rejects the next N writes with 429. `GET /stand-in/calls` returns the
/// numbers of reads, writes and watches.
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "stand_ins/http_server.hpp"
#include "stand_ins/platform/memory_store.hpp"

#include <atomic>
#include <set>
#include <sstream>
#include <thread>

namespace jasminepier::stand_ins
{
namespace
{

struct platform_state
{
    memory_store store;
    std::atomic<bool> outage{false};
    std::atomic<int> delay_milliseconds{0};
    std::atomic<int> lose_answers{0};
    std::atomic<int> refuse_writes{0};
    std::atomic<int> reads{0};
    std::atomic<int> writes{0};
    std::atomic<int> watches{0};
};

bool try_consume(std::atomic<int>& counter)
{
    int value = counter.load();
    while (value > 0)
        if (counter.compare_exchange_weak(value, value - 1))
            return true;
    return false;
}

base::json_object to_json(stored_object const& object)
{
    auto json = make_object("kind", object.kind);
    json->set("name", object.name);
    json->set("version", object.version);
    json->set("value", parse_or_empty(object.value));
    return json;
}

void serve_watch(platform_state& state, Poco::URI const& uri, http_response& response)
{
    ++state.watches;
    std::int64_t from_version = 0;
    int seconds = 20;
    std::set<std::string> kinds;
    for (auto const& [name, value] : uri.getQueryParameters())
    {
        if (name == "watch_from")
            from_version = std::atoll(value.c_str());
        if (name == "timeout_seconds")
            seconds = std::atoi(value.c_str());
        std::stringstream kind_list(name == "kinds" ? value : "");
        for (std::string kind; std::getline(kind_list, kind, ',');)
            kinds.insert(kind);
    }
    auto const changes =
        state.store.watch(from_version, std::chrono::seconds(seconds),
                          [&](std::string const& kind) { return kinds.contains(kind); });
    if (state.outage)
        return send_json(response, 503, make_object("error", "outage"));
    if (!changes)
        return send_json(response, 410, make_object("error", "version is too old"));
    base::json_array events = new Poco::JSON::Array;
    for (auto const& change : changes->second)
    {
        auto event = make_object("type", change.deleted ? "delete" : "put");
        event->set("object", to_json(change));
        events->add(event);
    }
    auto response_body = make_object("version", changes->first);
    response_body->set("events", events);
    send_json(response, 200, response_body);
}

void serve_list(platform_state& state, std::string const& kind, http_response& response)
{
    ++state.reads;
    auto const [version, objects] = state.store.list(kind);
    base::json_array items = new Poco::JSON::Array;
    for (auto const& object : objects)
        items->add(to_json(object));
    auto response_body = make_object("version", version);
    response_body->set("items", items);
    send_json(response, 200, response_body);
}

void serve_write(platform_state& state, std::string const& kind, std::string const& name,
                 http_request& request, http_response& response)
{
    ++state.writes;
    auto const body = read_body(request);
    if (try_consume(state.refuse_writes))
        return send_json(response, 429, make_object("error", "too many writes"));
    std::int64_t const expected_version = request.has("If-None-Match")
                                              ? must_not_exist
                                              : std::atoll(request.get("If-Match", "-2").c_str());
    std::optional<std::string> value;
    if (request.getMethod() == "PUT")
        value = body;
    auto const result = state.store.write(kind, name, expected_version, value);
    if (try_consume(state.lose_answers))
        throw std::runtime_error("response dropped by a fault");
    send_json(response, result.status,
              result.current ? to_json(*result.current) : make_object("error", "absent"));
}

void serve_object(platform_state& state, std::string const& kind, std::string const& name,
                  http_request& request, http_response& response)
{
    if (request.getMethod() != "GET")
        return serve_write(state, kind, name, request, response);
    ++state.reads;
    auto const object = state.store.get(kind, name);
    if (!object)
        return send_json(response, 404, make_object("error", "not found"));
    send_json(response, 200, to_json(*object));
}

void apply_faults(platform_state& state, base::json_object const& faults)
{
    state.outage = faults->optValue("outage", state.outage.load());
    state.delay_milliseconds =
        faults->optValue("delay_milliseconds", state.delay_milliseconds.load());
    state.lose_answers = faults->optValue("lose_answers", state.lose_answers.load());
    state.refuse_writes = faults->optValue("refuse_writes", state.refuse_writes.load());
}

void handle_request(platform_state& state, http_request& request, http_response& response)
{
    Poco::URI const uri(request.getURI());
    std::vector<std::string> segments;
    uri.getPathSegments(segments);
    if (uri.getPath() == "/stand-in/faults")
    {
        apply_faults(state, parse_or_empty(read_body(request)));
        return send_json(response, 200, new Poco::JSON::Object);
    }
    if (uri.getPath() == "/stand-in/calls")
    {
        auto counts = make_object("reads", state.reads.load());
        counts->set("writes", state.writes.load());
        counts->set("watches", state.watches.load());
        return send_json(response, 200, counts);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(state.delay_milliseconds.load()));
    if (state.outage)
        return send_json(response, 503, make_object("error", "outage"));
    if (segments.empty() || segments[0] != "objects" || segments.size() > 3)
        return send_json(response, 404, make_object("error", "not found"));
    if (segments.size() == 1)
        return serve_watch(state, uri, response);
    if (segments.size() == 2)
        return serve_list(state, segments[1], response);
    serve_object(state, segments[1], segments[2], request, response);
}

} // namespace
} // namespace jasminepier::stand_ins

int main(int argc, char** argv)
{
    using namespace jasminepier;
    base::block_process_signals();
    base::settings_parser parser("Stand-in for the platform's object store", "stand-in-platform");
    std::string host = "127.0.0.1";
    std::uint16_t port = 9000;
    parser.add("host", host, "Address to listen on");
    parser.add("port", port, "Port to listen on");
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    stand_ins::platform_state state;
    stand_ins::http_server const server(host, port,
                                        [&](auto& request, auto& response)
                                        { stand_ins::handle_request(state, request, response); });
    base::wait_for_shutdown_signal();
    std::_Exit(0);
}
