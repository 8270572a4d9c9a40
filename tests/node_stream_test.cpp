/// Streams and plain responses that end in unusual ways, relayed by jasminepier-node.
#include "tests/support/node_fixture.hpp"

#include <csignal>
#include <future>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class node_stream_test : public node_fixture
{
};

// Guards against rejecting or changing a plain response without a length, and against delivering
// one that was reset.
TEST_F(node_stream_test, plain_response_without_length_ends_with_an_orderly_close_only)
{
    start_until_ready();
    for (std::string const path : {"/check/closed", "/order/closed"})
    {
        auto const response = call(path.starts_with("/order") ? "POST" : "GET", path);
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(response.is_complete);
        EXPECT_EQ(response.body, "response to " + m_last_request_id);
        EXPECT_EQ(run_count(), 1);
    }
    auto const head = call("HEAD", "/check/closed");
    EXPECT_EQ(head.status, 200);
    EXPECT_EQ(head.body, "");
    EXPECT_EQ(call("GET", "/check/reset").status, 502);
    EXPECT_EQ(run_count(), 2);
    EXPECT_EQ(call("POST", "/order/reset").status, 502);
    EXPECT_EQ(run_count(), 1);
    EXPECT_EQ(call("GET", "/check/ok").status, 200);
}

TEST_F(node_stream_test, stream_may_end_with_its_connection_after_an_event)
{
    start_until_ready();
    for (std::string const route : {"/plan/", "/question/"})
    {
        auto const response = call("POST", route + "closed-4");
        EXPECT_TRUE(response.is_complete);
        EXPECT_EQ(response.body, make_events(1, 4));
        auto const empty = call("POST", route + "stream-0");
        EXPECT_EQ(empty.status, 200);
        EXPECT_TRUE(empty.is_complete);
        EXPECT_EQ(empty.body, "");
        EXPECT_EQ(call("POST", route + "closed-0").status, 502);
        EXPECT_EQ(run_count(), 1);
        auto const commented = call("POST", route + "comment-2");
        EXPECT_TRUE(commented.is_complete);
        EXPECT_EQ(commented.body, make_events(1, 2) + ": end\n");
        EXPECT_EQ(run_count(), 1);
    }
}

// Guards against terminating a stream as complete whose server broke it off inside an event.
TEST_F(node_stream_test, stream_that_ends_inside_an_event_is_aborted)
{
    start_until_ready();
    for (std::string const framing : {"closed", "chunked", "sized", "reset"})
    {
        SCOPED_TRACE(framing);
        auto const response = call("POST", "/plan/partial-" + framing + "-3");
        EXPECT_FALSE(response.is_complete);
        EXPECT_EQ(response.body, make_events(1, 3));
        EXPECT_EQ(call("POST", "/plan/partial-" + framing + "-0").status, 502);
        EXPECT_EQ(run_count(), 1);
    }
}

// Guards against ending a resumable stream that another server could continue after its last whole
// event.
TEST_F(node_stream_test, resumable_stream_that_ends_inside_an_event_is_resumed)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    for (std::string const framing : {"closed", "chunked", "sized", "reset"})
    {
        SCOPED_TRACE(framing);
        auto const response = call("POST", "/question/partial-" + framing + "-3");
        EXPECT_TRUE(response.is_complete);
        EXPECT_EQ(response.body, make_events(1, 5));
        EXPECT_EQ(m_engine_1.execution_count(m_last_request_id), 1);
        EXPECT_EQ(m_engine_2.execution_count(m_last_request_id), 1);
    }
}

// Guards against taking the end of a stopped generation's stream, which has no length, for the end
// of the generation.
TEST_F(node_stream_test, stream_without_length_is_continued_after_a_handover)
{
    start_until_ready();
    m_engine_1.set_stop_delay(milliseconds(200));
    auto response =
        std::async(std::launch::async, [&] { return call("POST", "/plan/closed-100"); });
    ASSERT_TRUE(wait_until(
        [&]
        {
            auto const requests = m_engine_1.requests();
            return !requests.empty() && requests.back().path == "/plan/closed-100";
        },
        seconds(5)));
    std::this_thread::sleep_for(milliseconds(200));
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    m_store.put("servers", m_engine_1.id(),
                make_server_entry("engines", m_engine_1.address(), "draining"));
    auto const received = response.get();
    EXPECT_TRUE(received.is_complete);
    EXPECT_EQ(received.body, make_events(1, 100));
    EXPECT_EQ(m_engine_2.execution_count(m_last_request_id), 1);
}

// Guards against a node that was paused, takes data that arrived meanwhile for silence, and runs
// the request again at another server.
TEST_F(node_stream_test, paused_node_does_not_run_a_stream_again)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    m_engine_1.set_event_interval(milliseconds(50));
    m_engine_2.set_event_interval(milliseconds(50));
    auto response =
        std::async(std::launch::async, [&] { return call("POST", "/question/stream-70"); });
    std::this_thread::sleep_for(milliseconds(500));
    m_node.program().send_signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(2600));
    m_node.program().send_signal(SIGCONT);
    auto const received = response.get();
    EXPECT_TRUE(received.is_complete);
    EXPECT_EQ(received.body, make_events(1, 70));
    EXPECT_EQ(run_count(), 1);
}

class node_stream_error_test : public node_fixture, public testing::WithParamInterface<int>
{
};

// Guards against the text of an error in the middle of a stream, and against a stream that ends as
// if it were complete, when the server that should resume it answers with an error.
TEST_P(node_stream_error_test, resumed_stream_that_gets_no_stream_is_cut_after_its_last_event)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    auto const response = call("POST", "/question/failing-2-" + std::to_string(GetParam()));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, make_events(1, 2));
    EXPECT_FALSE(response.is_complete);
    EXPECT_EQ(run_count(), 2);
}

INSTANTIATE_TEST_SUITE_P(statuses, node_stream_error_test,
                         testing::Values(200, 204, 206, 302, 400, 404, 429, 500, 503));

} // namespace
} // namespace jasminepier::tests
