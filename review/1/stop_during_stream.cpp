/// A node gets SIGTERM. A client with a cached address sends it a stream more than 3 s later, which
/// the node accepts and whose server is sound and on time. The node must answer it completely.
#include "../support/deployment.hpp"

namespace
{

using namespace review;

constexpr std::int64_t sent_after_stop_ms = 3200;
constexpr std::int64_t grace_ms = 8000;
constexpr int output_tokens = 48;
constexpr std::int64_t deadline_ms = 39000;
// Below the route's target_itl_ms of 180 ms.
constexpr std::int64_t event_gap_ms = 140;
constexpr std::int64_t first_event_ms = 300;

std::string encode_chunk(std::string const& bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Streams one event per token, and stops when the connection closes.
bool run_generation(connection& caller, message const& request)
{
    sleep_ms(first_event_ms);
    caller.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id") +
                "\r\nServer-Signature: signed\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= output_tokens; ++i)
    {
        if (caller.is_closed_by_peer() ||
            !caller.send(encode_chunk("id: " + std::to_string(i) + "\ndata: token\n\n")))
        {
            record("server: the connection of " + request.header("Attempt-Id") +
                   " was closed before event " + std::to_string(i));
            return false;
        }
        sleep_ms(event_gap_ms);
    }
    record("server: " + request.header("Attempt-Id") + " ran to its end");
    return caller.send("0\r\n\r\n");
}

int run_case()
{
    auto const store_host = make_host(200);
    auto& store = *new object_store(store_host);
    arrival_log log;
    backend_server engine("i-engine", make_host(201), 0, log, run_generation);
    store.put(
        "config", "main",
        R"({"version":7,"routes":[{"name":"questions","host":"shop.example",)"
        R"("path_prefix":"/questions/","route_type":"streaming","timeout_ms":39000,)"
        R"("target_latency_ms":1500,"priority":1,"service":"llm","max_attempts":1,)"
        R"("public":true,"session_affinity":true,"stream_resume":false,"target_itl_ms":180}],)"
        R"("services":[{"name":"llm","health_check_path":"/healthz","max_connections":252,)"
        R"("warmup_s":1.0,"warmup_per_s":37.0,"engine":{"slots":24,"kv_capacity":34228,)"
        R"("kv_bytes":262144,"link_mbps":38000.0,"moves":true,"backups":true,"stride":1,)"
        R"("models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,)"
        R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    store.put("servers", "i-engine",
              make_server_entry("llm", engine.address(), "zrh-a", 24, 0, 1000, 1));
    node_process stopped(1, "zrh-a", store, store_host);
    node_process other(2, "zrh-b", store, store_host);
    for (auto* node : {&stopped, &other})
        node->start();
    for (auto* node : {&stopped, &other})
        if (!node->wait_until_ready(10000))
            return record("a node did not become ready"), could_not_run;
    sleep_ms(4000);
    auto const stop_time = now_ms();
    if (has_trouble())
    {
        record("SIGTERM to " + stopped.name());
        stopped.signal(SIGTERM);
    }
    // The platform's limit.
    std::thread platform(
        [&]
        {
            sleep_until_ms(stop_time + grace_ms);
            if (has_trouble() && !stopped.has_exited())
            {
                record("SIGKILL to " + stopped.name());
                stopped.signal(SIGKILL);
            }
        });
    // The client asked the directory just before the stop. It keeps the answer, whose ttl_s is 2,
    // for three times as long.
    sleep_until_ms(stop_time + sent_after_stop_ms);
    auto const result =
        send_request(stopped.host(), "late-stream", "POST", "/questions/1",
                     "Model: m\r\nToken-Usage: 400," + std::to_string(output_tokens) +
                         "\r\nPrefix-Hash: 5c1e07a2:300,e4402b7d:100\r\n",
                     deadline_ms);
    record(describe(result));
    platform.join();
    bool was_run = false;
    for (auto const& arrived : log.all())
        was_run = was_run || arrived.id == result.id;
    record(std::string(was_run ? "the node passed the request on to the server"
                               : "the node did not pass the request on"));
    bool const lost = was_run && !result.complete;
    record(lost ? "the connection ended without a complete answer" : "no answer was lost");
    return lost ? rule_broken : rule_held;
}

} // namespace

int main()
{
    auto const result = run_case();
    record("exit status " + std::to_string(result));
    std::_Exit(result);
}
