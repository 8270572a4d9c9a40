/// Both clients for servers' responses, against a server that sends raw bytes.
#include "backend/http_exchange.hpp"
#include "http/client_exchange.hpp"
#include "http/wait_set.hpp"
#include "tests/support/concatenate.hpp"
#include "tests/support/connection_server.hpp"
#include "tests/support/port_reservation.hpp"

#include <gtest/gtest.h>

#include <array>
#include <thread>

namespace jasminepier::tests
{
namespace
{

std::uint16_t server_port()
{
    static auto const port = reserve_ports();
    return port;
}

/// How the server ends its side of the connection.
enum class connection_end
{
    closed,
    reset,
};

struct server_script
{
    std::string response;
    connection_end end = connection_end::closed;
    /// Responds after the request's head and leaves the body unread.
    bool leaves_body_unread = false;
    /// Sent after the response, again and again, until the client closes the connection.
    std::string repeated = {};
};

struct received_response
{
    bool is_complete = false;
    int status = 0;
    std::string body;
    bool connection_is_reusable = false;
};

void serve(Poco::Net::StreamSocket& socket, server_script const& script)
{
    std::array<char, 4096> bytes{};
    if (script.leaves_body_unread)
        socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    else if (!read_request(socket))
        return;
    send_all(socket, script.response);
    while (!script.repeated.empty())
        send_all(socket, script.repeated);
    // The client reads the response before it learns how the connection ends.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    if (script.end == connection_end::reset)
        socket.setLinger(true, 0);
}

/// The client of jasminepier-node, used like for plain responses: the body is taken at the end.
struct event_driven_client
{
    static received_response call(std::string const& method, std::string const& body)
    {
        http::request request{method, "/", {}, body};
        request.headers.add("Host", "server");
        base::steady_clock_source const clock;
        http::client_exchange exchange(std::string(loopback_host) + ":" +
                                           std::to_string(server_port()),
                                       http::write_request(request), method != "HEAD", clock.now());
        http::wait_set poll_set;
        received_response received;
        auto const deadline = clock.now() + std::chrono::seconds(5);
        while (!exchange.ended() && clock.now() < deadline)
        {
            poll_set.clear();
            poll_set.add(exchange.descriptor(), exchange.poll_events());
            poll_set.wait(deadline);
            exchange.advance(poll_set.ready(0));
        }
        received.body = exchange.take_body();
        received.is_complete = exchange.complete();
        received.status = exchange.head().status;
        received.connection_is_reusable = exchange.release_connection().has_value();
        return received;
    }
};

/// The client of jasminepier-entry, which never reuses a connection.
struct blocking_client
{
    static received_response call(std::string const& method, std::string const& body)
    {
        return base::handle(
            [&]() -> base::result<received_response>
            {
                BOOST_LEAF_AUTO(response,
                                backend::call_backend({loopback_host, server_port()},
                                                      {method, "/", {}, body},
                                                      {.receive = std::chrono::seconds(5)}));
                return received_response{true, response.status, response.body, false};
            },
            [](base::error const&) { return received_response{}; });
    }
};

template <class Client>
class server_exchange : public testing::Test
{
protected:
    static received_response call(server_script const& script, std::string const& method = "GET",
                                  std::string const& body = "")
    {
        connection_server const server(server_port(), [&](Poco::Net::StreamSocket& socket)
                                       { serve(socket, script); });
        return Client::call(method, body);
    }
};

using clients = testing::Types<event_driven_client, blocking_client>;
TYPED_TEST_SUITE(server_exchange, clients);

std::string const unframed_head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n\r\n";

// Guards against rejecting or changing a response that ends with its connection, and against
// reusing that connection.
TYPED_TEST(server_exchange, response_may_end_with_its_connection)
{
    for (std::string const& body : {std::string("whole"), std::string(), std::string(100000, 'b')})
    {
        auto const response = this->call({unframed_head + body});
        EXPECT_TRUE(response.is_complete);
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, body);
        EXPECT_FALSE(response.connection_is_reusable);
    }
}

// Guards against delivering a response without a length that was reset on the way.
TYPED_TEST(server_exchange, reset_response_without_length_is_incomplete)
{
    EXPECT_FALSE(this->call({unframed_head + "part", connection_end::reset}).is_complete);
    EXPECT_FALSE(this->call({unframed_head, connection_end::reset}).is_complete);
}

// Guards against taking a reset for an orderly end when the failure is first seen by a send.
TYPED_TEST(server_exchange, response_reset_while_the_request_is_sent_is_incomplete)
{
    std::string const body(std::size_t{64} * 1024 * 1024, 'b');
    auto const response =
        this->call({unframed_head + "part", connection_end::reset, true}, "POST", body);
    EXPECT_FALSE(response.is_complete);
}

// Guards against delivering a truncated response as complete.
TYPED_TEST(server_exchange, truncated_response_is_incomplete)
{
    EXPECT_FALSE(this->call({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}).is_complete);
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart";
    for (auto const* rest : {"", "\r\n", "\r\n5", "\r\n5\r\nre", "\r\n0\r\n"})
        EXPECT_FALSE(this->call({chunked + rest}).is_complete) << rest;
    EXPECT_TRUE(this->call({chunked + "\r\n0\r\n\r\n"}).is_complete);
}

// Guards against delivering an empty response because its server closed the connection within the
// head.
TYPED_TEST(server_exchange, truncated_head_is_incomplete)
{
    std::string const head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n";
    auto const without_length = head.find("Content-Length");
    for (auto const length : {std::size_t{0}, std::size_t{9}, std::size_t{17}, without_length,
                              head.size() - 2, head.size() - 1})
        for (auto const* method : {"GET", "HEAD"})
        {
            auto const response = this->call({head.substr(0, length)}, method);
            EXPECT_FALSE(response.is_complete) << length;
            EXPECT_FALSE(response.connection_is_reusable) << length;
        }
    EXPECT_TRUE(this->call({head}).is_complete);
}

// Guards against delivering a response whose status the protocol doesn't have.
TYPED_TEST(server_exchange, response_with_a_status_outside_the_protocol_is_malformed)
{
    std::string const rest = " Status\r\nContent-Length: 5\r\n\r\nwhole";
    for (std::string const status : {"000", "099", "600", "999"})
    {
        auto const response = this->call({concatenate({"HTTP/1.1 ", status, rest})});
        EXPECT_FALSE(response.is_complete) << status;
        EXPECT_FALSE(response.connection_is_reusable) << status;
    }
    for (std::string const status : {"200", "299", "599"})
        EXPECT_TRUE(this->call({concatenate({"HTTP/1.1 ", status, rest})}).is_complete) << status;
}

// Guards against delivering a response with a broken line in its head, or a body that such a line
// frames otherwise.
TYPED_TEST(server_exchange, response_with_a_broken_field_line_is_malformed)
{
    for (std::string const line : {"Na me: v", "Name : v", "Na\x01me: v", "Name: v\r\n Name: v",
                                   "Name: v\r\n Transfer-Encoding: chunked"})
    {
        auto const response =
            this->call({"HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"});
        EXPECT_FALSE(response.is_complete) << line;
        EXPECT_FALSE(response.connection_is_reusable) << line;
    }
}

// Guards against a client that reads until its memory is full.
TYPED_TEST(server_exchange, responses_without_end_are_given_up)
{
    std::string const line(4096, 'x');
    for (std::string const prefix :
         {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nName: ", "HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000000\r\n"})
        for (auto const& repeated : {line, "Name: " + line + "\r\n"})
        {
            auto const begin = std::chrono::steady_clock::now();
            auto const response = this->call({prefix, connection_end::closed, false, repeated});
            EXPECT_FALSE(response.is_complete) << prefix;
            EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(4)) << prefix;
        }
}

// Guards against waiting for the body of a response that has none.
TYPED_TEST(server_exchange, response_without_a_body_ends_with_its_head)
{
    auto const head = this->call({unframed_head, connection_end::reset}, "HEAD");
    EXPECT_TRUE(head.is_complete);
    EXPECT_EQ(head.body, "");
    for (std::string const status : {"204 No Content", "304 Not Modified"})
        EXPECT_TRUE(
            this->call({"HTTP/1.1 " + status + "\r\n\r\n", connection_end::reset}).is_complete);
}

} // namespace
} // namespace jasminepier::tests
