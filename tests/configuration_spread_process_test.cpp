/// Distribution of configurations among the processes of a large fleet on loopback.
#include "inner_protocol/datagram.hpp"
#include "tests/support/node_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// One more than the threshold of a large fleet, and one for each follower of the store.
constexpr int node_count = 16;

/// Returns a port that is reserved for this test program.
std::uint16_t port_at(int offset)
{
    static auto const first_port = reserve_ports(2 * port_block_size);
    return static_cast<std::uint16_t>(first_port + offset);
}

class configuration_spread_process_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_store.put("config", "main", make_configuration(1, "shop"));
        for (int i = 0; i < node_count; ++i)
        {
            auto const offset = 10 + 4 * i;
            m_nodes.push_back(
                std::make_unique<node_process>("spread-" + std::to_string(i),
                                               node_ports{port_at(offset), port_at(offset + 1),
                                                          port_at(offset + 2), port_at(offset + 3)},
                                               port_at(0)));
        }
        ASSERT_TRUE(wait_until(
            [&]
            {
                return std::all_of(m_nodes.begin(), m_nodes.end(),
                                   [](auto const& node) { return node->is_ready(); });
            },
            seconds(30)));
    }

    auto count_nodes_with_version(int version)
    {
        auto const line = "event=configuration_applied version=" + std::to_string(version) + " ";
        return std::count_if(m_nodes.begin(), m_nodes.end(),
                             [&](auto const& node)
                             { return node->program().output().find(line) != std::string::npos; });
    }

    fake_store m_store{port_at(0)};
    std::vector<std::unique_ptr<node_process>> m_nodes;
};

// Guards against nodes that take a later evacuation, which arrives earlier, for the configuration.
TEST_F(configuration_spread_process_test, configuration_reaches_all_nodes_despite_an_evacuation)
{
    // Every node watches the store until it knows its peers, so the first round may not use them.
    for (int version = 2; version <= 4; ++version)
    {
        m_store.put("config", "main", make_configuration(version, "other"));
        std::this_thread::sleep_for(milliseconds(20));
        if (version % 2 == 0)
            m_store.put("evacuations", "zone-far", "{}");
        else
            m_store.remove("evacuations", "zone-far");
        wait_until([&] { return count_nodes_with_version(version) == node_count; }, seconds(8));
        EXPECT_EQ(count_nodes_with_version(version), node_count) << "version " << version;
    }
}

// Guards against a node that neither says that it is behind nor reads the store when no peer brings
// what a report has named, and against one that goes on after the store has answered.
TEST(configuration_behind_test, node_logs_that_it_is_behind_and_reads_the_store)
{
    auto const store_port = port_at(port_block_size);
    fake_store metadata_store(store_port);
    metadata_store.put("config", "main", make_configuration(1, "shop"));
    node_process node("behind",
                      {port_at(port_block_size + 1), port_at(port_block_size + 2),
                       port_at(port_block_size + 3), port_at(port_block_size + 4)},
                      store_port);
    ASSERT_TRUE(wait_until([&] { return node.is_ready(); }, seconds(20)));
    auto const has_logged = [&](std::string const& text)
    { return node.program().output().find(text) != std::string::npos; };

    inner_protocol::node_report report;
    report.node = "vanished";
    report.zone = "a";
    report.caller_address = "127.0.0.1:1";
    report.peer_port = port_at(port_block_size + 6);
    report.started = 1;
    report.sequence = 1;
    report.__set_newest_configuration(1'000'000);
    inner_protocol::datagram_socket socket("127.0.0.1", port_at(port_block_size + 5));
    socket.send_bytes("127.0.0.1", port_at(port_block_size + 4),
                      inner_protocol::encode_node_report(report));
    EXPECT_TRUE(
        wait_until([&] { return has_logged("event=objects_behind kind=config"); }, seconds(10)));
    EXPECT_TRUE(has_logged("known=1000000"));
    EXPECT_TRUE(
        wait_until([&] { return has_logged("event=objects_caught_up kind=config"); }, seconds(10)));
    EXPECT_TRUE(has_logged("asked=vanished"));
}

} // namespace
} // namespace jasminepier::tests
