/// Streams of a service whose servers have several software versions, relayed by jasminepier-node.
#include "tests/support/node_fixture.hpp"

#include <future>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class stream_version_test : public node_fixture
{
protected:
    /// Lists an engine with the version of its software.
    void list_engine(fake_server const& engine, std::string const& version,
                     std::string const& state = "ready")
    {
        m_store.put("servers", engine.id(),
                    R"({"service":"engines","address":")" + engine.address() +
                        R"(","zone":"a","slots":8,"state":")" + state + R"(","version":")" +
                        version + R"("})");
    }
    /// Starts the node with two engines of these versions.
    void start_with_versions(std::string const& first, std::string const& second)
    {
        list_engine(m_engine_1, first);
        start_until_ready();
        list_engine(m_engine_2, second);
        wait_until_listed(m_node, m_engine_2);
    }
    static void wait_until_listed(node_process& node, fake_server const& engine)
    {
        auto const line = "event=server_changed server=" + engine.id();
        ASSERT_TRUE(
            wait_until([&] { return node.output().find(line) != std::string::npos; }, seconds(5)));
    }

    fake_server m_engine_3{port(23), "i-engine-3"};
};

// Guards against one answer with events of two versions: a stream that breaks off goes on at
// servers of its own version only (ORDER).
TEST_F(stream_version_test, broken_stream_does_not_go_on_at_another_version)
{
    start_with_versions("v1", "v2");
    for (int i = 0; i < 6; ++i)
    {
        auto const response = call("POST", "/question/partial-chunked-3");
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(m_engine_1.execution_count(m_last_request_id) == 0 ||
                    m_engine_2.execution_count(m_last_request_id) == 0);
    }
}

// Guards against a stream that waits for servers of its version, of which none is left.
TEST_F(stream_version_test, stream_whose_version_has_left_ends_at_once)
{
    start_with_versions("v1", "v2");
    list_engine(m_engine_2, "v2", "draining");
    std::this_thread::sleep_for(milliseconds(500));
    m_engine_1.set_event_interval(milliseconds(100));
    auto response =
        std::async(std::launch::async, [&] { return call("POST", "/question/broken-10"); });
    std::this_thread::sleep_for(milliseconds(500));
    list_engine(m_engine_2, "v2");
    list_engine(m_engine_1, "v1", "draining");
    auto const received = response.get();
    EXPECT_EQ(received.body, make_events(1, 10));
    EXPECT_FALSE(received.is_complete);
    EXPECT_EQ(m_engine_2.execution_count(m_last_request_id), 0);
    auto const line = m_node.output().find("request_id=" + m_last_request_id +
                                           " service=engines obstacle=other_version waited_ms=0");
    EXPECT_NE(line, std::string::npos);
}

TEST_F(stream_version_test, broken_stream_goes_on_at_a_server_of_its_version)
{
    list_engine(m_engine_2, "v1");
    start_with_versions("v1", "v1");
    list_engine(m_engine_3, "v2");
    wait_until_listed(m_node, m_engine_3);
    for (int i = 0; i < 12; ++i)
    {
        auto const response = call("POST", "/question/partial-chunked-3");
        EXPECT_TRUE(response.is_complete);
        EXPECT_EQ(response.body, make_events(1, 5));
        EXPECT_TRUE(m_engine_3.execution_count(m_last_request_id) == 0 ||
                    m_engine_3.execution_count(m_last_request_id) == 2);
    }
}

// A request of which the caller has no event yet may start anew at any version.
TEST_F(stream_version_test, request_without_an_event_is_retried_at_another_version)
{
    start_with_versions("v1", "v2");
    for (int i = 0; i < 4; ++i)
    {
        auto const response = call("POST", "/question/losing-1-stream-2");
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(response.is_complete);
    }
}

// Guards against moving a generation to an engine of another version when its own one leaves.
TEST_F(stream_version_test, generation_is_handed_over_within_its_version_only)
{
    start_with_versions("v1", "v2");
    m_engine_1.set_event_interval(milliseconds(30));
    m_engine_2.set_event_interval(milliseconds(30));
    list_engine(m_engine_2, "v2", "draining");
    std::this_thread::sleep_for(milliseconds(500));
    auto const play = [&]
    { return std::async(std::launch::async, [&] { return call("POST", "/plan/stream-100"); }); };
    auto response = play();
    std::this_thread::sleep_for(milliseconds(300));
    list_engine(m_engine_2, "v2");
    list_engine(m_engine_1, "v1", "draining");
    auto const received = response.get();
    EXPECT_EQ(received.body, make_events(1, 100));
    EXPECT_EQ(m_engine_1.copy_count(), 0);
    EXPECT_EQ(m_engine_2.execution_count(m_last_request_id), 0);

    list_engine(m_engine_2, "v2", "draining");
    list_engine(m_engine_1, "v1");
    std::this_thread::sleep_for(milliseconds(500));
    response = play();
    std::this_thread::sleep_for(milliseconds(300));
    list_engine(m_engine_3, "v1");
    list_engine(m_engine_1, "v1", "draining");
    EXPECT_EQ(response.get().body, make_events(1, 100));
    EXPECT_EQ(m_engine_3.execution_count(m_last_request_id), 1);
}

} // namespace
} // namespace jasminepier::tests
