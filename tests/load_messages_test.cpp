/// Loads of servers in the reports between nodes. No network.
#include "inner_protocol/datagram.hpp"
#include "services/node/load_messages.hpp"
#include "store/object_version.hpp"

#include <gtest/gtest.h>

namespace jasminepier::node
{
namespace
{

constexpr auto server_revision = store::make_version(3, 50'000);

serving::server_load make_leaving_load(int number, bool announced)
{
    serving::server_load load;
    load.server = serving::hash_server("server-" + std::to_string(number));
    load.leaving = {server_revision - number, announced ? 1'780'000'000'000 + number : 0,
                    announced};
    return load;
}

// Guards against a node that takes out, or keeps, another start of a server than the one its peer
// reports, also if the peer has learned of the departure from a list that is newer than its
// entries.
TEST(load_messages, keep_which_start_of_a_server_leaves)
{
    for (bool const announced : {false, true})
        for (int const number : {-7, 0, 900})
        {
            auto const load = make_leaving_load(number, announced);
            auto const received = from_message(to_message(load, server_revision), server_revision);
            EXPECT_EQ(received.leaving, load.leaving);
            EXPECT_EQ(received.server, load.server);
        }
    EXPECT_FALSE(from_message(to_message({}, server_revision), server_revision).leaving);
}

// Guards against requests to full engines because the loads of running engines don't fit in a
// report beside the notices of those that leave. A large fleet's zone empties twenty at a time.
TEST(load_messages, notices_of_departures_leave_room_for_loads)
{
    inner_protocol::node_report report;
    report.node = "edge-zrh-b-21";
    report.zone = "zrh-b";
    report.caller_address = "10.200.100.100:8740";
    report.server_revision = server_revision;
    std::vector<serving::server_load> loads;
    loads.reserve(40);
    for (int i = 0; i < 20; ++i)
        loads.push_back(make_leaving_load(i * 40, false));
    for (int i = 0; i < 20; ++i)
    {
        serving::server_load load;
        load.server = serving::hash_server("engine-" + std::to_string(i));
        load.running = 3;
        load.reserved_tokens = 9000;
        load.unread_prompt_tokens = 3000;
        load.recent_attempts = 1200;
        load.handover_candidates = 3;
        loads.push_back(load);
    }
    report.uses = to_messages(loads, server_revision);
    EXPECT_EQ(inner_protocol::drop_loads_to_fit(report, 0), 0U);
    EXPECT_EQ(report.uses.size(), loads.size());
}

} // namespace
} // namespace jasminepier::node
