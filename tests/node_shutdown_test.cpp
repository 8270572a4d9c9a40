/// Runs jasminepier-node on loopback and shuts it down while callers go on sending requests.
#include "http/response_reader.hpp"
#include "tests/support/node_fixture.hpp"

#include <Poco/Net/NetException.h>

#include <csignal>
#include <future>
#include <iostream>
#include <thread>
#include <vector>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The grace period of the node is 6 s. Its last responses are sent 5.6 s after SIGTERM.
class node_shutdown_test : public node_fixture
{
protected:
    http::request make_stream_request(std::string const& path, std::string const& request_id) const
    {
        auto request = make_request("POST", path, request_id);
        // The estimate of the length is far too short.
        request.headers.add("Token-Usage", "1000,2000");
        request.headers.add("Length-Hint", "10");
        return request;
    }

    std::future<caller_response> send(http::request const& request)
    {
        return std::async(std::launch::async,
                          [this, request] { return call_node(m_node.ports().callers, request); });
    }

    /// Sends the request until a server runs it: on a busy machine, the node may give up
    /// connecting.
    std::future<caller_response> send_until_running(http::request const& request,
                                                    std::string const& request_id)
    {
        constexpr int maximum_sends = 5;
        std::future<caller_response> response;
        for (int sends = 0; sends < maximum_sends; ++sends)
        {
            response = send(request);
            bool running = false;
            wait_until(
                [&]
                {
                    running = m_shop_1.execution_count(request_id) +
                                  m_shop_2.execution_count(request_id) +
                                  m_engine_1.execution_count(request_id) >
                              0;
                    return running || response.wait_for(seconds(0)) == std::future_status::ready;
                });
            if (running)
                return response;
            std::cerr << request_id << " was rejected with status " << response.get().status
                      << " before the shutdown\n";
        }
        ADD_FAILURE() << "no server runs " << request_id;
        return send(request);
    }

    void shut_down() { m_node.program().send_signal(SIGTERM); }
};

std::string receive_all(Poco::Net::StreamSocket& socket)
{
    std::string received;
    std::string bytes(4096, '\0');
    try
    {
        while (true)
        {
            auto const count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count <= 0)
                return received;
            received.append(bytes, 0, static_cast<std::size_t>(count));
        }
    }
    catch (Poco::Net::NetException const&)
    {
        // The node reset the connection.
        return received;
    }
}

// Guards against a stopping node that starts a stream because of a wrong length estimate and breaks
// it off when the process ends.
TEST_F(node_shutdown_test, stream_that_may_outlast_the_shutdown_is_rejected_at_once)
{
    start_until_ready();
    m_engine_1.set_event_interval(milliseconds(50));
    shut_down();
    std::this_thread::sleep_for(milliseconds(2500));
    auto const begin = std::chrono::steady_clock::now();
    auto const response =
        call_node(m_node.ports().callers, make_stream_request("/plan/stream-200", "r-late-stream"));
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.is_complete);
    EXPECT_TRUE(response.headers.find("Retry-After").has_value());
    EXPECT_EQ(response.headers.find("Connection"), "close");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(500));
    EXPECT_EQ(m_engine_1.execution_count("r-late-stream"), 0);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
    EXPECT_NE(m_node.program().output().find("arrived_after_stop_ms="), std::string::npos);
}

// Guards against a stopping node that starts a stream and breaks it off although its server keeps
// to the gap between events that the route allows.
TEST_F(node_shutdown_test, stream_at_the_longest_permitted_gap_ends_or_is_rejected)
{
    start_until_ready();
    // The route permits gaps of 180 ms.
    m_engine_1.set_event_interval(milliseconds(170));
    shut_down();
    std::this_thread::sleep_for(milliseconds(2000));
    auto long_request = make_request("POST", "/plan/stream-24", "r-long");
    long_request.headers.add("Token-Usage", "100,24");
    auto short_request = make_request("POST", "/plan/stream-8", "r-short");
    short_request.headers.add("Token-Usage", "100,8");
    auto long_response = send(long_request);
    auto const short_response = send(short_request).get();
    EXPECT_EQ(short_response.status, 200);
    EXPECT_TRUE(short_response.is_complete);
    auto const rejection = long_response.get();
    EXPECT_EQ(rejection.status, 503);
    EXPECT_TRUE(rejection.is_complete);
    EXPECT_EQ(m_engine_1.execution_count("r-long"), 0);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against requests that a stopping node accepts late and cuts at the end of its grace
// period, among them such that may run once only.
TEST_F(node_shutdown_test, requests_sent_throughout_the_shutdown_are_answered_completely)
{
    start_until_ready();
    m_engine_1.set_event_interval(milliseconds(170));
    shut_down();
    std::vector<std::pair<std::string, std::future<caller_response>>> responses;
    for (int i = 0; i < 20; ++i)
    {
        // Orders without a stated deadline, and streams without a stated length or a permitted gap.
        for (auto const* path : {"/order/work-1200", "/plan/stream-8", "/plan/stream-24",
                                 "/plan/stream-30", "/question/stream-20"})
        {
            auto const id = "r-" + std::to_string(responses.size());
            auto request = make_request("POST", path, id);
            request.headers.remove("Deadline-Ms");
            if (std::string_view(path) == "/plan/stream-8")
                request.headers.add("Token-Usage", "100,8");
            if (std::string_view(path) == "/plan/stream-24")
                request.headers.add("Token-Usage", "100,24");
            responses.emplace_back(id, send(request));
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    int served = 0;
    for (auto& [id, pending] : responses)
    {
        auto const response = pending.get();
        auto const runs = m_shop_1.execution_count(id) + m_shop_2.execution_count(id) +
                          m_engine_1.execution_count(id);
        EXPECT_TRUE(response.is_complete) << id << " status " << response.status;
        EXPECT_TRUE(response.status == 200 || (response.status == 503 && runs == 0)) << id;
        served += response.status == 200 ? 1 : 0;
    }
    EXPECT_GT(served, 10);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against a stopping node that rejects requests although they certainly end in time.
TEST_F(node_shutdown_test, request_whose_deadline_lies_before_the_end_is_served)
{
    start_until_ready();
    shut_down();
    std::this_thread::sleep_for(milliseconds(1000));
    auto request = make_request("POST", "/plan/stream-5", "r-short");
    request.headers.set("Deadline-Ms", "2000");
    auto const response = call_node(m_node.ports().callers, request);
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.is_complete);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against a connection that is closed without a response because its request arrived too
// late to be served.
TEST_F(node_shutdown_test, request_that_arrives_too_late_is_rejected_without_being_run)
{
    start_until_ready();
    auto request = make_request("POST", "/order/ok", "r-slow-body");
    request.body = "order";
    auto const text = http::write_request(request);
    Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(loopback_host, m_node.ports().callers));
    caller.setReceiveTimeout(Poco::Timespan(5, 0));
    send_all(caller, text.substr(0, text.size() - 2));
    std::this_thread::sleep_for(milliseconds(200));
    shut_down();
    std::this_thread::sleep_for(milliseconds(4500));
    send_all(caller, text.substr(text.size() - 2));
    auto const received = receive_all(caller);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
    EXPECT_TRUE(received.ends_with("}")) << received;
    EXPECT_EQ(m_shop_1.execution_count("r-slow-body") + m_shop_2.execution_count("r-slow-body"), 0);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against a request that waited for a free engine when the shutdown began and is started
// afterwards.
TEST_F(node_shutdown_test, queued_stream_is_not_started_once_the_shutdown_has_begun)
{
    start_until_ready();
    m_engine_1.set_event_interval(milliseconds(30));
    auto request_with_full_memory = make_request("POST", "/plan/stream-20", "r-running");
    request_with_full_memory.headers.add("Token-Usage", "32000,1000");
    auto running = send(request_with_full_memory);
    std::this_thread::sleep_for(milliseconds(200));
    auto queued_request = make_request("POST", "/plan/stream-200", "r-queued");
    queued_request.headers.add("Token-Usage", "32000,1000");
    queued_request.headers.add("Length-Hint", "10");
    auto queued = send(queued_request);
    std::this_thread::sleep_for(milliseconds(100));
    shut_down();
    EXPECT_TRUE(running.get().is_complete);
    auto const response = queued.get();
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.is_complete);
    EXPECT_EQ(m_engine_1.execution_count("r-queued"), 0);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against connections that the end of the process closes without a response to a request
// that still waits for its server.
TEST_F(node_shutdown_test, requests_that_run_until_the_end_are_answered)
{
    start_until_ready();
    auto silent_stream =
        send_until_running(make_request("POST", "/plan/hang", "r-silent"), "r-silent");
    auto slow_call = send_until_running(make_request("GET", "/open/hang", "r-slow"), "r-slow");
    shut_down();
    for (auto* pending : {&silent_stream, &slow_call})
    {
        auto const response = pending->get();
        EXPECT_EQ(response.status, 504);
        EXPECT_TRUE(response.is_complete);
    }
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against forwarding a rejection, which promises that a request has not run, of a server
// that ran it, if no other server can be tried.
TEST_F(node_shutdown_test, rejection_by_a_server_that_ran_the_request_is_not_forwarded)
{
    start_until_ready();
    auto response =
        send_until_running(make_request("GET", "/open/unavailable-600", "r-ran"), "r-ran");
    shut_down();
    EXPECT_EQ(response.get().status, 502);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against forwarding the other statuses that promise that a request has not run.
TEST_F(node_shutdown_test, statuses_that_promise_no_execution_are_not_forwarded_after_a_run)
{
    start_until_ready();
    for (auto const* path :
         {"/order/status-429", "/order/status-408", "/plan/status-429", "/plan/status-408"})
    {
        EXPECT_EQ(call("POST", path).status, 502) << path;
        EXPECT_EQ(run_count(), 1) << path;
    }
}

// Guards against callers that keep an idle connection to a stopping node and send the next request
// there.
TEST_F(node_shutdown_test, idle_connections_close_when_the_shutdown_begins)
{
    start_until_ready();
    Poco::Net::StreamSocket idle(Poco::Net::SocketAddress(loopback_host, m_node.ports().callers));
    idle.setReceiveTimeout(Poco::Timespan(10, 0));
    send_all(idle, http::write_request(make_request("GET", "/check/ok", "r-first")));
    std::this_thread::sleep_for(milliseconds(300));
    auto const begin = std::chrono::steady_clock::now();
    shut_down();
    EXPECT_NE(receive_all(idle).find("response to r-first"), std::string::npos);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, seconds(2));
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against pipelined requests that a stopping node has read and then drops with the
// connection.
TEST_F(node_shutdown_test, pipelined_requests_are_answered_before_the_connection_closes)
{
    start_until_ready();
    Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(loopback_host, m_node.ports().callers));
    caller.setReceiveTimeout(Poco::Timespan(10, 0));
    auto request = make_request("GET", "/check/work-600", "r-first");
    auto second_request = make_request("GET", "/check/ok", "r-second");
    for (auto* pipelined : {&request, &second_request})
        pipelined->headers.set("Deadline-Ms", "3000");
    send_all(caller, http::write_request(request) + http::write_request(second_request));
    std::this_thread::sleep_for(milliseconds(200));
    shut_down();
    auto const received = receive_all(caller);
    EXPECT_NE(received.find("response to r-first"), std::string::npos);
    EXPECT_NE(received.find("response to r-second"), std::string::npos);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

/// A caller that reads slowly. Its kernel holds little that it has not read.
class slow_reader
{
public:
    explicit slow_reader(std::uint16_t port) : m_socket(Poco::Net::SocketAddress::IPv4)
    {
        m_socket.setReceiveBufferSize(16384);
        m_socket.connect(Poco::Net::SocketAddress(loopback_host, port));
        m_socket.setReceiveTimeout(Poco::Timespan(5, 0));
    }
    void send(http::request const& request) { send_all(m_socket, http::write_request(request)); }
    /// Reads `bytes_per_step` every 50 ms while `condition()` returns true and the response goes
    /// on.
    template <class Condition>
    void read_while(std::size_t bytes_per_step, Condition&& condition)
    {
        std::string bytes(bytes_per_step, '\0');
        while (condition())
        {
            auto next = std::chrono::steady_clock::now() + milliseconds(50);
            for (std::size_t read = 0; read < bytes_per_step;)
            {
                auto const count =
                    m_socket.receiveBytes(bytes.data(), static_cast<int>(bytes_per_step - read));
                if (count <= 0)
                    return;
                read += static_cast<std::size_t>(count);
                m_received += static_cast<std::size_t>(count);
            }
            std::this_thread::sleep_until(next);
        }
    }
    /// Returns the number of bytes of the response that have reached this machine.
    std::size_t arrived_bytes() const
    {
        return m_received + static_cast<std::size_t>(m_socket.available());
    }

private:
    Poco::Net::StreamSocket m_socket;
    std::size_t m_received = 0;
};

// Guards against a node that ends early although a caller has not yet taken its response, which is
// lost if the machine stops with the process.
TEST_F(node_shutdown_test, node_runs_until_slow_readers_have_their_responses)
{
    start_until_ready();
    constexpr std::size_t body_bytes = 614400;
    slow_reader reader(m_node.ports().callers);
    reader.send(make_request("GET", "/check/large-600", "r-large"));
    // 128 KB a second, so that the response takes 4.8 s.
    reader.read_while(6400, [&] { return reader.arrived_bytes() < 30000; });
    shut_down();
    reader.read_while(6400, [&] { return m_node.program().running(); });
    EXPECT_GT(reader.arrived_bytes(), body_bytes);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against pipelined requests that arrive while the first one runs and are discarded when the
// connection closes.
TEST_F(node_shutdown_test, request_that_arrived_behind_a_running_one_is_answered)
{
    start_until_ready();
    Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(loopback_host, m_node.ports().callers));
    caller.setReceiveTimeout(Poco::Timespan(10, 0));
    auto request = make_request("GET", "/check/work-600", "r-first");
    auto second_request = make_request("GET", "/check/ok", "r-second");
    for (auto* pipelined : {&request, &second_request})
        pipelined->headers.set("Deadline-Ms", "3000");
    send_all(caller, http::write_request(request));
    std::this_thread::sleep_for(milliseconds(100));
    send_all(caller, http::write_request(second_request));
    std::this_thread::sleep_for(milliseconds(100));
    shut_down();
    auto const received = receive_all(caller);
    EXPECT_NE(received.find("response to r-first"), std::string::npos);
    EXPECT_NE(received.find("response to r-second"), std::string::npos);
    EXPECT_EQ(m_node.program().wait_for_exit(10), 0);
}

// Guards against requests that are read just before the process ends and get no response. A node
// without a long request ends before its grace period does; with one, it ends with it.
class node_shutdown_load_test : public node_shutdown_test, public testing::WithParamInterface<bool>
{
protected:
    struct result
    {
        int answered = 0;
        int lost = 0;
    };

    /// Sends orders on new connections until the process has gone.
    result send_orders(int sender)
    {
        result counts;
        for (int i = 0; m_node.program().running(); ++i)
        {
            auto const id = "r-order-" + std::to_string(sender) + "-" + std::to_string(i);
            auto request = make_request("POST", "/order/work-30", id);
            request.headers.set("Deadline-Ms", "600");
            try
            {
                auto const response = call_node(m_node.ports().callers, request);
                auto const runs = m_shop_1.execution_count(id) + m_shop_2.execution_count(id);
                counts.answered += response.is_complete ? 1 : 0;
                counts.lost += !response.is_complete && runs > 0 ? 1 : 0;
                EXPECT_TRUE(response.status != 503 || runs == 0) << id;
            }
            catch (Poco::Exception const&)
            {
                // The process has closed its port.
                std::this_thread::sleep_for(milliseconds(5));
            }
        }
        return counts;
    }
};

TEST_P(node_shutdown_load_test, requests_sent_until_the_process_has_gone_are_answered_or_not_run)
{
    start_until_ready();
    std::future<caller_response> long_request;
    if (GetParam())
        long_request = send(make_request("POST", "/plan/hang", "r-silent"));
    shut_down();
    constexpr int sender_count = 6;
    std::vector<std::future<result>> senders;
    senders.reserve(sender_count);
    for (int sender = 0; sender < sender_count; ++sender)
        senders.push_back(
            std::async(std::launch::async, [this, sender] { return send_orders(sender); }));
    result total;
    for (auto& sender : senders)
    {
        auto const counts = sender.get();
        total.answered += counts.answered;
        total.lost += counts.lost;
    }
    EXPECT_GT(total.answered, 50);
    EXPECT_EQ(total.lost, 0);
}

INSTANTIATE_TEST_SUITE_P(with_and_without_a_long_request, node_shutdown_load_test,
                         testing::Values(false, true));

} // namespace
} // namespace jasminepier::tests
