/// The RPC client against a peer that sends bytes without end.
#include "inner_protocol/rpc.hpp"
#include "tests/support/connection_server.hpp"
#include "tests/support/port_reservation.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;

std::uint16_t peer_port()
{
    static auto const port = reserve_ports();
    return port;
}

constexpr milliseconds call_timeout{400};
// The peer gives up then, so that a client without a limit fails the test instead of hanging.
constexpr milliseconds maximum_response_time{3000};

/// Returns how long a call took to fail whose response begins with `frame_header` and continues
/// with a byte every 20 ms.
milliseconds time_until_failure(std::string const& frame_header)
{
    connection_server const peer(
        peer_port(),
        [&](Poco::Net::StreamSocket& socket)
        {
            std::array<char, 4096> bytes{};
            socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            send_all(socket, frame_header);
            auto const end = std::chrono::steady_clock::now() + maximum_response_time;
            while (std::chrono::steady_clock::now() < end && !peer_has_closed(socket))
            {
                send_all(socket, "x");
                std::this_thread::sleep_for(milliseconds(20));
            }
        });
    inner_protocol::rpc_client<inner_protocol::control_nodeClient> client(
        loopback_host, peer_port(), call_timeout);
    auto const start = std::chrono::steady_clock::now();
    auto const response = client.call(
        [](inner_protocol::control_nodeClient& control)
        {
            inner_protocol::node_status_reply reply;
            control.node_status(reply);
            return reply;
        });
    EXPECT_FALSE(response);
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
}

// The thread that pulls objects from peers would never ask another one.
TEST(rpc_client, response_that_trickles_ends_the_call)
{
    EXPECT_LT(time_until_failure({"\0\0\x10\0", 4}), 2 * call_timeout);
}

// The length of a message is read before its bytes, which would occupy the memory of a node.
TEST(rpc_client, message_above_the_limit_ends_the_call_at_once)
{
    EXPECT_LT(time_until_failure({"\x01\0\0\x01", 4}), call_timeout);
}

} // namespace
} // namespace jasminepier::tests
