/// Runs a node against servers that lose answers, with and without a crash.
#include "tests/support/node_fixture.hpp"

#include <algorithm>
#include <numeric>
#include <thread>
#include <utility>
#include <vector>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct lost_call
{
    std::string name;
    std::string method;
    /// Route of the service, with slashes.
    std::string route;
    /// How an answer is lost.
    std::string loss;
};

class lost_answer_test : public node_fixture, public testing::WithParamInterface<lost_call>
{
protected:
    void SetUp() override
    {
        node_fixture::SetUp();
        m_store.put("servers", m_shop_3.id(), make_server_entry("shop", m_shop_3.address()));
        m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
        m_store.put("servers", m_engine_3.id(), make_server_entry("engines", m_engine_3.address()));
    }

    /// Sends the same request, which has a prompt part, with another id.
    caller_response send(std::string const& action)
    {
        auto request = make_request(GetParam().method, GetParam().route + action,
                                    "lost-" + std::to_string(++m_sent_count));
        request.headers.add("Prefix-Hash", "aa:40,f001:20");
        return call_node(m_node.ports().callers, request);
    }

    /// The servers of the route's service.
    std::vector<fake_server*> servers()
    {
        if (uses_engines())
            return {&m_engine_1, &m_engine_2, &m_engine_3};
        return {&m_shop_1, &m_shop_2, &m_shop_3};
    }

    /// Returns how often each server has run the request.
    std::vector<int> count_runs(std::string const& action)
    {
        std::vector<int> counts;
        for (auto const* server : servers())
        {
            auto const requests = server->requests();
            counts.push_back(static_cast<int>(std::count_if(
                requests.begin(), requests.end(),
                [&](auto const& request) { return request.path == GetParam().route + action; })));
        }
        return counts;
    }

    /// Lists the servers with the time of their start.
    void list_starts()
    {
        for (auto const* server : servers())
            list(*server);
        m_known_runs.assign(servers().size(), 0);
    }

    /// Lists servers that have run the request since the last call with a later start, and waits
    /// until the node knows it: two crashes of one start count once.
    void list_restarts(std::string const& action)
    {
        auto const runs = count_runs(action);
        for (std::size_t i = 0; i < runs.size(); ++i)
        {
            if (runs[i] == std::exchange(m_known_runs[i], runs[i]))
                continue;
            auto const& server = *servers()[i];
            auto const known_changes = count_changes(server);
            list(server);
            EXPECT_TRUE(wait_until([&] { return count_changes(server) > known_changes; },
                                   std::chrono::seconds(10)));
        }
    }

    fake_server m_shop_3{port(14), "i-shop-3"};
    fake_server m_engine_3{port(23), "i-engine-3"};

private:
    static bool uses_engines()
    {
        return GetParam().route == "/plan/" || GetParam().route == "/question/";
    }

    void list(fake_server const& server)
    {
        m_store.put("servers", server.id(),
                    R"({"service":")" + std::string(uses_engines() ? "engines" : "shop") +
                        R"(","address":")" + server.address() +
                        R"(","zone":"a","slots":8,"state":"ready","born":)" +
                        std::to_string(++m_last_start) + "}");
    }

    /// Changes of the server's entry that the node has logged.
    int count_changes(fake_server const& server)
    {
        auto const output = m_node.program().output();
        auto const line = "event=server_changed server=" + server.id() + " ";
        int count = 0;
        for (auto at = output.find(line); at != std::string::npos; at = output.find(line, at + 1))
            ++count;
        return count;
    }

    int m_sent_count = 0;
    std::int64_t m_last_start = 1000;
    std::vector<int> m_known_runs;
};

// Guards against sound requests that are rejected for an hour because three servers have lost an
// answer without crashing.
TEST_P(lost_answer_test, sound_request_is_served_after_its_answers_were_lost)
{
    start_until_ready();
    std::string const action = "losing-1-" + GetParam().loss;
    bool served = false;
    for (int i = 0; i < 100 && !served; ++i)
    {
        auto const response = send(action);
        EXPECT_NE(response.status, 503) << "after " << i << " requests";
        if (response.status == 503)
            return;
        auto const runs = count_runs(action);
        bool const lost_everywhere =
            std::all_of(runs.begin(), runs.end(), [](int count) { return count >= 1; });
        served = lost_everywhere && response.status == 200 && response.is_complete;
        // Failed servers are used less for a moment.
        std::this_thread::sleep_for(milliseconds(100));
    }
    EXPECT_TRUE(served);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send(action).status, 200);
}

// Guards against a request that crashes server after server.
TEST_P(lost_answer_test, request_that_crashes_its_servers_is_rejected_after_the_third)
{
    list_starts();
    start_until_ready();
    std::string const action = "dying-" + GetParam().loss;
    int status = 0;
    for (int i = 0; i < 40 && status != 503; ++i)
    {
        status = send(action).status;
        std::this_thread::sleep_for(milliseconds(500));
        list_restarts(action);
    }
    EXPECT_EQ(status, 503);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send(action).status, 503);
    auto const runs = count_runs(action);
    EXPECT_EQ(std::accumulate(runs.begin(), runs.end(), 0), 3);
}

// Guards against missing a crash because the server restarts before the node looks for it.
TEST_P(lost_answer_test, restart_after_a_lost_answer_is_a_crash)
{
    list_starts();
    start_until_ready();
    std::string const action = "losing-9-" + GetParam().loss;
    int status = 0;
    for (int i = 0; i < 20 && status != 503; ++i)
    {
        status = send(action).status;
        list_restarts(action);
        std::this_thread::sleep_for(milliseconds(1200));
    }
    EXPECT_EQ(status, 503);
    EXPECT_NE(m_node.program().output().find("evidence=restarted"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    requests, lost_answer_test,
    testing::Values(lost_call{"idempotent", "GET", "/check/", "cut"},
                    lost_call{"non_idempotent", "POST", "/order/", "cut"},
                    lost_call{"stream_without_head", "POST", "/plan/", "cut"},
                    lost_call{"stream_without_event", "POST", "/plan/", "broken-0"},
                    lost_call{"stream_within_its_events", "POST", "/plan/", "broken-1"},
                    lost_call{"resumable_stream", "POST", "/question/", "broken-0"}),
    [](auto const& parameter) { return parameter.param.name; });

} // namespace
} // namespace jasminepier::tests
