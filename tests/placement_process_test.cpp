#include "base/json.hpp"
#include "inner_protocol/rpc.hpp"
#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

namespace jasminepier::tests
{
namespace
{

struct received_order
{
    std::int64_t number = 0;
    std::string action;
    std::string model;
};

std::vector<received_order> orders_at(deployment& running, int engine)
{
    auto const port = static_cast<std::uint16_t>(engine_port_base + engine);
    auto const body = running.call(port, "GET", "/orders").body;
    return base::handle(
        [&]() -> base::result<std::vector<received_order>>
        {
            BOOST_LEAF_AUTO(document, base::parse_json_object(body));
            std::vector<received_order> orders;
            auto const list = document->getArray("orders");
            for (std::size_t i = 0; list && i < list->size(); ++i)
            {
                auto const entry = list->getObject(static_cast<unsigned>(i));
                orders.push_back({entry->optValue<Poco::Int64>("fencing_number", 0),
                                  entry->optValue<std::string>("action", ""),
                                  entry->optValue<std::string>("model", "")});
            }
            return orders;
        },
        [](base::error const&) { return std::vector<received_order>(); });
}

bool received(deployment& running, int engine, std::string const& model)
{
    auto const orders = orders_at(running, engine);
    return std::any_of(orders.begin(), orders.end(),
                       [&](auto const& each) { return each.model == model; });
}

/// The fencing number that the node says it holds, 0 when it does not hold the lease.
std::int64_t held_number(deployment& running, int node)
{
    inner_protocol::rpc_client<inner_protocol::control_nodeClient> client(
        running.host(), control_port_base + node, std::chrono::milliseconds(2000));
    return base::handle(
        [&]() -> base::result<std::int64_t>
        {
            return client.call(
                [](inner_protocol::control_nodeClient& peer)
                {
                    inner_protocol::node_status_reply status;
                    peer.node_status(status);
                    return status.placement_holder ? status.fencing_number : std::int64_t{0};
                });
        },
        [](base::error const&) { return std::int64_t{0}; });
}

/// The node that says it holds the lease, 0 when none does.
int holder(deployment& running)
{
    for (int node = 1; node <= 2; ++node)
        if (held_number(running, node) > 0)
            return node;
    return 0;
}

} // namespace

// Guards against orders of a holder that was paused while another took over: the second holder
// uses a higher number, and a server that enforces numbers accepts none that is lower afterwards.
TEST(placement_process, continues_under_a_higher_number_when_the_holder_is_paused)
{
    deployment running("127.0.14.8");
    running.start_engine(1, {"--enforce-fencing", "1"});
    running.start_engine(2);
    running.start_node(1);
    running.start_node(2);
    running.put("placement", "engine-1", R"({"models":["demo","first"]})");
    ASSERT_TRUE(
        wait_until([&] { return received(running, 1, "first"); }, std::chrono::seconds(60)));
    // The status changes at the end of the round that sent the order.
    ASSERT_TRUE(wait_until([&] { return holder(running) != 0; }));
    auto const paused = holder(running);
    auto const first_number = held_number(running, paused);
    auto const name = "control-" + std::to_string(paused);
    running.program(name).send_signal(SIGSTOP);
    running.put("placement", "engine-1", R"({"models":["demo","second"]})");
    running.put("placement", "engine-2", R"({"models":["demo","second"]})");
    EXPECT_TRUE(
        wait_until([&] { return received(running, 1, "second"); }, std::chrono::seconds(90)));
    EXPECT_TRUE(
        wait_until([&] { return received(running, 2, "second"); }, std::chrono::seconds(90)));
    EXPECT_TRUE(wait_until([&] { return held_number(running, 3 - paused) > first_number; }));
    running.program(name).send_signal(SIGCONT);
    running.put("placement", "engine-1", R"({"models":["demo","third"]})");
    EXPECT_TRUE(
        wait_until([&] { return received(running, 1, "third"); }, std::chrono::seconds(90)));
    std::int64_t last = 0;
    for (auto const& each : orders_at(running, 1))
    {
        EXPECT_GE(each.number, last);
        last = each.number;
    }
    EXPECT_GE(last, 2);
}

} // namespace jasminepier::tests
