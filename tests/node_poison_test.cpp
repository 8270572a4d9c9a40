/// Runs nodes against servers that crash on one part of a prompt.
#include "tests/support/node_fixture.hpp"

#include <memory>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the time within which crashes count once.
constexpr milliseconds crash_interval{450};
// The platform allows five crashes before the part must be known, and three more requests.
constexpr int permitted_runs = 8;

class node_poison_test : public node_fixture
{
protected:
    node_poison_test()
    {
        for (int i = 0; i < 6; ++i)
            m_engines.push_back(
                std::make_unique<fake_server>(port(31 + i), "i-engine-" + std::to_string(10 + i)));
    }

    void SetUp() override
    {
        node_fixture::SetUp();
        for (auto const& engine : m_engines)
            m_store.put("servers", engine->id(), make_server_entry("engines", engine->address()));
    }

    /// Sends a request whose body, id and last part differ from those of all others.
    caller_response send_prompt(std::uint16_t node_port, std::string const& path,
                                std::string const& shared_parts)
    {
        auto const number = std::to_string(++m_prompt_count);
        auto request = make_request("POST", path, "prompt-" + number);
        request.headers.add("Prefix-Hash", shared_parts + ",f00" + number + ":20");
        request.body = "prompt " + number;
        return call_node(node_port, request);
    }

    /// Returns how often servers have run requests on the path.
    int count_runs(std::string const& path) const
    {
        auto count = 0;
        auto const add = [&](fake_server const& server)
        {
            for (auto const& request : server.requests())
                count += request.path == path ? 1 : 0;
        };
        add(m_engine_1);
        for (auto const& engine : m_engines)
            add(*engine);
        return count;
    }

    /// Sends requests with a part that crashes servers until one is rejected.
    void crash_servers_until_rejected(std::string const& path)
    {
        for (int i = 0; i < 20; ++i)
        {
            if (send_prompt(m_node.ports().callers, path, "aa:40,dead:10").status == 503)
                return;
            std::this_thread::sleep_for(crash_interval);
        }
        ADD_FAILURE() << "no request was rejected; servers ran " << count_runs(path);
    }

    std::vector<std::unique_ptr<fake_server>> m_engines;
    int m_prompt_count = 0;
};

// Guards against one prompt part that crashes server after server because the requests that carry
// it are all different.
TEST_F(node_poison_test, rejects_requests_with_a_prompt_part_that_crashes_servers)
{
    start_until_ready();
    auto const callers = m_node.ports().callers;
    EXPECT_EQ(send_prompt(callers, "/plan/stream-2", "aa:40,bb:10").status, 200);
    crash_servers_until_rejected("/plan/dying-broken-0");
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send_prompt(callers, "/plan/dying-broken-0", "aa:40,dead:10").status, 503);
    EXPECT_LE(count_runs("/plan/dying-broken-0"), permitted_runs);
    // Requests with the same first part are sound.
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send_prompt(callers, "/plan/stream-2", "aa:40,bb:10").status, 200);
}

// Guards against resuming a stream, which crashes a second server, after the first server crashed
// as it began to answer.
TEST_F(node_poison_test, does_not_resume_a_stream_that_crashed_its_server_before_its_first_event)
{
    start_until_ready();
    EXPECT_EQ(
        send_prompt(m_node.ports().callers, "/question/dying-broken-0", "aa:40,dead:10").status,
        502);
    EXPECT_EQ(count_runs("/question/dying-broken-0"), 1);
}

// Guards against parts that are rejected although every answer with them begins and then breaks.
TEST_F(node_poison_test, serves_prompt_parts_whose_streams_break_after_an_event)
{
    start_until_ready();
    for (int i = 0; i < 6; ++i)
    {
        EXPECT_EQ(send_prompt(m_node.ports().callers, "/plan/dying-broken-1", "aa:40,cc:10").status,
                  200);
        std::this_thread::sleep_for(crash_interval);
    }
    EXPECT_EQ(count_runs("/plan/dying-broken-1"), 6);
}

// Guards against taking a stream without a length for a complete one if its server crashed before
// the first event.
TEST_F(node_poison_test, counts_a_stream_without_length_that_ends_before_its_first_event)
{
    start_until_ready();
    crash_servers_until_rejected("/plan/dying-closed-0");
    EXPECT_LE(count_runs("/plan/dying-closed-0"), permitted_runs);
}

// Guards against taking a comment, which servers send to keep a connection open, for an answer.
TEST_F(node_poison_test, counts_a_stream_that_ends_after_a_comment)
{
    start_until_ready();
    crash_servers_until_rejected("/plan/dying-greeting");
    EXPECT_LE(count_runs("/plan/dying-greeting"), permitted_runs);
}

// Guards against taking the rejection of an invalid request for an answer.
TEST_F(node_poison_test, rejection_of_an_invalid_request_does_not_clear_its_parts)
{
    start_until_ready();
    auto const callers = m_node.ports().callers;
    int rejected = 0;
    for (int i = 0; i < 12 && rejected == 0; ++i)
    {
        rejected +=
            send_prompt(callers, "/plan/dying-broken-0", "aa:40,dead:10").status == 503 ? 1 : 0;
        std::this_thread::sleep_for(crash_interval);
        send_prompt(callers, "/open/status-400", "aa:40,dead:10");
    }
    EXPECT_GT(rejected, 0);
    EXPECT_LE(count_runs("/plan/dying-broken-0"), permitted_runs);
}

// Guards against nodes that let the part crash more servers because they saw none of the crashes.
TEST_F(node_poison_test, shares_crashes_with_other_nodes_within_the_contact_time)
{
    node_process second{"n2", {port(5), port(6), port(7), port(8)}, port(0)};
    start_until_ready();
    ASSERT_TRUE(wait_until([&] { return second.is_ready(); }, seconds(10)));
    ASSERT_TRUE(wait_until(
        [&]
        { return send_prompt(second.ports().callers, "/plan/stream-2", "aa:40").status == 200; },
        seconds(10)));
    // Whole requests that were running during crashes take part in the reports, too.
    for (int i = 0; i < 4; ++i)
        send_prompt(m_node.ports().callers, "/plan/dying-broken-1", "aa:40,cc:10");
    crash_servers_until_rejected("/plan/dying-broken-0");
    auto const runs = count_runs("/plan/dying-broken-0");
    std::this_thread::sleep_for(seconds(3));
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(
            send_prompt(second.ports().callers, "/plan/dying-broken-0", "aa:40,dead:10").status,
            503);
    EXPECT_EQ(count_runs("/plan/dying-broken-0"), runs);
    EXPECT_EQ(send_prompt(second.ports().callers, "/plan/stream-2", "aa:40,bb:10").status, 200);
}

} // namespace
} // namespace jasminepier::tests
