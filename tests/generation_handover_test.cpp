/// Generations that jasminepier-node cannot move although their engine leaves.
#include "tests/support/node_fixture.hpp"

#include <future>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class generation_handover_test : public node_fixture
{
protected:
    /// Starts a generation of `events` events and waits until an engine runs it.
    std::future<caller_response> start_generation(int events)
    {
        auto const path = "/plan/stream-" + std::to_string(events);
        auto response = std::async(std::launch::async, [this, path] { return call("POST", path); });
        EXPECT_TRUE(wait_until(
            [&] { return has_got(m_engine_1, path) || has_got(m_engine_2, path); }, seconds(5)));
        std::this_thread::sleep_for(milliseconds(200));
        return response;
    }

    static bool has_got(fake_server const& engine, std::string const& path)
    {
        auto const requests = engine.requests();
        return !requests.empty() && requests.back().path == path;
    }

    void drain(fake_server const& engine)
    {
        m_store.put("servers", engine.id(),
                    make_server_entry("engines", engine.address(), "draining"));
    }

    /// Returns the processor time that the node uses during `duration`.
    milliseconds measure_processor_time(milliseconds duration)
    {
        auto const before = m_node.program().processor_time();
        std::this_thread::sleep_for(duration);
        return m_node.program().processor_time() - before;
    }

    // A small entry VM has a quarter of a core for everything that its node does.
    static constexpr int processor_quota_divisor = 4;
    // Longer than the tries that follow each other closely.
    static constexpr milliseconds long_wait{2000};
};

/// How the first engine leaves while no other one has room.
enum class departure
{
    reports_draining,
    entry_removed,
    announced_in_response,
    with_all_others,
};

class full_engines_test : public generation_handover_test,
                          public testing::WithParamInterface<departure>
{
};

// Guards against a relay that polls without a pause, and leaves no processor time for other
// requests, after no engine had room for its generation.
TEST_P(full_engines_test, node_idles_while_no_engine_has_room)
{
    start_until_ready();
    auto response = start_generation(200);
    http::header_list announcement;
    announcement.add("Server-Leaving", "1");
    switch (GetParam())
    {
    case departure::with_all_others:
        m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
        drain(m_engine_2);
        drain(m_engine_1);
        break;
    case departure::reports_draining:
        drain(m_engine_1);
        break;
    case departure::entry_removed:
        m_store.remove("servers", m_engine_1.id());
        break;
    case departure::announced_in_response:
        m_engine_1.set_extra_fields(announcement);
        call_node(m_node.ports().callers, make_request("POST", "/plan/stream-1", "another"));
        break;
    }
    std::this_thread::sleep_for(long_wait);
    EXPECT_LT(measure_processor_time(seconds(1)), milliseconds(1000) / processor_quota_divisor);
    EXPECT_TRUE(response.get().is_complete);
    EXPECT_EQ(m_engine_1.copy_count(), 0);
}

INSTANTIATE_TEST_SUITE_P(departures, full_engines_test,
                         testing::Values(departure::reports_draining, departure::entry_removed,
                                         departure::announced_in_response,
                                         departure::with_all_others));

// Guards against losing a generation, although an engine has room before its own one ends, because
// none had any when the handover began.
TEST_F(generation_handover_test, generation_moves_when_an_engine_gets_room_later)
{
    start_until_ready();
    auto response = start_generation(300);
    drain(m_engine_1);
    std::this_thread::sleep_for(long_wait);
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    auto const received = response.get();
    EXPECT_TRUE(received.is_complete);
    EXPECT_EQ(received.body, make_events(1, 300));
    EXPECT_EQ(m_engine_2.execution_count(m_last_request_id), 1);
}

// Guards against moving a generation that waited for room after its engine has stopped leaving.
TEST_F(generation_handover_test, generation_stays_when_its_engine_no_longer_leaves)
{
    start_until_ready();
    auto response = start_generation(300);
    drain(m_engine_1);
    std::this_thread::sleep_for(long_wait);
    m_store.put("servers", m_engine_1.id(), make_server_entry("engines", m_engine_1.address()));
    std::this_thread::sleep_for(seconds(1));
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    EXPECT_EQ(response.get().body, make_events(1, 300));
    EXPECT_EQ(m_engine_1.copy_count(), 0);
}

class delayed_copy_test : public generation_handover_test, public testing::WithParamInterface<int>
{
};

// Guards against losing a generation because its copies were refused for a reason that has passed.
TEST_P(delayed_copy_test, generation_moves_when_a_copy_is_possible_later)
{
    start_until_ready();
    m_engine_1.set_copy_status(GetParam());
    auto response = start_generation(300);
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    drain(m_engine_1);
    std::this_thread::sleep_for(long_wait);
    m_engine_1.set_copy_status(200);
    EXPECT_EQ(response.get().body, make_events(1, 300));
    EXPECT_EQ(m_engine_2.execution_count(m_last_request_id), 1);
}

// Not running, a copy in progress, no room.
INSTANTIATE_TEST_SUITE_P(statuses, delayed_copy_test, testing::Values(404, 409, 503));

class failing_copy_test : public generation_handover_test, public testing::WithParamInterface<int>
{
};

// Guards against the same spinning, and against copy requests without end, after the engine has
// refused the copies of its generation.
TEST_P(failing_copy_test, node_idles_while_copies_fail)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    m_engine_1.set_copy_status(GetParam());
    m_engine_2.set_copy_status(GetParam());
    start_until_ready();
    auto response = start_generation(200);
    // The node may have selected either engine.
    auto const& source = has_got(m_engine_1, "/plan/stream-200") ? m_engine_1 : m_engine_2;
    drain(source);
    std::this_thread::sleep_for(long_wait);
    auto const copies = source.copy_count();
    EXPECT_GT(copies, 0);
    EXPECT_LT(measure_processor_time(seconds(1)), milliseconds(1000) / processor_quota_divisor);
    EXPECT_LE(source.copy_count() - copies, 3);
    EXPECT_TRUE(response.get().is_complete);
}

// Not running, a copy in progress, a failure of the engine, no room.
INSTANTIATE_TEST_SUITE_P(statuses, failing_copy_test, testing::Values(404, 409, 500, 503));

} // namespace
} // namespace jasminepier::tests
