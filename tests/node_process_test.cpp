/// The node's program against stand-ins of the platform's store and servers, on loopback.
#include "platform/store_dialect.hpp"
#include "tests/support/deployment.hpp"
#include "tests/support/fake_server.hpp"
#include "tests/support/fake_store.hpp"
#include "tests/support/node_process.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t store_port = 24100;

std::string configuration_text(int version, std::string const& service)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[)"
           R"({"name":"order","host":"shop.example","path_prefix":"/order/",)"
           R"("route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":150,)"
           R"("service":")" +
           service +
           R"(","max_attempts":1},)"
           R"({"name":"check","host":"shop.example","path_prefix":"/check/",)"
           R"("route_type":"idempotent","timeout_ms":3000,"target_latency_ms":150,)"
           R"("service":"shop","max_attempts":2},)"
           R"({"name":"plan","host":"shop.example","path_prefix":"/plan/",)"
           R"("route_type":"streaming","timeout_ms":20000,"target_latency_ms":1500,)"
           R"("service":"engines","max_attempts":1,"target_itl_ms":180},)"
           R"({"name":"question","host":"shop.example","path_prefix":"/question/",)"
           R"("route_type":"streaming","timeout_ms":6000,"target_latency_ms":1500,)"
           R"("service":"engines","max_attempts":2,"stream_resume":true},)"
           R"({"name":"open","host":"shop.example","path_prefix":"/open/","public":true,)"
           R"("route_type":"idempotent","service":"shop"}],)"
           R"("services":[{"name":"shop"},{"name":"other"},{"name":"engines","engine":)"
           R"({"slots":24,"kv_capacity":34000,"kv_bytes":262144,"link_mbps":38000.0,)"
           R"("moves":true}}],"tenants":[{"name":"huka","api_keys":["key-1"]}]})";
}

std::string server_text(std::string const& service, std::string const& address,
                        std::string const& state = "ready")
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"a","slots":8,"state":")" + state + R"("})";
}

/// A store, two servers of the shop, two engines and one node.
class node_process_test : public testing::Test
{
protected:
    void SetUp() override
    {
        for (auto const* server : {&m_shop_1, &m_shop_2})
            m_store.put("servers", server->id(), server_text("shop", server->address()));
        m_store.put("servers", m_other.id(), server_text("other", m_other.address()));
        m_store.put("servers", m_engine_1.id(), server_text("engines", m_engine_1.address()));
    }

    void configure(int version = 1, std::string const& order_service = "shop")
    {
        m_store.put("config", "main", configuration_text(version, order_service));
    }

    void start_ready()
    {
        configure();
        ASSERT_TRUE(wait_until([&] { return m_node.ready(); }, seconds(10)));
        // The list of servers is read on its own and may come a little later.
        ASSERT_TRUE(wait_until([&] { return call("GET", "/open/ok").status == 200; }, seconds(10)));
        ASSERT_TRUE(
            wait_until([&] { return call("POST", "/plan/stream-1").status == 200; }, seconds(10)));
    }

    caller_answer call(std::string const& method, std::string const& path)
    {
        m_last_id = "r" + std::to_string(++m_requests);
        return call_node(m_node.ports().callers, make_request(method, path, m_last_id));
    }

    int runs() const
    {
        return m_shop_1.runs(m_last_id) + m_shop_2.runs(m_last_id) + m_engine_1.runs(m_last_id) +
               m_engine_2.runs(m_last_id) + m_other.runs(m_last_id);
    }

    static std::string events(int first, int last)
    {
        std::string text;
        for (int i = first; i <= last; ++i)
            text += "id: " + std::to_string(i) + "\ndata: piece\n\n";
        return text;
    }

    fake_store m_store{store_port};
    fake_server m_shop_1{24111, "i-shop-1"};
    fake_server m_shop_2{24112, "i-shop-2"};
    fake_server m_other{24113, "i-other"};
    fake_server m_engine_1{24121, "i-engine-1"};
    fake_server m_engine_2{24122, "i-engine-2"};
    node_process m_node{"n1", {24101, 24102, 24103, 24104}, store_port};
    int m_requests = 0;
    std::string m_last_id;
};

// Guards against refusals for good while a node knows no configuration yet.
TEST_F(node_process_test, answers_503_until_a_configuration_is_known)
{
    ASSERT_TRUE(wait_until(
        [&]
        {
            try
            {
                return call("GET", "/check/ok").status == 503;
            }
            catch (std::exception const&)
            {
                // The port is not open yet.
                return false;
            }
        },
        seconds(10)));
    EXPECT_FALSE(m_node.ready());
    start_ready();
    EXPECT_EQ(call("GET", "/unknown/ok").status, 404);
    auto stranger = make_request("GET", "/check/ok", "r-key");
    stranger.headers.set("Authorization", "Token wrong");
    EXPECT_EQ(call_node(m_node.ports().callers, stranger).status, 401);
}

TEST_F(node_process_test, relays_requests_and_answers_unchanged)
{
    start_ready();
    auto request = make_request("POST", "/order/ok?x=1", "r-order");
    request.body = "timber";
    auto const answer = call_node(m_node.ports().callers, request);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "answer to r-order");
    EXPECT_TRUE(answer.headers.find("Server-Signature"));
    auto received = m_shop_1.requests();
    for (auto const& other : m_shop_2.requests())
        received.push_back(other);
    auto const found = std::find_if(received.begin(), received.end(),
                                    [](auto const& item) { return item.path == "/order/ok?x=1"; });
    ASSERT_NE(found, received.end());
    EXPECT_EQ(found->body, "timber");
    EXPECT_EQ(found->headers.find("Tenant"), "huka");
    EXPECT_FALSE(found->headers.find("Authorization"));
}

// Guards against orders that run twice and against refusals that are not true.
TEST_F(node_process_test, an_order_is_sent_once_and_its_loss_is_not_called_a_refusal)
{
    start_ready();
    EXPECT_EQ(call("POST", "/order/cut").status, 502);
    EXPECT_EQ(runs(), 1);
    EXPECT_EQ(call("POST", "/order/error").status, 500);
    EXPECT_EQ(runs(), 1);
    EXPECT_EQ(call("POST", "/order/foreign").status, 502);
    EXPECT_EQ(runs(), 1);
    EXPECT_EQ(call("POST", "/order/shed").status, 503);
    EXPECT_EQ(runs(), 0);
    EXPECT_EQ(call("POST", "/order/hang").status, 504);
    EXPECT_EQ(runs(), 1);
}

// Guards against lookups that fail although another server would have answered.
TEST_F(node_process_test, a_lookup_is_tried_at_a_second_server_and_no_third)
{
    start_ready();
    EXPECT_EQ(call("GET", "/check/error").status, 500);
    EXPECT_EQ(m_shop_1.runs(m_last_id), 1);
    EXPECT_EQ(m_shop_2.runs(m_last_id), 1);
    EXPECT_EQ(call("GET", "/check/cut").status, 502);
    EXPECT_EQ(runs(), 2);
}

// Guards against streams that look whole although their server broke off.
TEST_F(node_process_test, a_broken_stream_does_not_look_whole)
{
    start_ready();
    auto const whole = call("POST", "/plan/stream-5");
    EXPECT_TRUE(whole.whole);
    EXPECT_EQ(whole.body, events(1, 5));
    auto const broken = call("POST", "/plan/broken-3");
    EXPECT_FALSE(broken.whole);
    EXPECT_EQ(broken.body, events(1, 3));
    EXPECT_EQ(runs(), 1);
    EXPECT_EQ(call("POST", "/plan/broken-0").status, 502);
}

// Guards against repeated or missing events when a resumable stream goes on elsewhere.
TEST_F(node_process_test, a_resumable_stream_goes_on_behind_its_last_event)
{
    m_store.put("servers", m_engine_2.id(), server_text("engines", m_engine_2.address()));
    start_ready();
    auto const answer = call("POST", "/question/broken-3");
    EXPECT_EQ(answer.body, events(1, 3));
    EXPECT_EQ(m_engine_1.runs(m_last_id), 1);
    EXPECT_EQ(m_engine_2.runs(m_last_id), 1);
}

// Guards against generations that are lost when their engine is reclaimed.
TEST_F(node_process_test, a_run_moves_before_its_engine_leaves)
{
    start_ready();
    auto running = std::async(std::launch::async, [&] { return call("POST", "/plan/stream-100"); });
    ASSERT_TRUE(wait_until(
        [&]
        {
            auto const requests = m_engine_1.requests();
            return !requests.empty() && requests.back().path == "/plan/stream-100";
        },
        seconds(5)));
    std::this_thread::sleep_for(milliseconds(200));
    m_store.put("servers", m_engine_2.id(), server_text("engines", m_engine_2.address()));
    m_store.put("servers", m_engine_1.id(),
                server_text("engines", m_engine_1.address(), "draining"));
    auto const answer = running.get();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, 100));
    EXPECT_EQ(answer.headers.find("Server-Signature"), "signed-by-i-engine-1");
    EXPECT_EQ(m_engine_1.copies(), 2);
    auto const continued = m_engine_2.requests();
    ASSERT_FALSE(continued.empty());
    EXPECT_EQ(continued.back().headers.find("Kv-From"), m_engine_1.address() + "/h-" + m_last_id);
}

// Guards against servers that work on for callers who have left.
TEST_F(node_process_test, a_callers_leaving_reaches_the_server)
{
    start_ready();
    {
        Poco::Net::StreamSocket caller(
            Poco::Net::SocketAddress("127.0.0.1", m_node.ports().callers));
        auto const text = http::write_request(make_request("GET", "/check/hang", "r-left"));
        caller.sendBytes(text.data(), static_cast<int>(text.size()));
        ASSERT_TRUE(wait_until(
            [&] { return m_shop_1.runs("r-left") + m_shop_2.runs("r-left") > 0; }, seconds(5)));
    }
    EXPECT_TRUE(
        wait_until([&] { return m_shop_1.abandoned() + m_shop_2.abandoned() > 0; }, seconds(5)));
}

// Guards against stops that cut running streams, and against a process that SIGHUP ends.
TEST_F(node_process_test, stops_behind_running_streams_and_survives_sighup)
{
    start_ready();
    m_node.rewrite_settings("history_s = 20\n");
    m_node.program().send_signal(SIGHUP);
    EXPECT_EQ(call("GET", "/check/ok").status, 200);
    m_engine_1.set_event_pause(milliseconds(50));
    auto running = std::async(std::launch::async, [&] { return call("POST", "/plan/stream-40"); });
    std::this_thread::sleep_for(milliseconds(300));
    m_node.program().send_signal(SIGTERM);
    EXPECT_TRUE(wait_until([&] { return !m_node.ready(); }, seconds(5)));
    auto const late = call_node(m_node.ports().callers, make_request("GET", "/check/ok", "r-late"));
    EXPECT_EQ(late.status, 200);
    EXPECT_EQ(late.headers.find("Connection"), "close");
    EXPECT_TRUE(running.get().whole);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
    EXPECT_NE(m_node.program().output().find("settings_reloaded"), std::string::npos);
}

// Guards against configurations that are missed when the store drops its history.
TEST_F(node_process_test, follows_configurations_through_lost_history_and_outages)
{
    start_ready();
    configure(2, "other");
    ASSERT_TRUE(wait_until(
        [&] { return call("POST", "/order/ok").status == 200 && m_other.runs(m_last_id) == 1; },
        seconds(5)));
    m_store.forget_history();
    configure(3, "shop");
    ASSERT_TRUE(wait_until(
        [&] { return call("POST", "/order/ok").status == 200 && m_other.runs(m_last_id) == 0; },
        seconds(5)));
    m_store.set_mode(store_mode::refusing);
    m_store.forget_history();
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(call("GET", "/check/ok").status, 200);
    configure(4, "other");
    m_store.set_mode(store_mode::serving);
    EXPECT_TRUE(wait_until(
        [&] { return call("POST", "/order/ok").status == 200 && m_other.runs(m_last_id) == 1; },
        seconds(5)));
}

// Guards against configurations that are missed because a watch waits at a store that fell silent.
TEST_F(node_process_test, follows_configurations_after_a_silent_outage)
{
    start_ready();
    m_store.set_mode(store_mode::silent);
    std::this_thread::sleep_for(milliseconds(200));
    configure(2, "other");
    m_store.set_mode(store_mode::serving);
    EXPECT_TRUE(wait_until(
        [&] { return call("POST", "/order/ok").status == 200 && m_other.runs(m_last_id) == 1; },
        seconds(8)));
}

// Guards against a start that ends in an abort, without saying what is wrong.
TEST_F(node_process_test, a_taken_address_ends_the_start_with_its_reason)
{
    start_ready();
    node_process second("n2", m_node.ports(), store_port);
    EXPECT_EQ(second.program().wait_for_exit(10), 1);
    EXPECT_NE(second.program().output().find("event=failed"), std::string::npos);
    EXPECT_NE(second.program().output().find("already in use"), std::string::npos);
}

// Guards against watches that wait on at a store which lost them when it fell silent.
TEST_F(node_process_test, a_watch_ends_when_it_is_given_up)
{
    platform::object_store client({"127.0.0.1", store_port});
    auto const page = [&](bool is_cancelled)
    {
        return base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(known, client.list("servers"));
                BOOST_LEAF_AUTO(events, client.watch(known.version, {"servers"}, seconds(1),
                                                     [&] { return is_cancelled; }));
                return events.objects.empty();
            },
            [](base::error const&) { return false; });
    };
    EXPECT_TRUE(page(false));
    EXPECT_FALSE(page(true));
}

// Guards against callers that learn of one node only, or of one that stops.
TEST_F(node_process_test, names_living_nodes_to_callers)
{
    start_ready();
    auto const ask = [&]
    { return call_node(m_node.ports().addresses, make_request("GET", "/resolve", "")).body; };
    EXPECT_NE(ask().find("127.0.0.1:24101"), std::string::npos);
    {
        node_process second("n2", {24131, 24132, 24133, 24134}, store_port);
        EXPECT_TRUE(wait_until([&] { return ask().find("127.0.0.1:24131") != std::string::npos; },
                               seconds(10)));
        second.program().send_signal(SIGTERM);
        EXPECT_TRUE(wait_until([&] { return ask().find("127.0.0.1:24131") == std::string::npos; },
                               seconds(5)));
    }
}

// Guards against nodes that serve by old lists while only they cannot reach the store.
TEST_F(node_process_test, a_node_without_the_store_learns_from_its_peers)
{
    start_ready();
    fake_store unreachable(24140);
    unreachable.set_mode(store_mode::refusing);
    node_process second("n2", {24131, 24132, 24133, 24134}, 24140);
    m_store.put("jasminepier-nodes", "n2",
                R"({"zone":"a","caller_address":"127.0.0.1:24131","peer_host":"127.0.0.1",)"
                R"("peer_port":24134})");
    ASSERT_TRUE(wait_until([&] { return second.ready(); }, seconds(10)));
    EXPECT_TRUE(wait_until(
        [&]
        {
            return call_node(second.ports().callers, make_request("GET", "/check/ok", "r-second"))
                       .status == 200;
        },
        seconds(5)));
}

} // namespace
} // namespace jasminepier::tests
