/// Runs a node against servers that say in their responses what they still accept.
#include "tests/support/node_fixture.hpp"

#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_notice_test : public node_fixture
{
protected:
    static void add_field(fake_server& server, std::string const& name, std::string const& value)
    {
        http::header_list fields;
        fields.add(name, value);
        server.set_extra_fields(fields);
    }

    /// Sends orders until the server has got one.
    void send_until_reached(fake_server const& server, std::string const& path)
    {
        auto const earlier = server.requests().size();
        for (int i = 0; i < 100 && server.requests().size() == earlier; ++i)
            call("POST", path);
        ASSERT_GT(server.requests().size(), earlier);
    }

    /// Sends orders and lookups for a second. Returns how many reached the server.
    std::size_t count_requests(fake_server const& server)
    {
        auto const earlier = server.requests().size();
        for (int i = 0; i < 20; ++i)
        {
            call("POST", "/order/ok");
            call("GET", "/check/ok");
            std::this_thread::sleep_for(milliseconds(40));
        }
        return server.requests().size() - earlier;
    }
};

// Guards against requests to a server that says in its responses that it leaves, while its entry in
// the store is ready, also after that entry has changed.
TEST_F(server_notice_test, server_that_announces_its_leaving_gets_no_more_requests)
{
    m_store.put("servers", m_shop_1.id(), make_started_entry(m_shop_1, 1000));
    start_until_ready();
    add_field(m_shop_1, "Server-Leaving", "1");
    send_until_reached(m_shop_1, "/order/ok");
    EXPECT_EQ(count_requests(m_shop_1), 0U);
    m_store.put("servers", m_shop_1.id(), make_started_entry(m_shop_1, 1000, 9));
    EXPECT_EQ(count_requests(m_shop_1), 0U);
    // Another process of the server at the same address.
    m_shop_1.set_extra_fields({});
    m_store.put("servers", m_shop_1.id(), make_started_entry(m_shop_1, 2000, 9));
    EXPECT_TRUE(wait_until([&] { return count_requests(m_shop_1) > 0; }, seconds(5)));
}

// Guards against a peer that goes on sending requests to a server that has told only this node.
TEST_F(server_notice_test, peers_learn_that_a_server_leaves)
{
    node_process second{"n2", {port(5), port(6), port(7), port(8)}, port(0)};
    start_until_ready();
    ASSERT_TRUE(wait_until([&] { return second.is_ready(); }, seconds(10)));
    add_field(m_shop_1, "Server-Leaving", "1");
    send_until_reached(m_shop_1, "/order/ok");
    std::this_thread::sleep_for(seconds(2));
    auto const earlier = m_shop_1.requests().size();
    for (int i = 0; i < 20; ++i)
        call_node(second.ports().callers,
                  make_request("POST", "/order/ok", "peer-" + std::to_string(i)));
    EXPECT_EQ(m_shop_1.requests().size(), earlier);
}

// Guards against sending requests to a server during the time for which it wants none, because it
// rejects them without running them and so looks idle.
TEST_F(server_notice_test, server_that_asks_for_a_pause_gets_nothing_until_its_end)
{
    start_until_ready();
    add_field(m_shop_1, "Retry-After", "2.5");
    send_until_reached(m_shop_1, "/order/shed");
    // The other server has turned the requests away as well, but asks for no pause.
    m_shop_1.set_extra_fields({});
    auto const paused_at = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < paused_at + milliseconds(1400))
        EXPECT_EQ(count_requests(m_shop_1), 0U);
    // Rejections count against a server for some seconds more.
    EXPECT_TRUE(wait_until([&] { return count_requests(m_shop_1) > 0; }, seconds(20)));
}

// Guards against holding requests until their timeout, or trying again and again, while every
// server of a service wants a pause.
TEST_F(server_notice_test, requests_are_rejected_at_once_while_all_servers_pause)
{
    start_until_ready();
    for (auto* server : {&m_shop_1, &m_shop_2})
        add_field(*server, "Retry-After", "20");
    // The first one is rejected by both servers.
    for (int i = 0; i < 2; ++i)
        call("POST", "/order/shed");
    auto const earlier = m_shop_1.requests().size() + m_shop_2.requests().size();
    for (int i = 0; i < 10; ++i)
    {
        auto const start = std::chrono::steady_clock::now();
        auto const response = call("POST", "/order/ok");
        EXPECT_EQ(response.status, 429);
        EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(500));
        EXPECT_GT(std::stod(std::string(response.headers.find("Retry-After").value_or("0"))), 10);
    }
    EXPECT_EQ(m_shop_1.requests().size() + m_shop_2.requests().size(), earlier);
}

} // namespace
} // namespace jasminepier::tests
