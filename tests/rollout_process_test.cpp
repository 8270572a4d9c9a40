/// Roll-outs with two real nodes, a store and servers on loopback.
#include "tests/support/deployment.hpp"
#include "tests/support/fake_server.hpp"
#include "tests/support/fake_store.hpp"
#include "tests/support/node_process.hpp"
#include "tests/support/port_reservation.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Lets the canary have a fifth of the requests, since a test lasts only for seconds.
constexpr char const* bounds =
    "exposure_share = 0.4\nexposure_tolerance = 50\nrollback_ms = 5000\n";
constexpr int duration_seconds = 12;

class rollout_process_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_store.put("config", "main",
                    R"({"version":1,"routes":[{"name":"check","host":"shop.example",)"
                    R"("path_prefix":"/check/","route_type":"idempotent","service":"shop",)"
                    R"("max_attempts":2}],"services":[{"name":"shop"}],)"
                    R"("tenants":[{"name":"huka","api_keys":["key-1"]}]})");
        list(m_old_1, "v1");
        list(m_old_2, "v1");
        for (auto* node : {&m_node_1, &m_node_2})
            ASSERT_TRUE(
                wait_until([&] { return node->is_ready() && call(*node) == 200; }, seconds(10)));
        m_traffic = std::thread([this] { send_requests(); });
    }

    void TearDown() override
    {
        m_stopped = true;
        m_traffic.join();
        if (HasFailure())
            for (auto* node : {&m_node_1, &m_node_2})
                std::cerr << "output of a node:\n" << node->output();
    }

    void list(fake_server const& server, std::string const& version)
    {
        m_store.put("servers", server.id(),
                    R"({"service":"shop","address":")" + server.address() +
                        R"(","zone":"a","slots":8,"state":"ready","version":")" + version + "\"}");
    }

    void order()
    {
        list(m_new_1, "v2");
        list(m_new_2, "v2");
        m_store.put("rollouts", "shop",
                    R"({"service":"shop","to":"v2","duration_s":)" +
                        std::to_string(duration_seconds) + "}");
    }

    bool wait_for_state(std::string const& state, seconds timeout)
    {
        return wait_until(
            [&]
            { return m_store.find_status("rollouts", "shop").find(state) != std::string::npos; },
            timeout);
    }

    int call(node_process& node)
    {
        try
        {
            return call_node(node.ports().callers,
                             make_request("GET", "/check/ok", "r" + std::to_string(++m_requests)))
                .status;
        }
        catch (std::exception const&)
        {
            return 0;
        }
    }

    void send_requests()
    {
        while (!m_stopped)
        {
            for (auto* node : {&m_node_1, &m_node_2})
                m_failures += call(*node) == 200 ? 0 : 1;
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    static std::size_t count(fake_server const& first, fake_server const& second)
    {
        return first.requests().size() + second.requests().size();
    }

    static std::uint16_t port(int offset)
    {
        static auto const first_port = reserve_ports();
        return static_cast<std::uint16_t>(first_port + offset);
    }

    fake_store m_store{port(0)};
    fake_server m_old_1{port(11), "i-old-1"};
    fake_server m_old_2{port(12), "i-old-2"};
    fake_server m_new_1{port(13), "i-new-1"};
    fake_server m_new_2{port(14), "i-new-2"};
    node_process m_node_1{"n1", {port(1), port(2), port(3), port(4)}, port(0), bounds};
    node_process m_node_2{"n2", {port(5), port(6), port(7), port(8)}, port(0), bounds};
    std::atomic<int> m_requests{0};
    std::atomic<int> m_failures{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_traffic;
};

// Guards against a bad version that goes on receiving requests, and callers that notice it.
TEST_F(rollout_process_test, bad_version_is_rolled_back)
{
    m_new_1.fail_requests();
    m_new_2.fail_requests();
    order();
    ASSERT_TRUE(wait_for_state("rolled_back", seconds(duration_seconds)));
    std::this_thread::sleep_for(milliseconds(500));
    auto const sent = count(m_new_1, m_new_2);
    std::this_thread::sleep_for(seconds(2));
    EXPECT_EQ(count(m_new_1, m_new_2), sent);
    EXPECT_GT(sent, 0U);
    EXPECT_LT(sent, m_requests * 0.4 + 50);
    // Another server is tried after a failure.
    EXPECT_LE(m_failures, m_requests * 0.01);
    std::cout << sent << " requests to the bad version of " << m_requests << ", " << m_failures
              << " failed\n";
}

// Guards against a roll-out that stops with the node that decides it, and against requests to the
// old servers, which stop at once after the end.
TEST_F(rollout_process_test, good_version_is_completed_after_the_deciding_node_was_killed)
{
    order();
    ASSERT_TRUE(wait_for_state("in_progress", seconds(5)));
    bool const first_decides = wait_until(
        [&] { return m_node_1.output().find("rollout_written") != std::string::npos; }, seconds(1));
    (first_decides ? m_node_1 : m_node_2).program().send_signal(SIGKILL);
    ASSERT_TRUE(wait_for_state("completed", seconds(duration_seconds)));
    auto const sent = count(m_old_1, m_old_2);
    std::this_thread::sleep_for(seconds(2));
    EXPECT_EQ(count(m_old_1, m_old_2), sent);
}

// Guards against a node that comes back from a pause and turns the end round, and against a
// roll-out that waits for it.
TEST_F(rollout_process_test, end_stands_when_a_paused_deciding_node_comes_back)
{
    order();
    ASSERT_TRUE(wait_for_state("in_progress", seconds(5)));
    bool const first_decides = wait_until(
        [&] { return m_node_1.output().find("rollout_written") != std::string::npos; }, seconds(1));
    auto& decider = first_decides ? m_node_1 : m_node_2;
    // Callers of a paused node wait, so the traffic ends first.
    m_stopped = true;
    decider.program().send_signal(SIGSTOP);
    EXPECT_TRUE(wait_for_state("rolled_back", seconds(duration_seconds)) ||
                wait_for_state("completed", seconds(1)));
    auto const end = m_store.find_status("rollouts", "shop");
    decider.program().send_signal(SIGCONT);
    std::this_thread::sleep_for(seconds(3));
    EXPECT_EQ(m_store.find_status("rollouts", "shop"), end);
}

// Guards against a roll-back that waits for the store.
TEST_F(rollout_process_test, bad_version_gets_no_requests_although_the_store_is_away)
{
    m_new_1.fail_requests();
    m_new_2.fail_requests();
    order();
    ASSERT_TRUE(wait_for_state("in_progress", seconds(5)));
    m_store.set_mode(store_mode::unavailable);
    ASSERT_TRUE(wait_until(
        [&]
        {
            return m_node_1.output().find("stage=rolled_back") != std::string::npos &&
                   m_node_2.output().find("stage=rolled_back") != std::string::npos;
        },
        seconds(duration_seconds)));
    std::this_thread::sleep_for(milliseconds(500));
    auto const sent = count(m_new_1, m_new_2);
    std::this_thread::sleep_for(seconds(1));
    EXPECT_EQ(count(m_new_1, m_new_2), sent);
    m_store.set_mode(store_mode::serving);
    EXPECT_TRUE(wait_for_state("rolled_back", seconds(10)));
}

} // namespace
} // namespace jasminepier::tests
