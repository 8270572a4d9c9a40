/// A stand-in plain service that counts executions. `GET /stand-in/count` returns the number of
/// executions per path and body. `POST /stand-in/faults` sets faults: {"delay_milliseconds":N}
/// delays every response, {"drop_answers":N} executes the next N requests but closes the connection
/// without a response, {"hold_answers":true} withholds all responses until it is set to false,
/// {"status":N} executes requests and responds with status N, and {"raw_answer":TEXT} executes
/// requests and sends TEXT instead of a response, until it is set to "".
#include "base/hash.hpp"
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "stand_ins/http_server.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace jasminepier::stand_ins
{
namespace
{

constexpr std::chrono::milliseconds hold_poll_interval{10};

struct service_state
{
    std::mutex mutex;
    std::map<std::string, int> executions;
    std::string instance = base::random_id();
    std::atomic<int> running{0};
    std::atomic<int> delay_milliseconds{0};
    std::atomic<int> drop_answers{0};
    std::atomic<bool> hold_answers{false};
    std::atomic<int> status{200};
    std::string raw_answer;
};

void execute(service_state& state, http_request& request, http_response& response)
{
    auto const body = read_body(request);
    ++state.running;
    std::string raw_answer;
    {
        std::lock_guard lock(state.mutex);
        raw_answer = state.raw_answer;
        ++state.executions[request.getURI() + "|" + body];
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(state.delay_milliseconds.load()));
    while (state.hold_answers)
        std::this_thread::sleep_for(hold_poll_interval);
    --state.running;
    if (state.drop_answers.load() > 0 && state.drop_answers.fetch_sub(1) > 0)
        throw std::runtime_error("response dropped by a fault");
    if (!raw_answer.empty())
        send_raw(request, raw_answer);
    auto response_body = make_object("accepted", true);
    response_body->set("path", request.getURI());
    send_json(response, state.status, response_body);
}

void handle_request(service_state& state, http_request& request, http_response& response)
{
    std::string const path = Poco::URI(request.getURI()).getPath();
    if (path == "/load")
    {
        auto report = make_object("instance", state.instance);
        report->set("state", "warm");
        report->set("running", state.running.load());
        report->set("max_running", 64);
        return send_json(response, 200, report);
    }
    if (path == "/stand-in/count")
    {
        std::lock_guard lock(state.mutex);
        base::json_object counts = new Poco::JSON::Object;
        for (auto const& [request_key, count] : state.executions)
            counts->set(request_key, count);
        return send_json(response, 200, counts);
    }
    if (path == "/stand-in/faults")
    {
        auto const faults = parse_or_empty(read_body(request));
        state.delay_milliseconds =
            faults->optValue("delay_milliseconds", state.delay_milliseconds.load());
        state.drop_answers = faults->optValue("drop_answers", state.drop_answers.load());
        state.hold_answers = faults->optValue("hold_answers", state.hold_answers.load());
        state.status = faults->optValue("status", state.status.load());
        std::lock_guard lock(state.mutex);
        state.raw_answer = faults->optValue("raw_answer", state.raw_answer);
        return send_json(response, 200, new Poco::JSON::Object);
    }
    execute(state, request, response);
}

} // namespace
} // namespace jasminepier::stand_ins

int main(int argc, char** argv)
{
    using namespace jasminepier;
    base::block_process_signals();
    base::settings_parser parser("Stand-in plain service for tests", "stand-in-service");
    std::string host = "127.0.0.1";
    std::uint16_t port = 9200;
    parser.add("host", host, "Address to listen on");
    parser.add("port", port, "Port to listen on");
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    stand_ins::service_state state;
    stand_ins::http_server const server(host, port,
                                        [&](auto& request, auto& response)
                                        { stand_ins::handle_request(state, request, response); });
    base::wait_for_shutdown_signal();
    std::_Exit(0);
}
