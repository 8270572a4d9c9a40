/// Streams that callers take up again at other nodes, while servers of several versions serve.
#include "tests/support/node_fixture.hpp"

#include <csignal>
#include <future>
#include <thread>
#include <vector>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// A rejection that doesn't wait for anything; generous for a busy machine.
constexpr milliseconds at_once{1000};

/// Two nodes, two engines of each of two versions.
class stream_resumption_test : public node_fixture
{
protected:
    void SetUp() override
    {
        list_engines("v1");
        configure();
        ASSERT_TRUE(
            wait_until([&] { return m_node.is_ready() && m_node_2.is_ready(); }, seconds(10)));
        ASSERT_TRUE(wait_until_versions_are_recorded(R"({"versions":["v1"]})"));
    }
    void TearDown() override
    {
        node_fixture::TearDown();
        if (HasFailure())
            std::cerr << "output of the second node:\n" << m_node_2.output();
    }

    void list_engine(fake_server const& engine, std::string const& version)
    {
        m_store.put("servers", engine.id(),
                    R"({"service":"engines","address":")" + engine.address() +
                        R"(","zone":"a","slots":8,"state":"ready","version":")" + version +
                        R"("})");
    }
    /// Lists the engines of a version: 1 and 2 of v1, 3 and 4 of v2.
    void list_engines(std::string const& version)
    {
        bool const is_first = version == "v1";
        list_engine(is_first ? m_engine_1 : m_engine_3, version);
        list_engine(is_first ? m_engine_2 : m_engine_4, version);
    }
    bool wait_until_versions_are_recorded(std::string const& spec)
    {
        return wait_until([&]
                          { return m_store.find_spec("jasminepier-versions", "engines") == spec; },
                          seconds(10));
    }
    void add_second_version()
    {
        list_engines("v2");
        ASSERT_TRUE(wait_until_versions_are_recorded(R"({"versions":["v1","v2"]})"));
    }
    /// Removes the engines of v1 at once, as after a release.
    void remove_first_version()
    {
        m_store.remove("servers", m_engine_1.id());
        m_store.remove("servers", m_engine_2.id());
    }

    /// True if the running process is ready and knows the recorded versions.
    static bool has_read_record(node_process& node)
    {
        auto const output = node.program().output();
        return node.is_ready() && output.find("event=versions_recorded") != std::string::npos;
    }

    bool ran_at_first_version(std::string const& id) const
    {
        return m_engine_1.execution_count(id) + m_engine_2.execution_count(id) > 0;
    }
    bool ran_at_second_version(std::string const& id) const
    {
        return m_engine_3.execution_count(id) + m_engine_4.execution_count(id) > 0;
    }

    /// Begins streams at the first node, and kills it when each has some events. Returns their ids.
    std::vector<std::string> begin_streams_and_kill(int count, milliseconds running)
    {
        std::vector<std::string> ids;
        std::vector<std::future<caller_response>> streams;
        for (int i = 0; i < count; ++i)
        {
            ids.push_back("s" + std::to_string(++m_request_count));
            streams.push_back(std::async(
                std::launch::async, [port = m_node.ports().callers, id = ids.back()]
                { return call_node(port, make_request("POST", "/question/stream-200", id)); }));
        }
        std::this_thread::sleep_for(running);
        m_node.restart();
        for (auto& stream : streams)
            EXPECT_FALSE(stream.get().is_complete);
        return ids;
    }

    /// Takes up the stream that the request `resumed` began, after its second event.
    caller_response take_up(node_process& node, std::string const& resumed)
    {
        m_last_request_id = "r" + std::to_string(++m_request_count);
        auto request = make_request("POST", "/question/stream-4", m_last_request_id);
        request.headers.set("Last-Event-Id", "2");
        if (!resumed.empty())
            request.headers.set("Resumes", resumed);
        auto const start = steady_clock::now();
        auto response = call_node(node.ports().callers, request);
        if (response.status != 200)
        {
            EXPECT_LT(steady_clock::now() - start, at_once);
        }
        return response;
    }
    /// Takes up the streams. Returns how many went on, and checks that each did so at its version.
    int take_up_all(node_process& node, std::vector<std::string> const& ids)
    {
        int continued = 0;
        for (auto const& id : ids)
        {
            auto const response = take_up(node, id);
            EXPECT_TRUE(response.status == 200 || response.status == 503) << response.status;
            if (response.status != 200)
            {
                EXPECT_TRUE(response.headers.find("Retry-After"));
                EXPECT_FALSE(ran_at_first_version(m_last_request_id));
                EXPECT_FALSE(ran_at_second_version(m_last_request_id));
                continue;
            }
            ++continued;
            EXPECT_EQ(response.body, make_events(3, 4));
            EXPECT_EQ(ran_at_first_version(id), ran_at_first_version(m_last_request_id));
            EXPECT_EQ(ran_at_second_version(id), ran_at_second_version(m_last_request_id));
        }
        return continued;
    }

    fake_server m_engine_3{port(23), "i-engine-3"};
    fake_server m_engine_4{port(24), "i-engine-4"};
    node_process m_node_2{"n2", {port(5), port(6), port(7), port(8)}, port(0)};
};

// Guards against take-ups at another node that join two versions (ORDER), and against a node that
// declines them all (LOST).
TEST_F(stream_resumption_test, streams_of_a_killed_node_go_on_at_their_version)
{
    add_second_version();
    auto const ids = begin_streams_and_kill(16, milliseconds(600));
    EXPECT_EQ(take_up_all(m_node_2, ids), 16);
}

// Guards against two versions in one stream when all nodes were killed (the report "rejoined").
TEST_F(stream_resumption_test, streams_of_unknown_version_are_declined_at_once)
{
    add_second_version();
    auto const ids = begin_streams_and_kill(8, milliseconds(600));
    m_node_2.restart();
    ASSERT_TRUE(wait_until([&] { return m_node.is_ready() && m_node_2.is_ready(); }, seconds(10)));
    EXPECT_EQ(take_up_all(m_node, ids) + take_up_all(m_node_2, ids), 0);
    EXPECT_EQ(call("POST", "/question/stream-4").status, 200);
}

// Guards against a restarted node that takes the only listed version for the only one that has
// begun streams.
TEST_F(stream_resumption_test, version_that_has_just_left_is_not_forgotten_with_all_nodes)
{
    add_second_version();
    auto const ids = begin_streams_and_kill(8, milliseconds(600));
    remove_first_version();
    m_node_2.restart();
    ASSERT_TRUE(wait_until([&] { return m_node.is_ready() && m_node_2.is_ready(); }, seconds(10)));
    EXPECT_EQ(take_up_all(m_node, ids) + take_up_all(m_node_2, ids), 0);
}

// Guards against declining streams after all nodes were killed although one version serves alone.
TEST_F(stream_resumption_test, streams_of_the_only_version_go_on_after_all_nodes_were_killed)
{
    auto const ids = begin_streams_and_kill(8, milliseconds(600));
    m_node_2.restart();
    ASSERT_TRUE(wait_until([&] { return has_read_record(m_node) && has_read_record(m_node_2); },
                           seconds(10)));
    EXPECT_EQ(take_up_all(m_node, ids), 8);
}

// A node that is told nothing of the stream's beginning knows it only if one version serves alone.
TEST_F(stream_resumption_test, stream_without_the_id_of_its_beginning)
{
    ASSERT_TRUE(wait_until([&] { return has_read_record(m_node); }, seconds(10)));
    EXPECT_EQ(take_up(m_node, "").status, 200);
    add_second_version();
    EXPECT_TRUE(wait_until([&] { return take_up(m_node, "").status == 503; }, seconds(5)));
}

// Guards against a stream that is declined at its own node.
TEST_F(stream_resumption_test, stream_goes_on_at_its_own_node_time_after_time)
{
    add_second_version();
    auto const begun = call("POST", "/question/stream-2");
    auto const id = m_last_request_id;
    ASSERT_EQ(begun.status, 200);
    EXPECT_EQ(take_up_all(m_node, {id, id, id}), 3);
}

// Guards against a node that is cut off from the store and its peers and therefore has not heard
// of another version.
TEST_F(stream_resumption_test, node_that_is_cut_off_declines_streams_that_it_does_not_know)
{
    ASSERT_TRUE(wait_until([&] { return has_read_record(m_node); }, seconds(10)));
    EXPECT_EQ(take_up(m_node, "").status, 200);
    m_store.set_mode(store_mode::unavailable);
    m_node_2.program().send_signal(SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return take_up(m_node, "").status == 503; }, seconds(10)));
    m_node_2.program().send_signal(SIGCONT);
    EXPECT_TRUE(wait_until([&] { return take_up(m_node, "").status == 200; }, seconds(10)));
}

// Guards against a record that lacks a version since the store was restored from a copy.
TEST_F(stream_resumption_test, record_is_written_again_after_the_store_was_restored)
{
    m_store.take_copy();
    add_second_version();
    auto const lost = m_store.restore_copy();
    list_engines("v2");
    EXPECT_TRUE(wait_until_versions_are_recorded(R"({"versions":["v1","v2"]})"));
}

} // namespace
} // namespace jasminepier::tests
