/// Runs nodes against servers that limit the requests that they accept.
#include "tests/support/node_fixture.hpp"

#include <algorithm>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// What the platform allows: one and a half times the limit and five requests in any 4 s, from 3 s
// after the first statement of the limit.
constexpr seconds window{4};
constexpr seconds settling_time{3};
constexpr double permitted_excess = 1.5;
constexpr int permitted_burst = 5;
// A rejected request must not wait for the end of its timeout of 3 s.
constexpr milliseconds prompt_rejection{500};

class node_limit_test : public node_fixture
{
protected:
    void state_limit(std::string const& limit)
    {
        http::header_list fields;
        if (!limit.empty())
            fields.add("Server-Limit", limit);
        for (auto* server : {&m_shop_1, &m_shop_2})
            server->set_extra_fields(fields);
    }

    /// Sends requests to both nodes for `duration`, one every 25 ms, and checks that each is served
    /// or rejected at once. Returns how many were served.
    int send_requests(seconds duration)
    {
        int served = 0;
        auto const end = std::chrono::steady_clock::now() + duration;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
        {
            auto const port = i % 2 == 0 ? m_node.ports().callers : m_second_node.ports().callers;
            auto const start = std::chrono::steady_clock::now();
            auto const response =
                call_node(port, make_request("POST", "/order/ok", "limit-" + std::to_string(i)));
            served += response.status == 200 ? 1 : 0;
            EXPECT_TRUE(response.status == 200 || response.status == 429) << response.status;
            if (response.status == 429)
            {
                EXPECT_LT(std::chrono::steady_clock::now() - start, prompt_rejection);
                EXPECT_TRUE(response.headers.find("Retry-After"));
            }
            std::this_thread::sleep_for(milliseconds(25));
        }
        return served;
    }

    /// Returns the largest number of requests that the server got within 4 s after `from`.
    static int find_busiest_window(fake_server const& server,
                                   std::chrono::steady_clock::time_point from)
    {
        std::vector<std::chrono::steady_clock::time_point> arrivals;
        for (auto const& request : server.requests())
            if (request.arrived_at >= from)
                arrivals.push_back(request.arrived_at);
        std::sort(arrivals.begin(), arrivals.end());
        std::ptrdiff_t busiest = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
            busiest =
                std::max(busiest, std::lower_bound(first, arrivals.end(), *first + window) - first);
        return static_cast<int>(busiest);
    }

    node_process m_second_node{"n2", {port(5), port(6), port(7), port(8)}, port(0)};
};

// Guards against sending a server more requests than the limit that it states, because nodes ignore
// the limit or each of them uses all of it.
TEST_F(node_limit_test, nodes_together_stay_within_the_limit_that_a_server_states)
{
    start_until_ready();
    ASSERT_TRUE(wait_until([&] { return m_second_node.is_ready(); }, seconds(10)));
    constexpr double limit = 2;
    state_limit("2.0");
    auto const stated = std::chrono::steady_clock::now();
    send_requests(settling_time + window + seconds(2));
    for (auto const* server : {&m_shop_1, &m_shop_2})
    {
        auto const busiest = find_busiest_window(*server, stated + settling_time);
        EXPECT_LE(busiest, permitted_excess * limit * window.count() + permitted_burst)
            << server->id();
        // The server still gets what it accepts.
        EXPECT_GE(busiest, limit * window.count() / 2) << server->id();
    }
}

// Guards against holding a server to a limit that it no longer states.
TEST_F(node_limit_test, a_limit_ends_with_the_first_response_that_does_not_state_it)
{
    start_until_ready();
    ASSERT_TRUE(wait_until([&] { return m_second_node.is_ready(); }, seconds(10)));
    state_limit("1");
    send_requests(seconds(3));
    state_limit("");
    // Until a node has sent its next request and told the other one.
    send_requests(seconds(5));
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(call("POST", "/order/ok").status, 200);
}

// Load: most servers of a service refuse connections at once. Guards against requests that are
// rejected, although a server has room, because attempts that no server got use up the retries.
TEST_F(node_limit_test, requests_pass_servers_that_cannot_be_reached)
{
    constexpr int dead_servers = 10;
    for (int i = 1; i <= dead_servers; ++i)
        m_store.put("servers", "i-dead-" + std::to_string(i),
                    make_server_entry("shop", "127.0.0.1:" + std::to_string(i)));
    start_until_ready();
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(call("POST", "/order/ok").status, 200);
}

// Load: both servers of a service are full for a moment. Guards against repeats to servers that
// have just rejected a request, and against a rejection while there is time to wait.
TEST_F(node_limit_test, requests_wait_while_full_servers_reject_them)
{
    start_until_ready();
    auto const earlier = m_shop_1.requests().size() + m_shop_2.requests().size();
    auto const start = std::chrono::steady_clock::now();
    EXPECT_EQ(call("POST", "/order/shed").status, 503);
    // The fourth attempt follows a pause of each server.
    EXPECT_GE(std::chrono::steady_clock::now() - start, milliseconds(40));
    EXPECT_EQ(m_shop_1.requests().size() + m_shop_2.requests().size(), earlier + 4);
}

} // namespace
} // namespace jasminepier::tests
