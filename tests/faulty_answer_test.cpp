/// Runs a node against servers whose answers are broken, never end, or end within their head.
#include "tests/support/concatenate.hpp"
#include "tests/support/node_fixture.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <future>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace jasminepier::tests
{
namespace
{

using std::chrono::seconds;

// The smallest VM of the platform.
constexpr long vm_memory_kilobytes = 88L * 1024;

/// Returns a response whose head has this status line and this field line. Its other fields and its
/// body are sound.
std::string make_raw_response(std::string const& status_line,
                              std::string const& field_line = "Name: value")
{
    return status_line + "\r\nAttempt-Id: {id}\r\nServer-Signature: signed\r\n" + field_line +
           "\r\nContent-Length: 4\r\n\r\nbody";
}

class faulty_answer_test : public node_fixture
{
protected:
    long peak_memory_kilobytes()
    {
        std::ifstream process_status("/proc/" + std::to_string(m_node.program().id()) + "/status");
        std::string field;
        long kilobytes = 0;
        while (process_status >> field)
            if (field == "VmHWM:")
                process_status >> kilobytes;
        return kilobytes;
    }

    std::vector<fake_server*> servers() { return {&m_shop_1, &m_shop_2, &m_engine_1, &m_engine_2}; }

    /// Checks that no caller gets the response, that it isn't taken for a refusal and that its
    /// connection isn't used again.
    void
    expect_not_forwarded(std::string const& response,
                         fake_server::raw_delivery delivery = fake_server::raw_delivery::at_once)
    {
        SCOPED_TRACE(response);
        for (auto* server : servers())
            server->set_raw_response(response, delivery);
        for (std::string const route : {"/check/", "/order/", "/plan/", "/question/"})
        {
            auto const received = call("POST", route + "raw");
            EXPECT_TRUE(received.is_complete) << route;
            EXPECT_EQ(received.status, 502) << route;
            EXPECT_EQ(received.headers.find("Server-Signature"), std::nullopt) << route;
            EXPECT_GE(run_count(), 1) << route;
            bool const runs_once = route == "/order/" || route == "/plan/";
            EXPECT_TRUE(!runs_once || run_count() == 1) << route << " ran " << run_count();
        }
        expect_sound_requests_served();
        for (auto* server : servers())
            EXPECT_EQ(count_reused_connections(*server), 0) << server->id();
    }

    void expect_sound_requests_served()
    {
        for (std::string const path :
             {"/check/ok", "/check/ok", "/order/ok", "/plan/stream-2", "/question/stream-2"})
        {
            auto const received = call("POST", path);
            EXPECT_EQ(received.status, 200) << path;
            EXPECT_TRUE(received.is_complete) << path;
        }
    }

    /// Returns how many requests followed a `raw` one on its connection.
    static int count_reused_connections(fake_server const& server)
    {
        std::set<int> used_connections;
        int count = 0;
        for (auto const& request : server.requests())
        {
            count += used_connections.contains(request.connection) ? 1 : 0;
            if (request.path.ends_with("/raw"))
                used_connections.insert(request.connection);
        }
        return count;
    }
};

// Guards against a server that fills the node's memory with a head, which ends the requests of
// other callers with the process.
TEST_F(faulty_answer_test, heads_without_end_are_cut_and_leave_memory_for_other_requests)
{
    start_until_ready();
    constexpr int call_count = 24;
    std::vector<std::future<caller_response>> endless_calls;
    endless_calls.reserve(call_count);
    char const* const paths[] = {"/check/", "/order/", "/plan/", "/question/"};
    for (int i = 0; i < call_count; ++i)
        endless_calls.push_back(std::async(
            std::launch::async,
            [this, i, &paths]
            {
                return call_node(m_node.ports().callers,
                                 make_request("POST", std::string(paths[i % 4]) + "endless-head",
                                              "endless-" + std::to_string(i)));
            }));
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
    for (auto& endless_call : endless_calls)
    {
        auto const response = endless_call.get();
        EXPECT_TRUE(response.is_complete);
        EXPECT_TRUE(response.status == 502 || response.status == 503) << response.status;
    }
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
    EXPECT_GT(peak_memory_kilobytes(), 0);
    EXPECT_LT(peak_memory_kilobytes(), vm_memory_kilobytes);
}

// Guards against a success with an empty body for callers whose server ended within the head.
TEST_F(faulty_answer_test, head_that_ends_early_is_no_success)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    for (auto const* path : {"/check/", "/order/", "/plan/", "/question/"})
    {
        auto const response = call("POST", std::string(path) + "short-head");
        EXPECT_EQ(response.status, 502) << path;
        EXPECT_TRUE(response.is_complete) << path;
    }
    EXPECT_EQ(call("GET", "/open/ok").status, 200);
}

// Guards against forwarding a status that the protocol doesn't have.
TEST_F(faulty_answer_test, status_outside_the_protocol_is_not_forwarded)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    for (std::string const status : {"000", "099", "600", "999"})
        expect_not_forwarded(make_raw_response("HTTP/1.1 " + status + " Status"));
}

// Guards against forwarding status 000 in another form than that of a whole response with a length.
TEST_F(faulty_answer_test, status_000_is_not_forwarded_in_any_form)
{
    using enum fake_server::raw_delivery;
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    std::string const fields = "Attempt-Id: {id}\r\nServer-Signature: signed\r\n";
    auto const body = make_events(1, 2);
    auto const length = concatenate({"Content-Length: ", std::to_string(body.size()), "\r\n"});
    auto const chunks = concatenate({"\r\n26\r\n", body, "\r\n0\r\n\r\n"});
    ASSERT_EQ(body.size(), 0x26U);
    for (std::string const status_line :
         {"HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 00 OK",
          "HTTP/1.1 0000 OK", "HTTP/1.1  000 OK", "HTTP/1.1 +00 OK", "HTTP/1.1  OK",
          "HTTP/2 000 OK", "HTTP/0.9 000 OK", "000 OK", "Status: 000"})
        expect_not_forwarded(concatenate({status_line, "\r\n", fields, length, "\r\n", body}));
    auto const begin = "HTTP/1.1 000 OK\r\n" + fields;
    std::string const interim = "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n";
    std::string const type = "Content-Type: text/event-stream\r\n";
    for (std::string const& response :
         {concatenate({begin, type, length, "\r\n", body}),
          concatenate({begin, type, "Transfer-Encoding: chunked\r\n", chunks}),
          concatenate({begin, type, "\r\n", body}),
          concatenate({begin, "Content-Length: 0\r\n\r\n"}),
          concatenate(
              {begin, "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n", length, "\r\n", body}),
          concatenate({begin, "Connection: close\r\n", length, "\r\n", body}),
          concatenate({begin, "Content-Length: 1000\r\n\r\n", body}),
          concatenate({begin, "Not-Executed: 1\r\n", length, "\r\n", body}),
          concatenate({"HTTP/1.1 000 OK\r\n", length, "\r\n", body}),
          concatenate({interim, interim, begin, length, "\r\n", body}),
          concatenate({"\r\n", begin, length, "\r\n", body}),
          concatenate({begin, length, "\r\n", body, make_raw_response("HTTP/1.1 200 OK")}),
          make_raw_response("HTTP/1.1 000 Continue") + make_raw_response("HTTP/1.1 200 OK")})
        for (auto const delivery : {at_once, byte_by_byte, then_closed, then_reset})
            expect_not_forwarded(response, delivery);
}

// Guards against status 000 in the place of a retry or of the rest of a stream.
TEST_F(faulty_answer_test, status_000_of_a_second_server_is_not_forwarded)
{
    using enum fake_server::raw_delivery;
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    auto const event = make_events(1, 1);
    m_engine_1.set_raw_response(
        concatenate({"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed\r\n",
                     "Transfer-Encoding: chunked\r\n\r\n13\r\n", event, "\r\n"}),
        then_closed);
    ASSERT_EQ(event.size(), 0x13U);
    m_engine_2.set_raw_response(make_raw_response("HTTP/1.1 000 OK"));
    m_shop_1.set_raw_response(make_raw_response("HTTP/1.1 500 Error"));
    m_shop_2.set_raw_response(make_raw_response("HTTP/1.1 000 OK"));
    for (int i = 0; i < 8; ++i)
    {
        auto const stream = call("POST", "/question/raw");
        EXPECT_EQ(stream.status, 200);
        EXPECT_EQ(stream.body, event);
        EXPECT_FALSE(stream.is_complete);
        auto const plain = call("POST", "/check/raw");
        EXPECT_EQ(plain.status, 500);
        EXPECT_EQ(plain.body, "body");
    }
    EXPECT_FALSE(m_engine_2.requests().empty());
    EXPECT_FALSE(m_shop_2.requests().empty());
}

// Guards against taking what follows a response for the response to the next request, or for a part
// of the body.
TEST_F(faulty_answer_test, status_000_behind_a_response_is_not_forwarded)
{
    using enum fake_server::raw_delivery;
    start_until_ready();
    std::string const head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed\r\n";
    auto const body = make_events(1, 2);
    auto const length = concatenate({"Content-Length: ", std::to_string(body.size()), "\r\n\r\n"});
    for (auto const& response :
         {concatenate({head, length, body}),
          concatenate({head, "Transfer-Encoding: chunked\r\n\r\n26\r\n", body, "\r\n0\r\n\r\n"})})
        for (auto const delivery : {at_once, byte_by_byte, then_closed, then_reset})
        {
            SCOPED_TRACE(response);
            for (auto* server : servers())
                server->set_raw_response(response + make_raw_response("HTTP/1.1 000 OK"), delivery);
            for (std::string const path :
                 {"/check/raw", "/check/raw", "/order/raw", "/plan/raw", "/question/raw"})
            {
                auto const received = call("POST", path);
                EXPECT_EQ(received.status, 200) << path;
                EXPECT_EQ(received.body, body) << path;
                EXPECT_TRUE(received.is_complete) << path;
            }
            expect_sound_requests_served();
        }
}

// Guards against forwarding a line whose name holds a blank or a control byte, and a body that such
// a line frames otherwise.
TEST_F(faulty_answer_test, broken_field_line_is_not_forwarded)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    for (std::string const line : {"Na me: v", "Name : v", " Name: v", "Na\x01me: v", "Name\t: v",
                                   "Content-Length : 2", " Transfer-Encoding: chunked"})
        expect_not_forwarded(make_raw_response("HTTP/1.1 200 OK", line));
}

// Guards against forwarding a body without its coding.
TEST_F(faulty_answer_test, unknown_transfer_coding_is_not_forwarded)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    for (std::string const coding : {"gzip", "chunked, chunked", "chunked, identity"})
        expect_not_forwarded(make_raw_response("HTTP/1.1 200 OK", "Transfer-Encoding: " + coding));
}

// Guards against an error of this node's own, after which no other server is tried.
TEST_F(faulty_answer_test, length_that_no_memory_holds_is_a_failure_of_the_server)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    expect_not_forwarded("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed\r\n"
                         "Content-Length: 1000000000000000000\r\n\r\nbody");
}

// Guards against taking bytes of another protocol, or a broken head, for the beginning of a
// response.
TEST_F(faulty_answer_test, broken_head_before_the_response_is_not_skipped)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    auto const response = make_raw_response("HTTP/1.1 200 OK");
    for (std::string const head :
         {"HTTP/1.1 101 Switching Protocols\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nNa me: v\r\n\r\n", "HTTP/1.1 099 Status\r\n\r\n"})
        expect_not_forwarded(head + response);
    for (auto* server : servers())
        server->set_raw_response("HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" + response);
    for (std::string const path : {"/check/raw", "/order/raw"})
    {
        auto const received = call("POST", path);
        EXPECT_EQ(received.status, 200) << path;
        EXPECT_EQ(received.body, "body") << path;
    }
}

// Guards against rejecting unusual responses that the protocol allows.
TEST_F(faulty_answer_test, responses_that_the_protocol_allows_are_forwarded)
{
    start_until_ready();
    std::string const fields = "attempt-id:{id}\r\nSERVER-SIGNATURE: \t signed \t\r\n";
    for (std::string const& response :
         {"HTTP/1.1 200 \r\n" + fields + "Content-Length: 4\r\n\r\nbody",
          "HTTP/1.1 299 Caf\xe9 \t!\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
          "HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\n" + fields +
              "!#$%&'*+-.^_`|~: \xff\r\nEmpty:\r\n"
              "Content-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\n" + fields +
              "Transfer-Encoding: Chunked\r\n\r\n"
              "002;a=b\r\nbo\r\n2;c=\"d\"\r\ndy\r\n0\r\nName: v\r\n\r\n",
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"
          "HTTP/1.1 200 OK\r\n" +
              fields + "Content-Length: 4\r\n\r\nbody"})
    {
        for (auto* server : servers())
            server->set_raw_response(response);
        for (std::string const path : {"/check/raw", "/order/raw"})
        {
            auto const received = call("POST", path);
            EXPECT_EQ(received.status / 100, 2) << response;
            EXPECT_EQ(received.body, "body") << response;
            EXPECT_EQ(received.headers.find("Server-Signature"), "signed") << response;
        }
    }
}

// Guards against a stream that looks complete although bytes behind its events are broken.
TEST_F(faulty_answer_test, stream_with_broken_chunks_is_not_terminated_as_complete)
{
    start_until_ready();
    std::string const event = make_events(1, 1);
    std::string const begin =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        "13\r\n" +
        event + "\r\n";
    ASSERT_EQ(event.size(), 0x13U);
    for (std::string const rest : {"x\r\n", "-1\r\n", "1\r\nab\r\n0\r\n\r\n",
                                   "0\r\nNa me: v\r\n\r\n", "0\r\nName: v\x01\r\n\r\n"})
    {
        m_engine_1.set_raw_response(begin + rest);
        auto const received = call("POST", "/plan/raw");
        EXPECT_EQ(received.status, 200) << rest;
        EXPECT_EQ(received.body, event) << rest;
        EXPECT_FALSE(received.is_complete) << rest;
        EXPECT_EQ(run_count(), 1) << rest;
    }
    m_engine_1.set_raw_response(begin + "0\r\nName: v\r\n\r\n");
    EXPECT_TRUE(call("POST", "/plan/raw").is_complete);
}

// Guards against forwarding another response for an event of the stream that it interrupts, and
// against taking the event that the server had begun for a whole one.
TEST_F(faulty_answer_test, response_within_a_stream_is_not_forwarded)
{
    m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
    start_until_ready();
    auto const event = make_events(1, 1);
    auto const response = make_raw_response("HTTP/1.1 000 Status");
    for (std::string const framing : {"", "Content-Length: 1000\r\n"})
        for (std::string const partial_event : {"", "id: 2\n", "id: 2\nda"})
        {
            SCOPED_TRACE(framing + partial_event);
            for (auto* engine : {&m_engine_1, &m_engine_2})
                engine->set_raw_response(concatenate(
                    {"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed\r\n",
                     "Content-Type: text/event-stream\r\n", framing, "\r\n", event, partial_event,
                     response}));
            auto const cut = call("POST", "/plan/raw");
            EXPECT_EQ(cut.status, 200);
            EXPECT_EQ(cut.body, event);
            EXPECT_FALSE(cut.is_complete);
            EXPECT_EQ(run_count(), 1);
            auto const resumed = call("POST", "/question/raw-3");
            EXPECT_EQ(resumed.status, 200);
            EXPECT_EQ(resumed.body, make_events(1, 3));
            EXPECT_TRUE(resumed.is_complete);
        }
    EXPECT_NE(m_node.program().output().find("reason=interrupted"), std::string::npos);
    expect_sound_requests_served();
}

// Guards against bytes behind a response that has no body. The caller would take them for the
// beginning of the next response.
TEST_F(faulty_answer_test, response_without_a_body_is_followed_by_nothing)
{
    start_until_ready();
    auto const call_raw = [this](std::string const& method, std::string const& path)
    {
        auto request = make_request(method, path, "raw-" + std::to_string(++m_request_count));
        request.headers.add("Connection", "close");
        Poco::Net::StreamSocket socket(
            Poco::Net::SocketAddress(loopback_host, m_node.ports().callers));
        socket.setReceiveTimeout(Poco::Timespan(10, 0));
        send_all(socket, http::write_request(request));
        std::string received;
        std::array<char, 4096> bytes{};
        for (int count = 0; (count = socket.receiveBytes(bytes.data(), bytes.size())) > 0;)
            received.append(bytes.data(), static_cast<std::size_t>(count));
        return received;
    };
    std::string const fields = "Attempt-Id: {id}\r\nServer-Signature: signed\r\n";
    struct no_body
    {
        std::string method;
        std::string response;
    };
    for (auto const& [method, response] :
         {no_body{"POST", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n"},
          no_body{"HEAD", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\n"},
          no_body{"HEAD", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"}})
        for (std::string const route : {"/check/", "/order/", "/plan/", "/question/"})
        {
            for (auto* server : servers())
                server->set_raw_response(response);
            auto const received = call_raw(method, route + "raw");
            auto const head_end = received.find("\r\n\r\n");
            ASSERT_NE(head_end, std::string::npos) << method << ' ' << route;
            EXPECT_EQ(received.substr(head_end + 4), "") << received;
            EXPECT_EQ(received.substr(0, 10), response.substr(0, 10)) << route << received;
        }
}

// Guards against a false "not run", and against believing fields that follow the body.
TEST_F(faulty_answer_test, fields_behind_the_body_say_nothing_about_the_request)
{
    start_until_ready();
    auto const make_response = [](std::string const& signature, std::string const& trailer)
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n" + signature +
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n\r\n";
    };
    std::string const signature = "Server-Signature: signed\r\n";
    for (std::string const trailer : {"Not-Executed: 1", "Content-Encoding: gzip",
                                      "Server-Leaving: 1", "Server-Limit: 0", "Name: value"})
    {
        for (auto* server : servers())
            server->set_raw_response(make_response(signature, trailer));
        for (std::string const path : {"/check/raw", "/order/raw"})
        {
            auto const received = call("POST", path);
            EXPECT_EQ(received.status, 200) << path << ' ' << trailer;
            EXPECT_EQ(received.body, "body") << path << ' ' << trailer;
            EXPECT_EQ(run_count(), 1) << path << ' ' << trailer;
            EXPECT_EQ(received.headers.find(trailer.substr(0, trailer.find(':'))), std::nullopt);
        }
    }
    for (auto* server : servers())
        server->set_raw_response(make_response("", "Server-Signature: signed"));
    EXPECT_EQ(call("POST", "/order/raw").status, 502);
    expect_sound_requests_served();
}

// Guards against failing an idempotent request that another server can serve.
TEST_F(faulty_answer_test, idempotent_request_is_retried_after_a_broken_answer)
{
    start_until_ready();
    m_shop_1.set_raw_response(make_raw_response("HTTP/1.1 000 Status"));
    m_shop_2.set_raw_response(make_raw_response("HTTP/1.1 200 OK"));
    for (int i = 0; i < 8; ++i)
    {
        auto const received = call("POST", "/check/raw");
        EXPECT_EQ(received.status, 200);
        EXPECT_EQ(received.body, "body");
    }
    EXPECT_FALSE(m_shop_1.requests().empty());
}

// Guards against taking an engine for a leaving one because of a broken report.
TEST_F(faulty_answer_test, broken_report_is_not_believed)
{
    start_until_ready();
    std::string const rest = " Status\r\nContent-Length: 20\r\n\r\n{\"state\":\"draining\"}";
    // Without the store, the node asks the engines that it uses.
    m_store.set_mode(store_mode::unavailable);
    for (std::string const status : {"404", "500", "000"})
    {
        m_engine_1.set_raw_report(concatenate({"HTTP/1.1 ", status, rest}));
        EXPECT_EQ(call("POST", "/plan/stream-200").status, 200) << status;
        EXPECT_EQ(call("POST", "/plan/stream-1").status, 200) << status;
        EXPECT_EQ(m_node.program().output().find("server_says_leaving"), std::string::npos)
            << status;
    }
    m_engine_1.set_raw_report("HTTP/1.1 200" + rest);
    EXPECT_EQ(call("POST", "/plan/stream-300").status, 200);
    EXPECT_NE(m_node.program().output().find("server_says_leaving"), std::string::npos);
}

} // namespace
} // namespace jasminepier::tests
