#include "services/entry/address_list.hpp"

#include <gtest/gtest.h>

#include <set>

namespace jasminepier::entry
{
namespace
{

configuration::snapshot twelve_nodes()
{
    configuration::snapshot snapshot;
    for (int i = 0; i < 12; ++i)
    {
        configuration::node node;
        node.name = "n" + std::to_string(i);
        node.zone = std::string("z") + static_cast<char>('a' + i % 3);
        node.host = "10.0.0." + std::to_string(i);
        node.entry_port = 1;
        snapshot.nodes[node.name] = node;
    }
    snapshot.zones["za"] = {"za", "r1", {}};
    snapshot.zones["zb"] = {"zb", "r2", {}};
    snapshot.zones["zc"] = {"zc", "r1", {}};
    return snapshot;
}

// Guards against directing callers to a node that is leaving, dead or not ready.
TEST(address_list, omits_nodes_that_do_not_accept_callers)
{
    auto const snapshot = twelve_nodes();
    member_map members;
    members["n3"].state = inner_protocol::member_state::leaving;
    members["n3"].ready = true;
    members["n6"].state = inner_protocol::member_state::dead;
    members["n6"].ready = true;
    members["n9"].ready = false;
    for (std::uint64_t seed = 0; seed < 50; ++seed)
        for (auto const& entry :
             select_entry_addresses(snapshot, members, {"10.0.0.0:1", true}, seed))
            for (char const* omitted_address :
                 {"10.0.0.0:1", "10.0.0.3:1", "10.0.0.6:1", "10.0.0.9:1"})
                EXPECT_NE(entry.address, omitted_address);
}

// Guards against directing all callers to the same node, or to a distant one first.
TEST(address_list, puts_the_nearest_zone_first_and_spreads_callers)
{
    auto const snapshot = twelve_nodes();
    std::set<std::string> first_addresses;
    for (std::uint64_t seed = 0; seed < 100; ++seed)
    {
        auto const selected = select_entry_addresses(snapshot, {}, {"10.0.0.0:1", false}, seed);
        ASSERT_EQ(selected.size(), maximum_addresses);
        for (std::size_t i = 0; i < selected.size(); ++i)
            EXPECT_EQ(selected[i].zone, i < 4 ? "za" : "zc");
        first_addresses.insert(selected[0].address);
    }
    EXPECT_EQ(first_addresses.size(), 4U);
}

} // namespace
} // namespace jasminepier::entry
