#include "base/log.hpp"
#include "services/entry/request_log.hpp"
#include "tests/support/deployment.hpp"
#include "tests/support/program_run.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

namespace jasminepier::tests
{
namespace
{

constexpr auto entry_port = static_cast<std::uint16_t>(entry_port_base + 1);

bool contains(std::string const& text, std::string const& substring)
{
    return text.find(substring) != std::string::npos;
}

std::string chat_body(std::string const& prompt)
{
    return R"({"model":"demo","messages":[{"role":"user","content":")" + prompt + "\"}]}";
}

std::string read_id(std::string const& response)
{
    auto const at = response.find("\"id\":\"");
    return at == std::string::npos ? "" : response.substr(at + 6, 32);
}

} // namespace

// Guards against memory that grows with the number of requests, and against showing a record to
// another customer.
TEST(request_log, keeps_the_latest_records_visible_to_their_customer_only)
{
    entry::request_log log(3);
    for (int i = 0; i < 5; ++i)
    {
        entry::request_record record;
        record.id = std::to_string(i);
        record.customer = "owner";
        log.begin(record);
    }
    EXPECT_EQ(log.size(), 3U);
    EXPECT_FALSE(log.find("1", "owner"));
    EXPECT_TRUE(log.find("2", "owner"));
    EXPECT_FALSE(log.find("2", "somebody-else"));
    for (int i = 0; i < 20; ++i)
        log.add_attempt("4", {"s", std::to_string(i), "z", "r", 1});
    auto const attempts = log.find("4", "owner")->attempts;
    ASSERT_EQ(attempts.size(), entry::request_log::maximum_attempts);
    EXPECT_EQ(attempts.back().server, "19");
}

// Guards against values that split a log line or inject fields.
TEST(log_line, escapes_values_and_stays_on_one_line)
{
    testing::internal::CaptureStdout();
    base::configure_logging(base::log_level::info);
    base::log_line(base::log_level::debug, "hidden").field("key", "value");
    base::log_line(base::log_level::warning, "tested")
        .field("a", "x y")
        .field("b", "line\nlevel=ERROR \"q\" \\ %msg %level")
        .field("c", 7)
        .field("d", "")
        .field("e", std::string(600, 'z'));
    auto const out = testing::internal::GetCapturedStdout();
    EXPECT_EQ(std::count(out.begin(), out.end(), '\n'), 1) << out;
    EXPECT_TRUE(contains(out,
                         "level=WARNING event=tested a=\"x y\" "
                         "b=\"line\\x0alevel=ERROR \\\"q\\\" \\\\ %msg %level\" c=7 d=\"\" e="))
        << out;
    EXPECT_TRUE(contains(out, std::string(512, 'z') + "...\"")) << out;
    EXPECT_FALSE(contains(out, std::string(513, 'z')));
}

// Guards against requests that are missing from the metrics or from the request log.
TEST(observation, counts_and_records_requests)
{
    deployment test_deployment("127.0.15.6");
    test_deployment.start_engine(1);
    test_deployment.start_service(1);
    test_deployment.start_node(1);
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    auto const response = test_deployment.call(entry_port, "POST", "/v1/chat/completions",
                                               chat_body("Which screws? tokens=5"));
    ASSERT_EQ(response.status, 200);
    test_deployment.call(entry_port, "GET", "/v1/services/shop/stock/beam-14");
    EXPECT_EQ(test_deployment
                  .call(entry_port, "POST", "/v1/services/shop/orders", "{}",
                        {{"Idempotency-Key", "order-1"}})
                  .status,
              200);
    EXPECT_EQ(test_deployment.call(entry_port, "POST", "/v1/chat/completions", "{").status, 400);
    auto const metrics = test_deployment.call(entry_port, "GET", "/metrics").body;
    EXPECT_TRUE(contains(metrics, "jasminepier_time_to_first_token_seconds_count{zone=\"zone-a\","
                                  "kind=\"question\",model=\"demo\"} 1"))
        << metrics;
    EXPECT_TRUE(contains(metrics, "jasminepier_requests_total{zone_state=\"all_zones_in_service\","
                                  "zone=\"zone-a\",kind=\"lookup\",model=\"none\","
                                  "result=\"served\"} 1"))
        << metrics;
    // Non-idempotent calls are dispatched on another thread, but need the zone label, too.
    EXPECT_TRUE(contains(metrics, "zone=\"zone-a\",kind=\"action\",model=\"none\","
                                  "result=\"served\"} 1"))
        << metrics;
    EXPECT_TRUE(contains(metrics, "jasminepier_refusals_total{code=\"bad_request\"} 1"));
    auto const path = "/v1/requests/" + read_id(response.body);
    auto const record = test_deployment.call(entry_port, "GET", path);
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(contains(record.body, "\"server\":\"engine-1\"")) << record.body;
    EXPECT_TRUE(contains(record.body, "\"result\":\"served\"")) << record.body;
    auto const command = run_program(
        "jasminepierctl", {"--platform-host", test_deployment.host(), "--api-key", "demo-key",
                           "request", "show", read_id(response.body), "--output", "json"});
    EXPECT_EQ(command.status, 0) << command.output;
    EXPECT_TRUE(contains(command.output, "\"node\":\"node-1\"")) << command.output;
    test_deployment.put("zone", "zone-b", R"({"region":"local","state":"out_of_service"})");
    EXPECT_TRUE(wait_until(
        [&]
        {
            test_deployment.call(entry_port, "GET", "/v1/services/shop/stock/beam-15");
            return contains(test_deployment.call(entry_port, "GET", "/metrics").body,
                            "zone_state=\"zone_out\"");
        }));
}

// Guards against prompts and API keys in the logs, which more people can read than may see prompts.
TEST(logs, contain_no_prompt_and_no_api_key)
{
    ASSERT_EQ(setenv("JASMINEPIER_LOG_LEVEL", "debug", 1), 0);
    deployment test_deployment("127.0.15.7");
    test_deployment.start_engine(1);
    test_deployment.start_service(1);
    test_deployment.start_node(1);
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    std::string const secret = "zq7secret";
    std::vector<std::string> const bodies{
        chat_body(secret + " tokens=3"),
        R"({"model":")" + secret + R"(","messages":[{"role":"user","content":"x"}]})",
        "{" + secret,
        "{\"" + secret + "\":" + secret + "}",
        R"({"model":"demo","messages":")" + secret + "\"}",
        R"({"model":"demo","messages":[{"content":")" + secret + "\"}]}",
        R"({"model":"demo","max_tokens":")" + secret + R"(","messages":[{"role":"u"}]})"};
    for (auto const& body : bodies)
    {
        test_deployment.call(entry_port, "POST", "/v1/chat/completions", body);
        test_deployment.call(entry_port, "POST", "/v1/services/shop/orders", body,
                             {{"Idempotency-Key", "order-" + secret}});
        test_deployment.call(entry_port, "POST", "/v1/chat/completions", body,
                             {{"Authorization", "Bearer " + secret}});
        test_deployment.call(entry_port, "POST", "/v1/chat/completions", body,
                             {{"Jasminepier-Work-Kind", secret}});
    }
    test_deployment.call(entry_port, "GET", "/v1/requests/" + secret);
    test_deployment.call(entry_port, "GET", "/" + secret + "?key=" + secret);
    unsetenv("JASMINEPIER_LOG_LEVEL");
    std::string logs;
    for (auto const* name : {"entry-1", "control-1"})
        logs += test_deployment.program(name).output();
    EXPECT_TRUE(contains(logs, "event=route")) << logs;
    EXPECT_TRUE(contains(logs, "event=request_failed")) << logs;
    EXPECT_FALSE(contains(logs, secret)) << logs;
    EXPECT_FALSE(contains(logs, "demo-key")) << logs;
}

} // namespace jasminepier::tests
