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

/// Executions that the stand-in service counted for the order with this body.
int executions(deployment& running, std::string const& body)
{
    auto const counts = running.call(shop_port, "GET", "/stand-in/count").body;
    return base::handle(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(document, base::parse_json_object(counts));
            return document->optValue<int>("/orders|" + body, 0);
        },
        [](base::error const&) { return -1; });
}

/// Two entry nodes in front of one service.
class two_nodes : public deployment
{
public:
    explicit two_nodes(std::string const& host) : deployment(host)
    {
        start_service(1);
        start_node(1);
        start_node(2);
        EXPECT_TRUE(wait_until_ready(1));
        EXPECT_TRUE(wait_until_ready(2));
    }

    backend::backend_response order(std::uint16_t entry_port, std::string const& body,
                                    std::string const& key = "k1",
                                    std::string const& timeout = "10000")
    {
        return call(entry_port, "POST", order_path, body,
                    {{"Idempotency-Key", key}, {"Jasminepier-Timeout-Milliseconds", timeout}});
    }
    std::future<backend::backend_response> order_in_background(std::uint16_t entry_port,
                                                               std::string const& body)
    {
        return std::async(std::launch::async, [=, this] { return order(entry_port, body); });
    }
    bool wait_for_execution(std::string const& body)
    {
        return wait_until([&] { return executions(*this, body) == 1; });
    }
};

bool says(backend::backend_response const& answer, std::string const& code,
          std::string const& execution)
{
    return answer.body.find("\"code\":\"" + code + "\"") != std::string::npos &&
           answer.body.find("\"execution\":\"" + execution + "\"") != std::string::npos;
}

} // namespace

// Guards against a second execution when a caller sends an order again with the same key.
TEST(at_most_once_process, runs_an_order_once_when_it_is_sent_twice)
{
    two_nodes running("127.0.14.1");
    auto const first = running.order(entry_one, "oak");
    auto const second = running.order(entry_two, "oak");
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(executions(running, "oak"), 1);
    // The same key with another body is another request and must not be answered as this one.
    EXPECT_TRUE(says(running.order(entry_two, "pine"), "idempotency_key_reused", "not_run"));
    EXPECT_EQ(executions(running, "pine"), 0);
    // Without a key nothing could keep the order from running twice.
    auto const without_key = running.call(entry_one, "POST", "/v1/services/shop//orders", "elm");
    EXPECT_TRUE(says(without_key, "idempotency_key_required", "not_run"));
    EXPECT_EQ(executions(running, "elm"), 0);
}

// Guards against two executions when both resends arrive at the same time at different nodes.
TEST(at_most_once_process, runs_an_order_once_when_two_nodes_receive_it_at_once)
{
    two_nodes running("127.0.14.2");
    running.set_faults(shop_port, R"({"delay_milliseconds":500})");
    auto first = running.order_in_background(entry_one, "oak");
    auto second = running.order_in_background(entry_two, "oak");
    EXPECT_EQ(first.get().status, 200);
    EXPECT_EQ(second.get().status, 200);
    EXPECT_EQ(executions(running, "oak"), 1);
}

// Guards against a rerun, and against a false "not run", after the claiming entry process died
// between its claim and the answer.
TEST(at_most_once_process, says_unknown_when_the_claiming_process_is_killed)
{
    two_nodes running("127.0.14.3");
    running.set_faults(shop_port, R"({"delay_milliseconds":4000})");
    auto first = running.order_in_background(entry_one, "oak");
    ASSERT_TRUE(running.wait_for_execution("oak"));
    running.program("entry-1").send_signal(SIGKILL);
    EXPECT_EQ(first.get().status, 0);
    EXPECT_TRUE(says(running.order(entry_two, "oak"), "outcome_unknown", "unknown"));
    EXPECT_TRUE(says(running.order(entry_two, "oak"), "outcome_unknown", "unknown"));
    EXPECT_EQ(executions(running, "oak"), 1);
}

// Guards against a rerun while the claiming process is paused, and against a lost outcome when it
// continues.
TEST(at_most_once_process, keeps_the_outcome_of_a_process_that_was_paused)
{
    two_nodes running("127.0.14.4");
    // The answer must not come before the process is paused, however late that is.
    running.set_faults(shop_port, R"({"hold_answers":true})");
    auto first = running.order_in_background(entry_one, "oak");
    ASSERT_TRUE(running.wait_for_execution("oak"));
    running.program("entry-1").send_signal(SIGSTOP);
    auto const meanwhile = running.order(entry_two, "oak");
    EXPECT_TRUE(says(meanwhile, "outcome_unknown", "unknown"))
        << meanwhile.status << " " << meanwhile.body;
    running.set_faults(shop_port, R"({"hold_answers":false})");
    running.program("entry-1").send_signal(SIGCONT);
    EXPECT_EQ(first.get().status, 200);
    EXPECT_TRUE(wait_until([&] { return running.order(entry_two, "oak").status == 200; }));
    EXPECT_EQ(executions(running, "oak"), 1);
}

// Guards against the loss of an answer that comes after the caller's timeout.
TEST(at_most_once_process, records_an_answer_that_comes_after_the_timeout)
{
    two_nodes running("127.0.14.5");
    running.set_faults(shop_port, R"({"delay_milliseconds":1500})");
    EXPECT_TRUE(says(running.order(entry_one, "oak", "k1", "300"), "in_progress", "unknown"));
    EXPECT_EQ(running.order(entry_two, "oak").status, 200);
    EXPECT_EQ(executions(running, "oak"), 1);
    running.set_faults(shop_port, R"({"delay_milliseconds":0,"drop_answers":1})");
    EXPECT_TRUE(says(running.order(entry_one, "elm", "k2"), "outcome_unknown", "unknown"));
    EXPECT_TRUE(says(running.order(entry_two, "elm", "k2"), "outcome_unknown", "unknown"));
    EXPECT_EQ(executions(running, "elm"), 1);
}

// Guards against a planned stop that forgets the outcome of an order whose caller no longer waits.
TEST(at_most_once_process, a_stop_waits_for_the_outcome)
{
    setenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE", "0", 1);
    two_nodes running("127.0.14.9");
    unsetenv("JASMINEPIER_ADDRESS_TIME_TO_LIVE");
    // The first order waits for the first load report; the next one is sent at once.
    EXPECT_EQ(running.order(entry_one, "elm", "k0").status, 200);
    // Longer than the 5 s for which a stopping process still takes requests.
    running.set_faults(shop_port, R"({"delay_milliseconds":12000})");
    EXPECT_TRUE(says(running.order(entry_one, "oak", "k1", "300"), "in_progress", "unknown"));
    running.program("entry-1").send_signal(SIGTERM);
    EXPECT_EQ(running.program("entry-1").wait_for_exit(60), 0);
    EXPECT_EQ(running.order(entry_two, "oak").status, 200);
    EXPECT_EQ(executions(running, "oak"), 1);
}

// Guards against a false "not run" and against a blocked key when the platform is down, loses an
// answer, or applies a write after the entry process has given up on it.
TEST(at_most_once_process, tells_the_truth_while_the_platform_fails)
{
    two_nodes running("127.0.14.6");
    running.set_faults(platform_port, R"({"outage":true})");
    EXPECT_TRUE(says(running.order(entry_one, "oak"), "platform_unavailable", "not_run"));
    EXPECT_EQ(executions(running, "oak"), 0);
    running.set_faults(platform_port, R"({"outage":false,"lose_answers":1})");
    EXPECT_EQ(running.order(entry_one, "oak").status, 200);
    EXPECT_EQ(executions(running, "oak"), 1);
    running.set_faults(platform_port, R"({"delay_milliseconds":3000})");
    EXPECT_TRUE(says(running.order(entry_one, "elm", "k2"), "platform_unavailable", "not_run"));
    running.set_faults(platform_port, R"({"delay_milliseconds":0})");
    EXPECT_EQ(executions(running, "elm"), 0);
    EXPECT_TRUE(wait_until([&] { return running.order(entry_two, "elm", "k2").status == 200; }));
    EXPECT_EQ(executions(running, "elm"), 1);
}

// Guards against a lookup that fails although another server could answer it.
TEST(at_most_once_process, answers_a_lookup_from_another_server_when_one_is_gone)
{
    two_nodes running("127.0.14.7");
    running.start_service(2);
    EXPECT_TRUE(wait_until(
        [&]
        {
            running.call(entry_one, "GET", "/v1/services/shop/stock?part=1");
            auto const second = static_cast<std::uint16_t>(shop_port + 1);
            return running.call(second, "GET", "/stand-in/count").body.find("part=1") !=
                   std::string::npos;
        }));
    running.program("shop-1").send_signal(SIGKILL);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(running.call(entry_one, "GET", "/v1/services/shop/stock").status, 200);
}

} // namespace jasminepier::tests
