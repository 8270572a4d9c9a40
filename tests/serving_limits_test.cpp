#include "configuration/types.hpp"
#include "tests/support/stream_client.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

namespace jasminepier::tests
{
namespace
{

constexpr std::uint16_t first_entry = entry_port_base + 1;
std::map<std::string, std::string> const proposal{{"Jasminepier-Work-Kind", "proposal"}};

backend::backend_response complete(deployment& running, std::string const& body,
                                   std::map<std::string, std::string> const& headers = {})
{
    return running.call(first_entry, "POST", "/v1/chat/completions", body, headers);
}

/// Starts one node and engines whose answers take a while.
void start(deployment& running, int engines)
{
    for (int engine = 1; engine <= engines; ++engine)
        running.start_engine(engine, {"--step-milliseconds", "5"});
    running.start_node(1);
    ASSERT_TRUE(running.wait_until_ready(1));
    // The first load report may say that an engine does not listen yet.
    ASSERT_TRUE(wait_until(
        [&] { return complete(running, stream_body(1, "ready?", false)).status == 200; }));
}

// Guards against a request that takes down the fleet, alone and when its caller sends it again, and
// against the refusal of a request that shared a server with it.
TEST(request_crashes, are_contained)
{
    deployment running("127.0.12.20");
    start(running, 6);
    auto const crashing = stream_body(5, "crash-the-engine", false);
    received_answer innocent;
    stream_client client(running, 1, stream_body(400), proposal);
    client.read_one(innocent);
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        auto const answer = complete(running, crashing);
        EXPECT_NE(answer.body.find("request_crashes_servers"), std::string::npos) << answer.body;
    }
    int alive = 0;
    for (int engine = 1; engine <= 6; ++engine)
        alive += running.program("engine-" + std::to_string(engine)).running() ? 1 : 0;
    EXPECT_EQ(alive, 3);
    client.read(innocent);
    EXPECT_EQ(innocent.text, expected_text(400)) << innocent.error_code;
    EXPECT_EQ(complete(running, stream_body(5, "Which screws?", false)).status, 200);
}

// Guards against suspicion of requests whose server announced its end.
TEST(request_crashes, are_not_seen_in_a_planned_end)
{
    deployment running("127.0.12.21");
    start(running, 2);
    received_answer answer;
    stream_client client(running, 1, stream_body(600), proposal);
    client.read_one(answer);
    for (int engine = 1; engine <= 2; ++engine)
    {
        auto const port = static_cast<std::uint16_t>(engine_port_base + engine);
        if (running.call(port, "GET", "/load").body.find("\"running\":0") == std::string::npos)
            running.set_faults(port, R"({"reclaim_in_milliseconds":2000})");
    }
    client.read(answer);
    EXPECT_EQ(answer.text, expected_text(600)) << answer.error_code;
    EXPECT_NE(running.program("entry-1").output().find("suspected=no"), std::string::npos);
}

// Guards against a stop that cuts a request short, that a second signal shortens, or that keeps
// being announced to callers.
TEST(graceful_stop, finishes_running_streams)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    deployment running("127.0.12.22");
    start(running, 1);
    received_answer answer;
    stream_client client(running, 1, stream_body(1600));
    client.read(answer, 5);
    auto& entry = running.program("entry-1");
    entry.send_signal(SIGTERM);
    EXPECT_TRUE(wait_until(
        [&]
        {
            return running.call(first_entry, "GET", "/v1/entry-addresses").body.find("127.0.12") ==
                   std::string::npos;
        }));
    EXPECT_EQ(complete(running, stream_body(5, "Which screws?", false)).status, 200);
    entry.send_signal(SIGTERM);
    EXPECT_TRUE(wait_until(
        [&]
        {
            return complete(running, stream_body(5, "Which screws?", false))
                       .body.find("\"execution\":\"not_run\"") != std::string::npos;
        }));
    client.read(answer);
    EXPECT_EQ(answer.text, expected_text(1600));
    EXPECT_TRUE(answer.done);
    EXPECT_EQ(entry.wait_for_exit(20), 0);
}

// Guards against a drain limit that is ignored.
TEST(graceful_stop, ends_at_the_drain_limit)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    setenv("JASMINEPIER_DRAIN_LIMIT", "1", 1);
    deployment running("127.0.12.23");
    start(running, 1);
    unsetenv("JASMINEPIER_DRAIN_LIMIT");
    received_answer answer;
    stream_client client(running, 1, stream_body(20000));
    client.read(answer, 5);
    running.program("entry-1").send_signal(SIGTERM);
    EXPECT_EQ(running.program("entry-1").wait_for_exit(30), 0);
    client.read(answer);
    EXPECT_FALSE(answer.done);
}

// Guards against ids that continue another customer's or another request's answer, or that a caller
// made up.
TEST(event_ids, are_refused_when_forged_or_foreign)
{
    deployment running("127.0.12.24");
    running.put("customer", "other",
                R"({"api_key_sha256":")" + configuration::api_key_digest("other-key") + "\"}");
    start(running, 1);
    received_answer answer;
    auto const body = stream_body(300);
    stream_client client(running, 1, body, proposal);
    client.read_one(answer);
    ASSERT_NE(answer.last_id, "");
    auto const status = [&](std::string const& id, std::string const& sent, std::string const& key)
    {
        return complete(running, sent, {{"Last-Event-ID", id}, {"Authorization", "Bearer " + key}})
            .status;
    };
    auto forged = answer.last_id;
    forged.back() = '7';
    EXPECT_EQ(status(forged, body, "demo-key"), 400);
    forged = answer.last_id;
    forged.front() = forged.front() == '1' ? '2' : '1';
    EXPECT_EQ(status(forged, body, "demo-key"), 400);
    EXPECT_EQ(status("x", body, "demo-key"), 400);
    EXPECT_EQ(status(answer.last_id, stream_body(301), "demo-key"), 400);
    EXPECT_EQ(status(answer.last_id, body, "other-key"), 400);
    EXPECT_EQ(status(answer.last_id, body, "demo-key"), 200);
}

// Guards against a crash, a hang or an unclear answer after malformed input, and against a broken
// surface for clients of the OpenAI-style interface.
TEST(http_front, answers_bad_input_clearly)
{
    deployment running("127.0.12.25");
    start(running, 1);
    std::string const head = R"({"model":"demo","messages":)";
    for (auto const& body :
         {std::string("{"), std::string("[]"), std::string(), head + "[]}", head + "7}",
          head + R"([{"role":"user","content":7}]})", head + R"([{"content":"x"}]})",
          head + R"([{"role":"user","content":"x"}],"n":2})",
          head + R"([{"role":"user","content":"x"}],"max_tokens":-1})",
          head + R"([{"role":"user","content":"x"}],"stream":"yes"})", std::string(200000, '[')})
    {
        auto const answer = complete(running, body);
        EXPECT_EQ(answer.status, 400) << body.substr(0, 80);
        EXPECT_NE(answer.body.find("\"execution\":\"not_run\""), std::string::npos);
    }
    EXPECT_EQ(complete(running, std::string(5U << 20U, ' ')).status, 413);
    EXPECT_EQ(complete(running, stream_body(5), {{"Authorization", "Bearer wrong"}}).status, 401);
    EXPECT_EQ(running.call(first_entry, "GET", "/v1/models/demo").status, 200);
    EXPECT_EQ(running.call(first_entry, "GET", "/v1/models/none").status, 404);
    EXPECT_EQ(running.call(first_entry, "GET", "/v1/chat/completions").status, 405);
    auto const answer = complete(running, stream_body(5, "Which screws?", false));
    for (char const* part : {"\"finish_reason\":\"stop\"", "\"completion_tokens\":5",
                             "\"object\":\"chat.completion\"", "\"role\":\"assistant\""})
        EXPECT_NE(answer.body.find(part), std::string::npos) << part << answer.body;
    auto const log = running.program("entry-1").output();
    EXPECT_EQ(log.find("Which screws"), std::string::npos);
    EXPECT_EQ(log.find("demo-key"), std::string::npos);
}

} // namespace
} // namespace jasminepier::tests
