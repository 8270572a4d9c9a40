#include "configuration/types.hpp"
#include "tests/support/stream_client.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <future>
#include <optional>
#include <thread>

namespace jasminepier::tests
{
namespace
{

constexpr std::uint16_t entry_port = entry_port_base + 1;
std::map<std::string, std::string> const proposal{{"Jasminepier-Work-Kind", "proposal"}};

backend::backend_response send_completion(deployment& test_deployment, std::string const& body,
                                          std::map<std::string, std::string> const& headers = {})
{
    return test_deployment.call(entry_port, "POST", "/v1/chat/completions", body, headers);
}

/// Starts one node, and engines that produce a token every 5 ms.
void start(deployment& test_deployment, int engines)
{
    for (int engine = 1; engine <= engines; ++engine)
        test_deployment.start_engine(engine, {"--step-milliseconds", "5"});
    test_deployment.start_node(1);
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    // According to the first load report, an engine may not be listening yet.
    ASSERT_TRUE(wait_until(
        [&] {
            return send_completion(test_deployment, stream_body(1, "ready?", false)).status == 200;
        }));
}

// Guards against a poison request that crashes all engines, also when its caller resends it, and
// against rejecting another request that ran on one of the crashed engines.
TEST(request_crashes, stop_after_three_engines)
{
    deployment test_deployment("127.0.12.20");
    start(test_deployment, 6);
    auto const poison_request = stream_body(5, "crash-the-engine", false);
    received_completion concurrent_completion;
    stream_client client(test_deployment, 1, stream_body(400), proposal);
    client.read_event(concurrent_completion);
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        auto const response = send_completion(test_deployment, poison_request);
        EXPECT_NE(response.body.find("request_crashes_servers"), std::string::npos)
            << response.body;
    }
    int running_engines = 0;
    for (int engine = 1; engine <= 6; ++engine)
        running_engines +=
            test_deployment.program("engine-" + std::to_string(engine)).running() ? 1 : 0;
    EXPECT_EQ(running_engines, 3);
    client.read(concurrent_completion);
    EXPECT_EQ(concurrent_completion.text, expected_text(400)) << concurrent_completion.error_code;
    EXPECT_EQ(send_completion(test_deployment, stream_body(5, "Which screws?", false)).status, 200);
}

// Guards against one message that crashes engine after engine because the requests that carry it
// are all different, and against rejecting requests that share their other messages.
TEST(request_crashes, of_different_requests_with_one_message_stop)
{
    deployment test_deployment("127.0.12.29");
    constexpr int engines = 12;
    start(test_deployment, engines);
    auto const make_body = [](std::string const& shared, int number)
    {
        return R"({"model":"demo","stream":true,"max_tokens":5,"messages":[)"
               R"({"role":"system","content":"Be brief."},{"role":"system","content":")" +
               shared + R"("},{"role":"user","content":"question )" + std::to_string(number) +
               R"("}]})";
    };
    ASSERT_EQ(send_completion(test_deployment, make_body("Timber.", 0)).status, 200);
    int rejected = 0;
    for (int number = 1; number <= 10; ++number)
    {
        auto const body =
            send_completion(test_deployment, make_body("crash-the-engine", number)).body;
        rejected += body.find("no_server") != std::string::npos ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    int running_engines = 0;
    for (int engine = 1; engine <= engines; ++engine)
        running_engines +=
            test_deployment.program("engine-" + std::to_string(engine)).running() ? 1 : 0;
    // The platform allows five crashes and three more requests.
    EXPECT_GE(running_engines, engines - 8);
    EXPECT_GE(rejected, 5);
    EXPECT_EQ(send_completion(test_deployment, make_body("Timber.", 11)).status, 200);
}

// Guards against counting a planned shutdown of a server as a crash caused by its requests.
TEST(request_crashes, are_not_seen_in_a_planned_end)
{
    deployment test_deployment("127.0.12.21");
    start(test_deployment, 2);
    received_completion completion;
    stream_client client(test_deployment, 1, stream_body(600), proposal);
    client.read_event(completion);
    // The first event precedes the first token, and the engine admits the generation at its next
    // step.
    std::optional<std::uint16_t> busy_engine;
    ASSERT_TRUE(wait_until(
        [&]
        {
            for (int engine = 1; engine <= 2; ++engine)
            {
                auto const port = static_cast<std::uint16_t>(engine_port_base + engine);
                if (test_deployment.call(port, "GET", "/load").body.find("\"running\":0") ==
                    std::string::npos)
                    busy_engine = port;
            }
            return busy_engine.has_value();
        }));
    test_deployment.set_faults(*busy_engine, R"({"reclaim_in_milliseconds":2000})");
    client.read(completion);
    EXPECT_EQ(completion.text, expected_text(600)) << completion.error_code;
    EXPECT_NE(test_deployment.program("entry-1").output().find("suspected=no"), std::string::npos);
}

// Guards against a graceful shutdown that aborts an active request, also on a second signal, and
// against listing the node among the addresses for callers during it.
TEST(graceful_shutdown, finishes_active_streams)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    deployment test_deployment("127.0.12.22");
    start(test_deployment, 1);
    received_completion completion;
    stream_client client(test_deployment, 1, stream_body(1600));
    client.read(completion, 5);
    auto& entry = test_deployment.program("entry-1");
    entry.send_signal(SIGTERM);
    EXPECT_TRUE(wait_until(
        [&]
        {
            return test_deployment.call(entry_port, "GET", "/v1/entry-addresses")
                       .body.find("127.0.12") == std::string::npos;
        }));
    EXPECT_EQ(send_completion(test_deployment, stream_body(5, "Which screws?", false)).status, 200);
    entry.send_signal(SIGTERM);
    EXPECT_TRUE(wait_until(
        [&]
        {
            return send_completion(test_deployment, stream_body(5, "Which screws?", false))
                       .body.find("\"execution\":\"not_run\"") != std::string::npos;
        }));
    client.read(completion);
    EXPECT_EQ(completion.text, expected_text(1600));
    EXPECT_TRUE(completion.done);
    EXPECT_EQ(entry.wait_for_exit(20), 0);
}

// Guards against a drain limit that is ignored.
TEST(graceful_shutdown, ends_at_the_drain_limit)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    setenv("JASMINEPIER_DRAIN_LIMIT", "1", 1);
    deployment test_deployment("127.0.12.23");
    start(test_deployment, 1);
    unsetenv("JASMINEPIER_DRAIN_LIMIT");
    received_completion completion;
    stream_client client(test_deployment, 1, stream_body(20000));
    client.read(completion, 5);
    test_deployment.program("entry-1").send_signal(SIGTERM);
    EXPECT_EQ(test_deployment.program("entry-1").wait_for_exit(30), 0);
    client.read(completion);
    EXPECT_FALSE(completion.done);
}

// Guards against completions that are started during a shutdown with a limit and end without a
// response when the process exits.
TEST(graceful_shutdown, with_a_drain_limit_starts_only_requests_that_end_in_time)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    setenv("JASMINEPIER_DRAIN_LIMIT", "2", 1);
    deployment test_deployment("127.0.12.27");
    start(test_deployment, 1);
    unsetenv("JASMINEPIER_DRAIN_LIMIT");
    auto running = std::async(
        std::launch::async,
        [&] { return send_completion(test_deployment, stream_body(20000, "Design.", false)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto& entry = test_deployment.program("entry-1");
    entry.send_signal(SIGTERM);
    auto const short_body = stream_body(5, "Which screws?", false);
    EXPECT_TRUE(wait_until(
        [&]
        {
            return send_completion(test_deployment, short_body)
                       .body.find("\"execution\":\"not_run\"") != std::string::npos;
        },
        std::chrono::seconds(3)));
    EXPECT_EQ(
        send_completion(test_deployment, short_body, {{"Jasminepier-Timeout-Milliseconds", "2000"}})
            .status,
        200);
    auto const response = running.get();
    EXPECT_NE(response.body.find("generation_lost"), std::string::npos) << response.status;
    EXPECT_EQ(entry.wait_for_exit(30), 0);
}

/// Starts one node with a drain limit, and a plain service.
void start_with_drain_limit(deployment& test_deployment, char const* seconds, int services)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    setenv("JASMINEPIER_DRAIN_LIMIT", seconds, 1);
    for (int service = 1; service <= services; ++service)
        test_deployment.start_service(service);
    test_deployment.start_node(1);
    unsetenv("JASMINEPIER_DRAIN_LIMIT");
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    ASSERT_TRUE(wait_until(
        [&] {
            return test_deployment.call(entry_port, "GET", "/v1/services/shop/ready").status == 200;
        }));
}

int count_executions(deployment& test_deployment, int services, std::string const& path)
{
    int count = 0;
    for (int service = 1; service <= services; ++service)
    {
        auto const port = static_cast<std::uint16_t>(service_port_base + service);
        auto const body = test_deployment.call(port, "GET", "/stand-in/count").body;
        auto const found = body.find("\"" + path + "|\":");
        count += found == std::string::npos ? 0 : std::stoi(body.substr(found + path.size() + 4));
    }
    return count;
}

// Guards against calls that run at the signal, wait for their own deadline and lose their
// connection without a response when the drain limit ends the process.
TEST(graceful_shutdown, with_a_drain_limit_answers_plain_calls_before_the_end)
{
    deployment test_deployment("127.0.12.30");
    start_with_drain_limit(test_deployment, "1", 1);
    test_deployment.set_faults(service_port_base + 1, R"({"hold_answers":true})");
    auto const call =
        [&](std::string const& method, std::string const& path, std::string const& key)
    {
        std::map<std::string, std::string> headers{{"Jasminepier-Timeout-Milliseconds", "30000"}};
        if (!key.empty())
            headers["Idempotency-Key"] = key;
        return std::async(std::launch::async,
                          [&test_deployment, method, path, headers] {
                              return test_deployment.call(entry_port, method,
                                                          "/v1/services/shop" + path, "", headers);
                          });
    };
    auto lookup = call("GET", "/stock", "");
    auto unkeyed = call("POST", "/quote", "");
    auto order = call("POST", "/orders", "k1");
    for (char const* path : {"/stock", "/quote", "/orders"})
        ASSERT_TRUE(wait_until([&] { return count_executions(test_deployment, 1, path) == 1; }))
            << path;
    auto& entry = test_deployment.program("entry-1");
    entry.send_signal(SIGTERM);
    auto const expect_unknown = [](backend::backend_response const& response, int status)
    {
        EXPECT_EQ(response.status, status) << response.body;
        EXPECT_NE(response.body.find("\"execution\":\"unknown\""), std::string::npos)
            << response.body;
    };
    expect_unknown(lookup.get(), 502);
    expect_unknown(unkeyed.get(), 502);
    expect_unknown(order.get(), 409);
    EXPECT_EQ(entry.wait_for_exit(30), 0);
}

// Guards against a retry that a stopping process starts although it may exit before the response.
TEST(graceful_shutdown, with_a_drain_limit_starts_no_retry_that_may_outlast_it)
{
    deployment test_deployment("127.0.12.31");
    start_with_drain_limit(test_deployment, "5", 2);
    for (int service = 1; service <= 2; ++service)
        test_deployment.set_faults(static_cast<std::uint16_t>(service_port_base + service),
                                   R"({"delay_milliseconds":1500,"drop_answers":1})");
    auto lookup =
        std::async(std::launch::async,
                   [&]
                   {
                       return test_deployment.call(entry_port, "GET", "/v1/services/shop/stock", "",
                                                   {{"Jasminepier-Timeout-Milliseconds", "30000"}});
                   });
    ASSERT_TRUE(wait_until([&] { return count_executions(test_deployment, 2, "/stock") == 1; }));
    auto& entry = test_deployment.program("entry-1");
    entry.send_signal(SIGTERM);
    EXPECT_EQ(lookup.get().status, 502);
    EXPECT_EQ(count_executions(test_deployment, 2, "/stock"), 1);
    EXPECT_EQ(entry.wait_for_exit(30), 0);
}

// Guards against a completion that waits for a server at the signal and is started afterwards, or
// loses its connection without a response at the drain limit.
TEST(graceful_shutdown, with_a_drain_limit_rejects_queued_completions_at_once)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    setenv("JASMINEPIER_DRAIN_LIMIT", "4", 1);
    deployment test_deployment("127.0.12.32");
    test_deployment.start_engine(1, {"--step-milliseconds", "5", "--max-running", "1"});
    test_deployment.start_node(1);
    unsetenv("JASMINEPIER_DRAIN_LIMIT");
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    received_completion running;
    stream_client client(test_deployment, 1, stream_body(20000));
    client.read(running, 5);
    auto const send_queued = [&](bool streamed)
    {
        return std::async(std::launch::async,
                          [&test_deployment, streamed]
                          {
                              return send_completion(test_deployment,
                                                     stream_body(5, "Which screws?", streamed),
                                                     {{"Jasminepier-Work-Kind", "proposal"}});
                          });
    };
    auto whole = send_queued(false);
    auto stream = send_queued(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    ASSERT_EQ(whole.wait_for(std::chrono::seconds(0)), std::future_status::timeout);
    auto& entry = test_deployment.program("entry-1");
    auto const begin = std::chrono::steady_clock::now();
    entry.send_signal(SIGTERM);
    for (auto* queued : {&whole, &stream})
    {
        auto const response = queued->get();
        EXPECT_EQ(response.status, 503);
        EXPECT_NE(response.body.find("node_stopping"), std::string::npos) << response.body;
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(2));
    EXPECT_EQ(entry.wait_for_exit(30), 0);
}

// Guards against event ids that resume the completion of another customer or request, or that a
// caller forged.
TEST(event_ids, are_rejected_when_forged_or_for_another_request)
{
    deployment test_deployment("127.0.12.24");
    test_deployment.put("customer", "other",
                        R"({"api_key_sha256":")" + configuration::api_key_digest("other-key") +
                            "\"}");
    start(test_deployment, 1);
    received_completion completion;
    auto const body = stream_body(300);
    stream_client client(test_deployment, 1, body, proposal);
    client.read_event(completion);
    ASSERT_NE(completion.last_event_id, "");
    auto const status =
        [&](std::string const& event_id, std::string const& request_body, std::string const& key)
    {
        return send_completion(test_deployment, request_body,
                               {{"Last-Event-ID", event_id}, {"Authorization", "Bearer " + key}})
            .status;
    };
    auto forged = completion.last_event_id;
    forged.back() = '7';
    EXPECT_EQ(status(forged, body, "demo-key"), 400);
    forged = completion.last_event_id;
    forged.front() = forged.front() == '1' ? '2' : '1';
    EXPECT_EQ(status(forged, body, "demo-key"), 400);
    EXPECT_EQ(status("x", body, "demo-key"), 400);
    EXPECT_EQ(status(completion.last_event_id, stream_body(301), "demo-key"), 400);
    EXPECT_EQ(status(completion.last_event_id, body, "other-key"), 400);
    EXPECT_EQ(status(completion.last_event_id, body, "demo-key"), 200);
}

// Guards against a crash, a hang or an unspecific error after malformed input, and against
// responses that clients of the OpenAI API cannot use.
TEST(entry_process, rejects_invalid_requests_with_an_error)
{
    deployment test_deployment("127.0.12.25");
    start(test_deployment, 1);
    std::string const head = R"({"model":"demo","messages":)";
    for (auto const& body :
         {std::string("{"), std::string("[]"), std::string(), head + "[]}", head + "7}",
          head + R"([{"role":"user","content":7}]})", head + R"([{"content":"x"}]})",
          head + R"([{"role":"user","content":"x"}],"n":2})",
          head + R"([{"role":"user","content":"x"}],"max_tokens":-1})",
          head + R"([{"role":"user","content":"x"}],"stream":"yes"})", std::string(200000, '[')})
    {
        auto const response = send_completion(test_deployment, body);
        EXPECT_EQ(response.status, 400) << body.substr(0, 80);
        EXPECT_NE(response.body.find("\"execution\":\"not_run\""), std::string::npos);
    }
    EXPECT_EQ(send_completion(test_deployment, std::string(5U << 20U, ' ')).status, 413);
    EXPECT_EQ(send_completion(test_deployment, stream_body(5), {{"Authorization", "Bearer wrong"}})
                  .status,
              401);
    EXPECT_EQ(test_deployment.call(entry_port, "GET", "/v1/models/demo").status, 200);
    EXPECT_EQ(test_deployment.call(entry_port, "GET", "/v1/models/none").status, 404);
    EXPECT_EQ(test_deployment.call(entry_port, "GET", "/v1/chat/completions").status, 405);
    auto const response = send_completion(test_deployment, stream_body(5, "Which screws?", false));
    for (char const* part : {"\"finish_reason\":\"stop\"", "\"completion_tokens\":5",
                             "\"object\":\"chat.completion\"", "\"role\":\"assistant\""})
        EXPECT_NE(response.body.find(part), std::string::npos) << part << response.body;
    auto const log = test_deployment.program("entry-1").output();
    EXPECT_EQ(log.find("Which screws"), std::string::npos);
    EXPECT_EQ(log.find("demo-key"), std::string::npos);
}

} // namespace
} // namespace jasminepier::tests
