#include "inner_protocol/rpc.hpp"
#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminepier::tests
{
namespace
{

using inner_protocol::member_state;
using client = inner_protocol::control_nodeClient;
using std::chrono::seconds;

/// Far above every time limit of the system, so that results don't depend on the machine's load.
constexpr seconds wait_limit{60};

template <class Call>
bool call_control_process(deployment& test_deployment, int node, Call&& function)
{
    inner_protocol::rpc_client<client> connection(test_deployment.host(), control_port_base + node,
                                                  std::chrono::milliseconds(2000));
    return base::handle(
        [&]() -> base::result<bool>
        {
            return connection.call(
                [&](client& connected_client)
                {
                    function(connected_client);
                    return true;
                });
        },
        [](base::error const&) { return false; });
}

inner_protocol::node_status_reply status(deployment& test_deployment, int node)
{
    inner_protocol::node_status_reply reply;
    call_control_process(test_deployment, node,
                         [&](client& connected_client) { connected_client.node_status(reply); });
    return reply;
}

/// Returns the state of `node` as observed by `observer`, or -1 if `observer` has no record.
int observed_state(deployment& test_deployment, int observer, int node)
{
    for (auto const& record : status(test_deployment, observer).members)
        if (record.node_id == "node-" + std::to_string(node))
            return record.state;
    return -1;
}

bool wait_for_state(deployment& test_deployment, int observer, int node, int state)
{
    return wait_until([&] { return observed_state(test_deployment, observer, node) == state; },
                      wait_limit);
}

void start_nodes(deployment& test_deployment, int count)
{
    for (int node = 1; node <= count; ++node)
        test_deployment.start_node(node);
    for (int node = 1; node <= count; ++node)
    {
        ASSERT_TRUE(test_deployment.wait_until_ready(node));
        for (int peer = 1; peer <= count; ++peer)
            ASSERT_TRUE(wait_for_state(test_deployment, node, peer, member_state::alive));
    }
}

int completion_status(deployment& test_deployment, int node)
{
    return test_deployment
        .call(static_cast<std::uint16_t>(entry_port_base + node), "POST", "/v1/chat/completions",
              R"({"model":"demo","messages":[{"role":"user","content":"Which screws? tokens=2"}]})")
        .status;
}

std::string list_entry_addresses(deployment& test_deployment, int node)
{
    return test_deployment
        .call(static_cast<std::uint16_t>(entry_port_base + node), "GET", "/v1/entry-addresses")
        .body;
}

std::string entry_address(deployment& test_deployment, int node)
{
    return test_deployment.host() + ":" + std::to_string(entry_port_base + node);
}

} // namespace

// Guards against a killed node that stays in the list of entry addresses, and against a restarted
// node that is mistaken for its dead predecessor.
TEST(control_process, killed_node_is_delisted_and_returns_after_restart)
{
    deployment test_deployment("127.0.13.1");
    start_nodes(test_deployment, 3);
    // The entry process learns with its next poll that the node is ready.
    EXPECT_TRUE(wait_until(
        [&]
        {
            return list_entry_addresses(test_deployment, 1)
                       .find(entry_address(test_deployment, 3)) != std::string::npos;
        }));
    test_deployment.kill_program("control-3");
    test_deployment.kill_program("entry-3");
    EXPECT_TRUE(wait_for_state(test_deployment, 1, 3, member_state::dead));
    EXPECT_TRUE(wait_until(
        [&]
        {
            return list_entry_addresses(test_deployment, 1)
                       .find(entry_address(test_deployment, 3)) == std::string::npos;
        }));
    test_deployment.start_node(3);
    EXPECT_TRUE(wait_for_state(test_deployment, 1, 3, member_state::alive));
    EXPECT_TRUE(wait_for_state(test_deployment, 3, 1, member_state::alive));
}

// Guards against an entry process that admits work without its control process, and against a
// paused control process that does not rejoin.
TEST(control_process, paused_control_process_stops_admission_until_it_resumes)
{
    deployment test_deployment("127.0.13.2");
    test_deployment.start_engine(1);
    start_nodes(test_deployment, 3);
    EXPECT_TRUE(wait_until([&] { return completion_status(test_deployment, 3) == 200; }));
    test_deployment.program("control-3").send_signal(SIGSTOP);
    EXPECT_TRUE(
        wait_until([&] { return completion_status(test_deployment, 3) == 503; }, wait_limit));
    EXPECT_TRUE(wait_for_state(test_deployment, 1, 3, member_state::dead));
    EXPECT_EQ(completion_status(test_deployment, 1), 200);
    test_deployment.program("control-3").send_signal(SIGCONT);
    EXPECT_TRUE(wait_for_state(test_deployment, 1, 3, member_state::alive));
    EXPECT_TRUE(
        wait_until([&] { return completion_status(test_deployment, 3) == 200; }, wait_limit));
}

// Guards against a graceful shutdown that peers mistake for a crash, and against a process that
// exits before the shutdown is gossiped.
TEST(control_process, node_in_graceful_shutdown_is_leaving_and_exits_with_0)
{
    deployment test_deployment("127.0.13.3");
    start_nodes(test_deployment, 3);
    test_deployment.program("control-2").send_signal(SIGTERM);
    EXPECT_TRUE(wait_for_state(test_deployment, 1, 2, member_state::leaving));
    EXPECT_TRUE(wait_for_state(test_deployment, 3, 2, member_state::leaving));
    // The entry process learns of the shutdown with its next poll.
    EXPECT_TRUE(wait_until(
        [&]
        {
            return list_entry_addresses(test_deployment, 1)
                       .find(entry_address(test_deployment, 2)) == std::string::npos;
        }));
    EXPECT_EQ(test_deployment.program("control-2").wait_for_exit(60), 0);
}

// Guards against nodes that can't start or stop serving while the platform is down, and against a
// change that is missed after the outage.
TEST(control_process, nodes_start_and_serve_while_the_platform_is_down)
{
    deployment test_deployment("127.0.13.4");
    test_deployment.start_engine(1);
    start_nodes(test_deployment, 3);
    test_deployment.set_faults(platform_port, R"({"outage":true})");
    test_deployment.kill_program("control-3");
    test_deployment.kill_program("entry-3");
    test_deployment.start_node(3);
    EXPECT_TRUE(test_deployment.wait_until_ready(3));
    EXPECT_TRUE(
        wait_until([&] { return completion_status(test_deployment, 3) == 200; }, wait_limit));
    test_deployment.set_faults(platform_port, R"({"outage":false})");
    test_deployment.put("zone", "zone-x", R"({"region":"local","state":"out_of_service"})");
    auto const applied_everywhere = [&]
    {
        auto const revision = status(test_deployment, 1).configuration_revision;
        for (int node = 1; node <= 3; ++node)
            if (status(test_deployment, node).applied_revision != revision)
                return false;
        return revision > 0;
    };
    EXPECT_TRUE(wait_until(applied_everywhere, wait_limit));
}

// Guards against a node that admits work without contact to the platform and to any peer. With one
// of the two peers back, it admits work again although the platform is still down.
TEST(control_process, isolated_node_stops_admission_until_a_peer_returns)
{
    deployment test_deployment("127.0.13.5");
    test_deployment.start_engine(1);
    start_nodes(test_deployment, 3);
    EXPECT_TRUE(wait_until([&] { return completion_status(test_deployment, 3) == 200; }));
    test_deployment.set_faults(platform_port, R"({"outage":true})");
    test_deployment.program("control-1").send_signal(SIGSTOP);
    test_deployment.program("control-2").send_signal(SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return status(test_deployment, 3).isolated; }, wait_limit));
    EXPECT_TRUE(
        wait_until([&] { return completion_status(test_deployment, 3) == 503; }, wait_limit));
    test_deployment.program("control-1").send_signal(SIGCONT);
    EXPECT_TRUE(
        wait_until([&] { return completion_status(test_deployment, 3) == 200; }, wait_limit));
}

// Guards against a server state that only the server's observer receives, and against servers that
// every node polls.
TEST(control_process, load_and_loss_of_a_server_reach_every_node)
{
    deployment test_deployment("127.0.13.6");
    test_deployment.start_engine(1);
    test_deployment.start_engine(2);
    start_nodes(test_deployment, 3);
    auto const on_all_nodes = [&](int server, auto&& has_state)
    {
        for (int node = 1; node <= 3; ++node)
        {
            auto const loads = status(test_deployment, node).loads;
            auto const found =
                std::find_if(loads.begin(), loads.end(),
                             [&](inner_protocol::load_digest const& digest)
                             { return digest.server_id == "engine-" + std::to_string(server); });
            if (found == loads.end() || !has_state(found->state))
                return false;
        }
        return true;
    };
    auto const is_usable = [](int state) { return state < 2; };
    EXPECT_TRUE(
        wait_until([&] { return on_all_nodes(1, is_usable) && on_all_nodes(2, is_usable); }));
    test_deployment.kill_program("engine-2");
    EXPECT_TRUE(wait_until([&] { return on_all_nodes(2, [](int state) { return state == 3; }); },
                           wait_limit));
    EXPECT_TRUE(on_all_nodes(1, is_usable));
}

// Guards against crash records that stay on the node that detected the crash.
TEST(control_process, crash_record_reported_to_one_node_reaches_all_nodes)
{
    deployment test_deployment("127.0.13.7");
    start_nodes(test_deployment, 3);
    inner_protocol::entry_report report;
    inner_protocol::crash_record crash;
    crash.fingerprint = 77;
    crash.server_id = "engine-1";
    crash.instance = "i";
    report.crashes = {crash, crash};
    // Sends the report of an entry process and returns the number of crash records in the update.
    auto const exchange_report = [&](int node)
    {
        inner_protocol::control_update update;
        call_control_process(test_deployment, node,
                             [&](client& connected_client)
                             { connected_client.exchange(update, report); });
        return update.crashes.size();
    };
    EXPECT_EQ(exchange_report(1), 1U);
    report.crashes.clear();
    EXPECT_TRUE(wait_until([&] { return exchange_report(2) == 1 && exchange_report(3) == 1; }));
}

} // namespace jasminepier::tests
