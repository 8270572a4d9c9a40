#include "base/json.hpp"
#include "inner_protocol/rpc.hpp"
#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

namespace jasminepier::tests
{
namespace
{

struct received_command
{
    std::int64_t fencing_number = 0;
    std::string action;
    std::string model;
};

std::vector<received_command> commands_received_by(deployment& test_deployment, int engine)
{
    auto const port = static_cast<std::uint16_t>(engine_port_base + engine);
    auto const body = test_deployment.call(port, "GET", "/orders").body;
    return base::handle(
        [&]() -> base::result<std::vector<received_command>>
        {
            BOOST_LEAF_AUTO(document, base::parse_json_object(body));
            std::vector<received_command> commands;
            auto const list = document->getArray("orders");
            for (std::size_t i = 0; list && i < list->size(); ++i)
            {
                auto const entry = list->getObject(static_cast<unsigned>(i));
                commands.push_back({entry->optValue<Poco::Int64>("fencing_number", 0),
                                    entry->optValue<std::string>("action", ""),
                                    entry->optValue<std::string>("model", "")});
            }
            return commands;
        },
        [](base::error const&) { return std::vector<received_command>(); });
}

bool has_received_load(deployment& test_deployment, int engine, std::string const& model)
{
    auto const commands = commands_received_by(test_deployment, engine);
    return std::any_of(commands.begin(), commands.end(),
                       [&](auto const& each) { return each.model == model; });
}

/// Returns the fencing number that the node reports, 0 if it doesn't hold the lease.
std::int64_t reported_fencing_number(deployment& test_deployment, int node)
{
    inner_protocol::rpc_client<inner_protocol::control_nodeClient> client(
        test_deployment.host(), control_port_base + node, std::chrono::milliseconds(2000));
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

/// Returns the node that reports holding the lease, 0 if there is none.
int find_lease_holder(deployment& test_deployment)
{
    for (int node = 1; node <= 2; ++node)
        if (reported_fencing_number(test_deployment, node) > 0)
            return node;
    return 0;
}

} // namespace

// Guards against commands of a lease holder that was paused while another node took over the lease.
// The new holder uses a higher fencing number, and a server that enforces fencing must not accept a
// lower one afterwards.
TEST(placement_process, new_lease_holder_uses_a_higher_fencing_number_when_the_old_one_is_paused)
{
    deployment test_deployment("127.0.14.8");
    test_deployment.start_engine(1, {"--enforce-fencing", "1"});
    test_deployment.start_engine(2);
    test_deployment.start_node(1);
    test_deployment.start_node(2);
    test_deployment.put("placement", "engine-1", R"({"models":["demo","first"]})");
    ASSERT_TRUE(wait_until([&] { return has_received_load(test_deployment, 1, "first"); },
                           std::chrono::seconds(60)));
    // The node's status changes at the end of the round that sent the command.
    ASSERT_TRUE(wait_until([&] { return find_lease_holder(test_deployment) != 0; }));
    auto const paused_node = find_lease_holder(test_deployment);
    auto const first_fencing_number = reported_fencing_number(test_deployment, paused_node);
    auto const name = "control-" + std::to_string(paused_node);
    test_deployment.program(name).send_signal(SIGSTOP);
    test_deployment.put("placement", "engine-1", R"({"models":["demo","second"]})");
    test_deployment.put("placement", "engine-2", R"({"models":["demo","second"]})");
    EXPECT_TRUE(wait_until([&] { return has_received_load(test_deployment, 1, "second"); },
                           std::chrono::seconds(90)));
    EXPECT_TRUE(wait_until([&] { return has_received_load(test_deployment, 2, "second"); },
                           std::chrono::seconds(90)));
    EXPECT_TRUE(wait_until(
        [&] {
            return reported_fencing_number(test_deployment, 3 - paused_node) > first_fencing_number;
        }));
    test_deployment.program(name).send_signal(SIGCONT);
    test_deployment.put("placement", "engine-1", R"({"models":["demo","third"]})");
    EXPECT_TRUE(wait_until([&] { return has_received_load(test_deployment, 1, "third"); },
                           std::chrono::seconds(90)));
    std::int64_t last_fencing_number = 0;
    for (auto const& each : commands_received_by(test_deployment, 1))
    {
        EXPECT_GE(each.fencing_number, last_fencing_number);
        last_fencing_number = each.fencing_number;
    }
    EXPECT_GE(last_fencing_number, 2);
}

} // namespace jasminepier::tests
