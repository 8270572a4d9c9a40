/// Runs jasminepier-node on loopback against stand-ins for the platform's store and servers.
#include "platform/store_dialect.hpp"
#include "tests/support/node_fixture.hpp"

#include <csignal>
#include <fstream>
#include <future>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class node_process_test : public node_fixture
{
protected:
    static std::string make_address(std::uint16_t port)
    {
        return std::string(loopback_host) + ":" + std::to_string(port);
    }

    node_ports m_second_ports{port(31), port(32), port(33), port(34)};
};

// Guards against permanent errors, such as 404, before a node has a configuration.
TEST_F(node_process_test, responds_503_until_configuration_is_received)
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
                // The node does not listen yet.
                return false;
            }
        },
        seconds(10)));
    EXPECT_FALSE(m_node.is_ready());
    start_until_ready();
    EXPECT_EQ(call("GET", "/unknown/ok").status, 404);
    auto unknown_key_request = make_request("GET", "/check/ok", "r-key");
    unknown_key_request.headers.set("Authorization", "Token wrong");
    EXPECT_EQ(call_node(m_node.ports().callers, unknown_key_request).status, 401);
}

TEST_F(node_process_test, relays_requests_and_responses_unchanged)
{
    start_until_ready();
    auto request = make_request("POST", "/order/ok?x=1", "r-order");
    request.body = "timber";
    auto const response = call_node(m_node.ports().callers, request);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "response to r-order");
    EXPECT_TRUE(response.headers.find("Server-Signature"));
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

// Guards against non-idempotent requests that run twice, and against responses that claim that a
// request did not run although it did.
TEST_F(node_process_test,
       non_idempotent_request_is_not_retried_and_its_failure_is_not_reported_as_rejection)
{
    start_until_ready();
    EXPECT_EQ(call("POST", "/order/cut").status, 502);
    EXPECT_EQ(run_count(), 1);
    EXPECT_EQ(call("POST", "/order/error").status, 500);
    EXPECT_EQ(run_count(), 1);
    EXPECT_EQ(call("POST", "/order/foreign").status, 502);
    EXPECT_EQ(run_count(), 1);
    EXPECT_EQ(call("POST", "/order/shed").status, 503);
    EXPECT_EQ(run_count(), 0);
    EXPECT_EQ(call("POST", "/order/hang").status, 504);
    EXPECT_EQ(run_count(), 1);
}

// Guards against idempotent requests that fail although another server could serve them, and
// against more attempts than the route allows.
TEST_F(node_process_test, idempotent_request_is_retried_at_a_second_server_but_not_a_third)
{
    start_until_ready();
    EXPECT_EQ(call("GET", "/check/error").status, 500);
    EXPECT_EQ(m_shop_1.execution_count(m_last_request_id), 1);
    EXPECT_EQ(m_shop_2.execution_count(m_last_request_id), 1);
    EXPECT_EQ(call("GET", "/check/cut").status, 502);
    EXPECT_EQ(run_count(), 2);
}

// Guards against rejecting the requests that arrive while a restarted node reads its configuration
// and while the servers write their entries again.
TEST_F(node_process_test, requests_wait_for_the_configuration_and_for_listed_servers)
{
    m_store.remove("servers", m_engine_1.id());
    ASSERT_TRUE(wait_until(
        [&]
        {
            try
            {
                return call("GET", "/check/ok").status == 503;
            }
            catch (std::exception const&)
            {
                // The node does not listen yet.
                return false;
            }
        },
        seconds(10)));
    auto request = make_request("POST", "/plan/stream-2", "r-early");
    request.headers.set("Deadline-Ms", "20000");
    auto early_response =
        std::async(std::launch::async, [&] { return call_node(m_node.ports().callers, request); });
    std::this_thread::sleep_for(milliseconds(100));
    configure();
    std::this_thread::sleep_for(milliseconds(100));
    m_store.put("servers", m_engine_1.id(), make_server_entry("engines", m_engine_1.address()));
    auto const response = early_response.get();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, make_events(1, 2));
}

// Guards against streams that look complete although their server failed.
TEST_F(node_process_test, interrupted_stream_is_not_terminated_as_complete)
{
    start_until_ready();
    auto const complete = call("POST", "/plan/stream-5");
    EXPECT_TRUE(complete.is_complete);
    EXPECT_EQ(complete.body, make_events(1, 5));
    auto const interrupted = call("POST", "/plan/broken-3");
    EXPECT_FALSE(interrupted.is_complete);
    EXPECT_EQ(interrupted.body, make_events(1, 3));
    EXPECT_EQ(run_count(), 1);
    EXPECT_EQ(call("POST", "/plan/broken-0").status, 502);
}

// Guards against repeated or missing events when another server resumes a stream.
TEST_F(node_process_test, resumable_stream_is_resumed_after_its_last_event)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    auto const response = call("POST", "/question/broken-3");
    EXPECT_EQ(response.body, make_events(1, 3));
    EXPECT_EQ(m_engine_1.execution_count(m_last_request_id), 1);
    EXPECT_EQ(m_engine_2.execution_count(m_last_request_id), 1);
}

// Guards against handing servers more time than the caller has left when the process was paused, or
// its thread was late, while the request had arrived.
TEST_F(node_process_test, deadline_counts_the_time_before_a_request_is_read)
{
    start_until_ready();
    m_node.program().send_signal(SIGSTOP);
    auto pending = std::async(std::launch::async, [&] { return call("GET", "/check/ok"); });
    std::this_thread::sleep_for(milliseconds(1200));
    m_node.program().send_signal(SIGCONT);
    EXPECT_EQ(pending.get().status, 200);
    auto requests = m_shop_1.requests();
    std::ranges::copy(m_shop_2.requests(), std::back_inserter(requests));
    auto const received = std::ranges::find_if(
        requests, [&](auto const& request)
        { return request.headers.find("Attempt-Id").value_or("") == m_last_request_id; });
    ASSERT_NE(received, requests.end());
    // The route's timeout is 3 s.
    EXPECT_LE(std::stoi(std::string(received->headers.find("Deadline-Ms").value_or(""))), 2000);
}

// Guards against waiting until the deadline for a stream that has stalled but still sends bytes.
TEST_F(node_process_test, stalled_stream_that_sends_bytes_is_resumed)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    auto const response = call("POST", "/question/stalled-4");
    EXPECT_TRUE(response.is_complete);
    EXPECT_EQ(response.body, make_events(1, 1) + ": \n\n" + make_events(2, 4));
    EXPECT_EQ(run_count(), 2);
}

// Guards against ending a sound stream whose pauses are long, but within its objective.
TEST_F(node_process_test, slow_stream_is_not_resumed)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    m_engine_1.set_event_interval(milliseconds(1300));
    m_engine_2.set_event_interval(milliseconds(1300));
    auto const response = call("POST", "/question/stream-3");
    EXPECT_TRUE(response.is_complete);
    EXPECT_EQ(response.body, make_events(1, 3));
    EXPECT_EQ(run_count(), 1);
}

// Guards against delivering the second copy of an earlier response to the next request on the same
// connection.
TEST_F(node_process_test, late_copy_of_a_response_is_not_delivered_to_the_next_request)
{
    start_until_ready();
    // Each response leaves a late copy on its connection, so that both servers soon have one
    // waiting.
    for (int i = 0; i < 30; ++i)
    {
        auto const response = call("GET", i % 3 == 2 ? "/check/ok" : "/check/copied");
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "response to " + m_last_request_id);
    }
}

// Guards against telling a caller that its request has not run, or running it again, because the
// server sends the refusal of an earlier request once more on a kept connection.
TEST_F(node_process_test, refusal_of_an_earlier_request_says_nothing_about_another_one)
{
    start_until_ready();
    for (int i = 0; i < 30; ++i)
    {
        bool const is_order = i % 3 == 2;
        auto const response =
            is_order ? call("POST", "/order/refusal-copied") : call("GET", "/check/refusal-copied");
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "response to " + m_last_request_id);
        EXPECT_LE(run_count(), is_order ? 1 : 2);
    }
}

// Guards against servers that fill the node's memory with bodies without end. A VM has 88 MB.
TEST_F(node_process_test, bodies_without_end_are_cut_and_leave_memory_for_other_requests)
{
    start_until_ready();
    std::vector<std::future<int>> endless_calls;
    endless_calls.reserve(20);
    for (int i = 0; i < 20; ++i)
        endless_calls.push_back(std::async(
            std::launch::async,
            [this, i]
            {
                auto const* const path = i % 2 == 0 ? "/check/endless" : "/plan/endless";
                auto const method = i % 2 == 0 ? "GET" : "POST";
                return call_node(m_node.ports().callers,
                                 make_request(method, path, "endless-" + std::to_string(i)))
                    .status;
            }));
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
    for (auto& endless_call : endless_calls)
    {
        auto const status = endless_call.get();
        EXPECT_TRUE(status == 502 || status == 503) << status;
    }
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
    std::ifstream process_status("/proc/" + std::to_string(m_node.program().id()) + "/status");
    std::string field;
    long peak_kilobytes = 0;
    while (process_status >> field)
        if (field == "VmHWM:")
            process_status >> peak_kilobytes;
    EXPECT_GT(peak_kilobytes, 0);
    EXPECT_LT(peak_kilobytes, 88 * 1024);
}

// Guards against losing a generation when the VM of its engine is reclaimed.
TEST_F(node_process_test, generation_is_handed_over_when_its_engine_drains)
{
    start_until_ready();
    auto pending_response =
        std::async(std::launch::async, [&] { return call("POST", "/plan/stream-100"); });
    ASSERT_TRUE(wait_until(
        [&]
        {
            auto const requests = m_engine_1.requests();
            return !requests.empty() && requests.back().path == "/plan/stream-100";
        },
        seconds(5)));
    std::this_thread::sleep_for(milliseconds(200));
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    m_store.put("servers", m_engine_1.id(),
                make_server_entry("engines", m_engine_1.address(), "draining"));
    auto const response = pending_response.get();
    EXPECT_TRUE(response.is_complete);
    EXPECT_EQ(response.body, make_events(1, 100));
    EXPECT_EQ(response.headers.find("Server-Signature"), "signed-by-i-engine-1");
    EXPECT_EQ(m_engine_1.copy_count(), 2);
    auto const continued = m_engine_2.requests();
    ASSERT_FALSE(continued.empty());
    EXPECT_EQ(continued.back().headers.find("Kv-From"),
              m_engine_1.address() + "/h-" + m_last_request_id);
}

// Guards against servers that keep working for callers that have disconnected.
TEST_F(node_process_test, caller_disconnect_cancels_the_request_at_the_server)
{
    start_until_ready();
    {
        Poco::Net::StreamSocket caller(
            Poco::Net::SocketAddress("127.0.0.1", m_node.ports().callers));
        auto const text = http::write_request(make_request("GET", "/check/hang", "r-left"));
        caller.sendBytes(text.data(), static_cast<int>(text.size()));
        ASSERT_TRUE(wait_until(
            [&]
            { return m_shop_1.execution_count("r-left") + m_shop_2.execution_count("r-left") > 0; },
            seconds(5)));
    }
    EXPECT_TRUE(wait_until(
        [&] { return m_shop_1.disconnect_count() + m_shop_2.disconnect_count() > 0; }, seconds(5)));
}

// Guards against a shutdown that cuts running streams, and against a SIGHUP that ends the process.
TEST_F(node_process_test, shutdown_waits_for_running_streams_and_sighup_reloads_settings)
{
    start_until_ready();
    m_node.rewrite_settings("history_s = 20\n");
    m_node.program().send_signal(SIGHUP);
    EXPECT_EQ(call("GET", "/check/ok").status, 200);
    m_engine_1.set_event_interval(milliseconds(50));
    auto pending_response =
        std::async(std::launch::async, [&] { return call("POST", "/plan/stream-40"); });
    std::this_thread::sleep_for(milliseconds(300));
    m_node.program().send_signal(SIGTERM);
    EXPECT_TRUE(wait_until([&] { return !m_node.is_ready(); }, seconds(5)));
    auto const late_response =
        call_node(m_node.ports().callers, make_request("GET", "/check/ok", "r-late"));
    EXPECT_EQ(late_response.status, 200);
    EXPECT_EQ(late_response.headers.find("Connection"), "close");
    EXPECT_TRUE(pending_response.get().is_complete);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
    EXPECT_NE(m_node.program().output().find("settings_reloaded"), std::string::npos);
}

// Guards against a planned stop that cuts a request whose body is still arriving. A node without
// other requests stops after 3.5 s, long before the end of its grace period of 6 s.
TEST_F(node_process_test, shutdown_waits_for_a_request_that_is_being_received)
{
    start_until_ready();
    auto request = make_request("POST", "/order/ok", "r-slow-body");
    request.headers.set("Deadline-Ms", "600");
    request.body = "order";
    auto const text = http::write_request(request);
    Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(loopback_host, m_node.ports().callers));
    send_all(caller, text.substr(0, text.size() - 2));
    std::this_thread::sleep_for(milliseconds(200));
    m_node.program().send_signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(3800));
    send_all(caller, text.substr(text.size() - 2));
    caller.setReceiveTimeout(Poco::Timespan(5, 0));
    std::string received(4096, '\0');
    auto const length = caller.receiveBytes(received.data(), static_cast<int>(received.size()));
    received.resize(static_cast<std::size_t>(std::max(length, 0)));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
    EXPECT_NE(received.find("response to r-slow-body"), std::string::npos);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against missed configurations when the store loses its history or is unavailable.
TEST_F(node_process_test, applies_configurations_after_lost_history_and_outages)
{
    start_until_ready();
    configure(2, "other");
    ASSERT_TRUE(wait_until(
        [&]
        {
            return call("POST", "/order/ok").status == 200 &&
                   m_other.execution_count(m_last_request_id) == 1;
        },
        seconds(5)));
    m_store.drop_history();
    configure(3, "shop");
    ASSERT_TRUE(wait_until(
        [&]
        {
            return call("POST", "/order/ok").status == 200 &&
                   m_other.execution_count(m_last_request_id) == 0;
        },
        seconds(5)));
    m_store.set_mode(store_mode::unavailable);
    m_store.drop_history();
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(call("GET", "/check/ok").status, 200);
    configure(4, "other");
    m_store.set_mode(store_mode::serving);
    EXPECT_TRUE(wait_until(
        [&]
        {
            return call("POST", "/order/ok").status == 200 &&
                   m_other.execution_count(m_last_request_id) == 1;
        },
        seconds(5)));
}

// Guards against missed configurations when a watch is pending at a store that falls silent.
TEST_F(node_process_test, applies_configurations_after_a_silent_outage)
{
    start_until_ready();
    m_store.set_mode(store_mode::unresponsive);
    std::this_thread::sleep_for(milliseconds(200));
    configure(2, "other");
    m_store.set_mode(store_mode::serving);
    EXPECT_TRUE(wait_until(
        [&]
        {
            return call("POST", "/order/ok").status == 200 &&
                   m_other.execution_count(m_last_request_id) == 1;
        },
        seconds(8)));
}

// Guards against a startup failure that aborts without logging the reason.
TEST_F(node_process_test, address_in_use_ends_startup_with_a_logged_reason)
{
    start_until_ready();
    node_process second("n2", m_node.ports(), port(0));
    EXPECT_EQ(second.program().wait_for_exit(10), 1);
    EXPECT_NE(second.program().output().find("event=failed"), std::string::npos);
    EXPECT_NE(second.program().output().find("already in use"), std::string::npos);
}

// Guards against watches that keep waiting at a store that has lost them.
TEST_F(node_process_test, watch_ends_when_it_is_cancelled)
{
    platform::object_store client({"127.0.0.1", port(0)});
    auto const watch_succeeds = [&](bool is_cancelled)
    {
        return base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(listed, client.list("servers"));
                BOOST_LEAF_AUTO(events, client.watch(listed.version, {"servers"}, seconds(1),
                                                     [&] { return is_cancelled; }));
                return events.objects.empty();
            },
            [](base::error const&) { return false; });
    };
    EXPECT_TRUE(watch_succeeds(false));
    EXPECT_FALSE(watch_succeeds(true));
}

// Guards against callers that learn of a single node only, or of a node that is shutting down.
TEST_F(node_process_test, address_list_contains_live_nodes_that_are_not_shutting_down)
{
    start_until_ready();
    auto const list_addresses = [&]
    { return call_node(m_node.ports().addresses, make_request("GET", "/resolve", "")).body; };
    EXPECT_NE(list_addresses().find(make_address(m_node.ports().callers)), std::string::npos);
    {
        node_process second("n2", m_second_ports, port(0));
        EXPECT_TRUE(wait_until(
            [&] {
                return list_addresses().find(make_address(m_second_ports.callers)) !=
                       std::string::npos;
            },
            seconds(10)));
        second.program().send_signal(SIGTERM);
        EXPECT_TRUE(wait_until(
            [&] {
                return list_addresses().find(make_address(m_second_ports.callers)) ==
                       std::string::npos;
            },
            seconds(5)));
    }
}

// Guards against outdated server lists on a node that alone cannot reach the store.
TEST_F(node_process_test, node_without_store_access_pulls_objects_from_peers)
{
    start_until_ready();
    fake_store unreachable(port(40));
    unreachable.set_mode(store_mode::unavailable);
    node_process second("n2", m_second_ports, port(40));
    m_store.put("jasminepier-nodes", "n2",
                R"({"zone":"a","caller_address":")" + make_address(m_second_ports.callers) +
                    R"(","peer_host":"127.0.0.1","peer_port":)" +
                    std::to_string(m_second_ports.peers) + "}");
    ASSERT_TRUE(wait_until([&] { return second.is_ready(); }, seconds(10)));
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
