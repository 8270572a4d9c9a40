#include "base/json.hpp"
#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

#include <future>

namespace jasminepier::tests
{
namespace
{

constexpr auto entry_one = static_cast<std::uint16_t>(entry_port_base + 1);
constexpr auto entry_two = static_cast<std::uint16_t>(entry_port_base + 2);
constexpr auto shop_port = static_cast<std::uint16_t>(service_port_base + 1);
std::string const order_path = "/v1/services/shop/orders";

/// Returns how often the stand-in service executed the order with this body.
int execution_count(deployment& test_deployment, std::string const& body)
{
    auto const counts = test_deployment.call(shop_port, "GET", "/stand-in/count").body;
    return base::handle(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(document, base::parse_json_object(counts));
            return document->optValue<int>("/orders|" + body, 0);
        },
        [](base::error const&) { return -1; });
}

/// Two entry nodes in front of one service.
class two_node_deployment : public deployment
{
public:
    explicit two_node_deployment(std::string const& host) : deployment(host)
    {
        start_service(1);
        start_node(1);
        start_node(2);
        EXPECT_TRUE(wait_until_ready(1));
        EXPECT_TRUE(wait_until_ready(2));
    }

    backend::backend_response send_order(std::uint16_t entry_port, std::string const& body,
                                         std::string const& key = "k1",
                                         std::string const& timeout = "10000")
    {
        return call(entry_port, "POST", order_path, body,
                    {{"Idempotency-Key", key}, {"Jasminepier-Timeout-Milliseconds", timeout}});
    }
    std::future<backend::backend_response> send_order_async(std::uint16_t entry_port,
                                                            std::string const& body)
    {
        return std::async(std::launch::async, [=, this] { return send_order(entry_port, body); });
    }
    bool wait_for_execution(std::string const& body)
    {
        return wait_until([&] { return execution_count(*this, body) == 1; });
    }
};

bool has_error(backend::backend_response const& response, std::string const& code,
               std::string const& execution)
{
    return response.body.find("\"code\":\"" + code + "\"") != std::string::npos &&
           response.body.find("\"execution\":\"" + execution + "\"") != std::string::npos;
}

} // namespace

// Guards against a second execution when a caller resends a call with the same idempotency key.
TEST(at_most_once, runs_a_call_once_when_it_is_sent_twice)
{
    two_node_deployment test_deployment("127.0.14.1");
    auto const first = test_deployment.send_order(entry_one, "oak");
    auto const second = test_deployment.send_order(entry_two, "oak");
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(execution_count(test_deployment, "oak"), 1);
    // The same key with another body must not get the response recorded for the first call.
    EXPECT_TRUE(has_error(test_deployment.send_order(entry_two, "pine"), "idempotency_key_reused",
                          "not_run"));
    EXPECT_EQ(execution_count(test_deployment, "pine"), 0);
    // Without a key, nothing would prevent a second execution.
    auto const without_key =
        test_deployment.call(entry_one, "POST", "/v1/services/shop//orders", "elm");
    EXPECT_TRUE(has_error(without_key, "idempotency_key_required", "not_run"));
    EXPECT_EQ(execution_count(test_deployment, "elm"), 0);
}

// Guards against two executions when a call arrives at two nodes at the same time.
TEST(at_most_once, runs_a_call_once_when_two_nodes_receive_it_concurrently)
{
    two_node_deployment test_deployment("127.0.14.2");
    test_deployment.set_faults(shop_port, R"({"delay_milliseconds":500})");
    auto first = test_deployment.send_order_async(entry_one, "oak");
    auto second = test_deployment.send_order_async(entry_two, "oak");
    EXPECT_EQ(first.get().status, 200);
    EXPECT_EQ(second.get().status, 200);
    EXPECT_EQ(execution_count(test_deployment, "oak"), 1);
}

// Guards against a second execution, and against a false "not run", when the entry process that
// owns the claim is killed before the response arrives.
TEST(at_most_once, reports_an_unknown_outcome_when_the_claim_owner_is_killed)
{
    two_node_deployment test_deployment("127.0.14.3");
    test_deployment.set_faults(shop_port, R"({"delay_milliseconds":4000})");
    auto first = test_deployment.send_order_async(entry_one, "oak");
    ASSERT_TRUE(test_deployment.wait_for_execution("oak"));
    test_deployment.program("entry-1").send_signal(SIGKILL);
    EXPECT_EQ(first.get().status, 0);
    EXPECT_TRUE(
        has_error(test_deployment.send_order(entry_two, "oak"), "outcome_unknown", "unknown"));
    EXPECT_TRUE(
        has_error(test_deployment.send_order(entry_two, "oak"), "outcome_unknown", "unknown"));
    EXPECT_EQ(execution_count(test_deployment, "oak"), 1);
}

// Guards against a second execution while the claim owner is paused, and against losing the outcome
// when it continues.
TEST(at_most_once, records_the_outcome_of_a_claim_owner_that_was_paused)
{
    two_node_deployment test_deployment("127.0.14.4");
    // The response must not arrive before the process is paused.
    test_deployment.set_faults(shop_port, R"({"hold_answers":true})");
    auto first = test_deployment.send_order_async(entry_one, "oak");
    ASSERT_TRUE(test_deployment.wait_for_execution("oak"));
    test_deployment.program("entry-1").send_signal(SIGSTOP);
    auto const while_paused = test_deployment.send_order(entry_two, "oak");
    EXPECT_TRUE(has_error(while_paused, "outcome_unknown", "unknown"))
        << while_paused.status << " " << while_paused.body;
    test_deployment.set_faults(shop_port, R"({"hold_answers":false})");
    test_deployment.program("entry-1").send_signal(SIGCONT);
    EXPECT_EQ(first.get().status, 200);
    EXPECT_TRUE(
        wait_until([&] { return test_deployment.send_order(entry_two, "oak").status == 200; }));
    EXPECT_EQ(execution_count(test_deployment, "oak"), 1);
}

// Guards against losing a response that arrives after the caller's timeout.
TEST(at_most_once, records_a_response_that_arrives_after_the_timeout)
{
    two_node_deployment test_deployment("127.0.14.5");
    test_deployment.set_faults(shop_port, R"({"delay_milliseconds":1500})");
    EXPECT_TRUE(has_error(test_deployment.send_order(entry_one, "oak", "k1", "300"), "in_progress",
                          "unknown"));
    EXPECT_EQ(test_deployment.send_order(entry_two, "oak").status, 200);
    EXPECT_EQ(execution_count(test_deployment, "oak"), 1);
    test_deployment.set_faults(shop_port, R"({"delay_milliseconds":0,"drop_answers":1})");
    EXPECT_TRUE(has_error(test_deployment.send_order(entry_one, "elm", "k2"), "outcome_unknown",
                          "unknown"));
    EXPECT_TRUE(has_error(test_deployment.send_order(entry_two, "elm", "k2"), "outcome_unknown",
                          "unknown"));
    EXPECT_EQ(execution_count(test_deployment, "elm"), 1);
}

// Guards against a graceful shutdown that loses the outcome of a call whose caller has timed out.
TEST(at_most_once, shutdown_waits_for_open_calls)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    two_node_deployment test_deployment("127.0.14.9");
    unsetenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE");
    // The first call waits for the first load report. Later calls are dispatched at once.
    EXPECT_EQ(test_deployment.send_order(entry_one, "elm", "k0").status, 200);
    // Longer than the 5 s for which a process accepts requests after it was told to shut down.
    test_deployment.set_faults(shop_port, R"({"delay_milliseconds":12000})");
    EXPECT_TRUE(has_error(test_deployment.send_order(entry_one, "oak", "k1", "300"), "in_progress",
                          "unknown"));
    test_deployment.program("entry-1").send_signal(SIGTERM);
    EXPECT_EQ(test_deployment.program("entry-1").wait_for_exit(60), 0);
    EXPECT_EQ(test_deployment.send_order(entry_two, "oak").status, 200);
    EXPECT_EQ(execution_count(test_deployment, "oak"), 1);
}

// Guards against a false "not run" and against a blocked idempotency key when the platform is down,
// loses a response, or applies a write after the entry process has timed out.
TEST(at_most_once, reports_correct_outcomes_while_the_platform_fails)
{
    two_node_deployment test_deployment("127.0.14.6");
    test_deployment.set_faults(platform_port, R"({"outage":true})");
    EXPECT_TRUE(
        has_error(test_deployment.send_order(entry_one, "oak"), "platform_unavailable", "not_run"));
    EXPECT_EQ(execution_count(test_deployment, "oak"), 0);
    test_deployment.set_faults(platform_port, R"({"outage":false,"lose_answers":1})");
    EXPECT_EQ(test_deployment.send_order(entry_one, "oak").status, 200);
    EXPECT_EQ(execution_count(test_deployment, "oak"), 1);
    test_deployment.set_faults(platform_port, R"({"delay_milliseconds":3000})");
    EXPECT_TRUE(has_error(test_deployment.send_order(entry_one, "elm", "k2"),
                          "platform_unavailable", "not_run"));
    test_deployment.set_faults(platform_port, R"({"delay_milliseconds":0})");
    EXPECT_EQ(execution_count(test_deployment, "elm"), 0);
    EXPECT_TRUE(wait_until(
        [&] { return test_deployment.send_order(entry_two, "elm", "k2").status == 200; }));
    EXPECT_EQ(execution_count(test_deployment, "elm"), 1);
}

// Guards against an idempotent call that fails although another server could serve it.
TEST(at_most_once, retries_an_idempotent_call_at_another_server_when_one_is_killed)
{
    two_node_deployment test_deployment("127.0.14.7");
    test_deployment.start_service(2);
    EXPECT_TRUE(wait_until(
        [&]
        {
            test_deployment.call(entry_one, "GET", "/v1/services/shop/stock?part=1");
            auto const second = static_cast<std::uint16_t>(shop_port + 1);
            return test_deployment.call(second, "GET", "/stand-in/count").body.find("part=1") !=
                   std::string::npos;
        }));
    test_deployment.program("shop-1").send_signal(SIGKILL);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(test_deployment.call(entry_one, "GET", "/v1/services/shop/stock").status, 200);
}

// Guards against forwarding a status that promises that a call has not run although the service ran
// it.
TEST(at_most_once, status_that_promises_no_execution_is_not_forwarded_after_a_run)
{
    two_node_deployment test_deployment("127.0.14.8");
    for (int const status : {408, 421, 429, 503})
    {
        SCOPED_TRACE(status);
        auto const body = "oak-" + std::to_string(status);
        test_deployment.call(shop_port, "POST", "/stand-in/faults",
                             "{\"status\":" + std::to_string(status) + "}");
        for (auto const port : {entry_one, entry_two})
        {
            auto const response = test_deployment.send_order(port, body, body);
            EXPECT_EQ(response.status, 502);
            EXPECT_TRUE(has_error(response, "server_failed", "unknown"));
        }
        EXPECT_EQ(execution_count(test_deployment, body), 1);
        EXPECT_EQ(test_deployment.call(entry_one, "GET", "/v1/services/shop/stock?" + body).status,
                  502);
    }
}

} // namespace jasminepier::tests
