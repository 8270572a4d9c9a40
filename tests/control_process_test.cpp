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

/// Every wait is far above the time that the system promises; no verdict depends on a busy machine.
constexpr seconds long_wait{60};

template <class Call>
bool call_control(deployment& running, int node, Call&& body)
{
    inner_protocol::rpc_client<client> connection(running.host(), control_port_base + node,
                                                  std::chrono::milliseconds(2000));
    return base::handle(
        [&]() -> base::result<bool>
        {
            return connection.call(
                [&](client& connected)
                {
                    body(connected);
                    return true;
                });
        },
        [](base::error const&) { return false; });
}

inner_protocol::node_status_reply status(deployment& running, int node)
{
    inner_protocol::node_status_reply reply;
    call_control(running, node, [&](client& connected) { connected.node_status(reply); });
    return reply;
}

/// The state in which `observer` sees `node`; -1 when it does not know it.
int observed_state(deployment& running, int observer, int node)
{
    for (auto const& record : status(running, observer).members)
        if (record.node_id == "node-" + std::to_string(node))
            return record.state;
    return -1;
}

bool wait_for_state(deployment& running, int observer, int node, int state)
{
    return wait_until([&] { return observed_state(running, observer, node) == state; }, long_wait);
}

void start_nodes(deployment& running, int count)
{
    for (int node = 1; node <= count; ++node)
        running.start_node(node);
    for (int node = 1; node <= count; ++node)
    {
        ASSERT_TRUE(running.wait_until_ready(node));
        for (int other = 1; other <= count; ++other)
            ASSERT_TRUE(wait_for_state(running, node, other, member_state::alive));
    }
}

int question_status(deployment& running, int node)
{
    return running
        .call(static_cast<std::uint16_t>(entry_port_base + node), "POST", "/v1/chat/completions",
              R"({"model":"demo","messages":[{"role":"user","content":"Which screws? tokens=2"}]})")
        .status;
}

std::string addresses(deployment& running, int node)
{
    return running
        .call(static_cast<std::uint16_t>(entry_port_base + node), "GET", "/v1/entry-addresses")
        .body;
}

std::string entry_address(deployment& running, int node)
{
    return running.host() + ":" + std::to_string(entry_port_base + node);
}

} // namespace

// Guards against a killed node that stays in address answers, and against a restarted one that is
// taken for its dead predecessor.
TEST(control_process, a_killed_node_is_noticed_and_may_return)
{
    deployment running("127.0.13.1");
    start_nodes(running, 3);
    // The entry process hears with its next poll that the node is ready.
    EXPECT_TRUE(wait_until(
        [&]
        { return addresses(running, 1).find(entry_address(running, 3)) != std::string::npos; }));
    running.kill_program("control-3");
    running.kill_program("entry-3");
    EXPECT_TRUE(wait_for_state(running, 1, 3, member_state::dead));
    EXPECT_TRUE(wait_until(
        [&]
        { return addresses(running, 1).find(entry_address(running, 3)) == std::string::npos; }));
    running.start_node(3);
    EXPECT_TRUE(wait_for_state(running, 1, 3, member_state::alive));
    EXPECT_TRUE(wait_for_state(running, 3, 1, member_state::alive));
}

// Guards against an entry process that keeps admitting work without its control process, and
// against a paused control process that does not return.
TEST(control_process, a_paused_control_process_stops_admission_until_it_returns)
{
    deployment running("127.0.13.2");
    running.start_engine(1);
    start_nodes(running, 3);
    EXPECT_TRUE(wait_until([&] { return question_status(running, 3) == 200; }));
    running.program("control-3").send_signal(SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return question_status(running, 3) == 503; }, long_wait));
    EXPECT_TRUE(wait_for_state(running, 1, 3, member_state::dead));
    EXPECT_EQ(question_status(running, 1), 200);
    running.program("control-3").send_signal(SIGCONT);
    EXPECT_TRUE(wait_for_state(running, 1, 3, member_state::alive));
    EXPECT_TRUE(wait_until([&] { return question_status(running, 3) == 200; }, long_wait));
}

// Guards against a planned stop that others take for a crash, or that ends before it is gossiped.
TEST(control_process, a_stopping_node_is_seen_leaving_and_ends_with_0)
{
    deployment running("127.0.13.3");
    start_nodes(running, 3);
    running.program("control-2").send_signal(SIGTERM);
    EXPECT_TRUE(wait_for_state(running, 1, 2, member_state::leaving));
    EXPECT_TRUE(wait_for_state(running, 3, 2, member_state::leaving));
    // The entry process hears of it with its next poll.
    EXPECT_TRUE(wait_until(
        [&]
        { return addresses(running, 1).find(entry_address(running, 2)) == std::string::npos; }));
    EXPECT_EQ(running.program("control-2").wait_for_exit(60), 0);
}

// Guards against nodes that cannot start, or stop serving, while the platform is down, and against
// a change that is missed after the outage.
TEST(control_process, nodes_start_and_serve_while_the_platform_is_down)
{
    deployment running("127.0.13.4");
    running.start_engine(1);
    start_nodes(running, 3);
    running.set_faults(platform_port, R"({"outage":true})");
    running.kill_program("control-3");
    running.kill_program("entry-3");
    running.start_node(3);
    EXPECT_TRUE(running.wait_until_ready(3));
    EXPECT_TRUE(wait_until([&] { return question_status(running, 3) == 200; }, long_wait));
    running.set_faults(platform_port, R"({"outage":false})");
    running.put("zone", "zone-x", R"({"region":"local","state":"out_of_service"})");
    auto const applied_everywhere = [&]
    {
        auto const revision = status(running, 1).configuration_revision;
        for (int node = 1; node <= 3; ++node)
            if (status(running, node).applied_revision != revision)
                return false;
        return revision > 0;
    };
    EXPECT_TRUE(wait_until(applied_everywhere, long_wait));
}

// Guards against a node that admits work although it can no longer learn of anything. With one of
// the two peers back, it admits work again, although the platform is still down.
TEST(control_process, an_isolated_node_stops_admission)
{
    deployment running("127.0.13.5");
    running.start_engine(1);
    start_nodes(running, 3);
    EXPECT_TRUE(wait_until([&] { return question_status(running, 3) == 200; }));
    running.set_faults(platform_port, R"({"outage":true})");
    running.program("control-1").send_signal(SIGSTOP);
    running.program("control-2").send_signal(SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return status(running, 3).isolated; }, long_wait));
    EXPECT_TRUE(wait_until([&] { return question_status(running, 3) == 503; }, long_wait));
    running.program("control-1").send_signal(SIGCONT);
    EXPECT_TRUE(wait_until([&] { return question_status(running, 3) == 200; }, long_wait));
}

// Guards against a server's state that only its observer knows, and against servers polled by every
// node.
TEST(control_process, load_and_loss_of_a_server_reach_every_node)
{
    deployment running("127.0.13.6");
    running.start_engine(1);
    running.start_engine(2);
    start_nodes(running, 3);
    auto const everywhere = [&](int server, auto&& holds)
    {
        for (int node = 1; node <= 3; ++node)
        {
            auto const loads = status(running, node).loads;
            auto const found =
                std::find_if(loads.begin(), loads.end(),
                             [&](inner_protocol::load_digest const& digest)
                             { return digest.server_id == "engine-" + std::to_string(server); });
            if (found == loads.end() || !holds(found->state))
                return false;
        }
        return true;
    };
    auto const usable = [](int state) { return state < 2; };
    EXPECT_TRUE(wait_until([&] { return everywhere(1, usable) && everywhere(2, usable); }));
    running.kill_program("engine-2");
    EXPECT_TRUE(
        wait_until([&] { return everywhere(2, [](int state) { return state == 3; }); }, long_wait));
    EXPECT_TRUE(everywhere(1, usable));
}

// Guards against crash records that stay on the node that saw the crash.
TEST(control_process, a_crash_reported_to_one_node_reaches_the_others)
{
    deployment running("127.0.13.7");
    start_nodes(running, 3);
    inner_protocol::entry_report report;
    inner_protocol::crash_record crash;
    crash.fingerprint = 77;
    crash.server_id = "engine-1";
    crash.instance = "i";
    report.crashes = {crash, crash};
    auto const exchange = [&](int node)
    {
        inner_protocol::control_update update;
        call_control(running, node, [&](client& connected) { connected.exchange(update, report); });
        return update.crashes.size();
    };
    EXPECT_EQ(exchange(1), 1U);
    report.crashes.clear();
    EXPECT_TRUE(wait_until([&] { return exchange(2) == 1 && exchange(3) == 1; }));
}

} // namespace jasminepier::tests
