/// The servers that run in the process of a test.
#include "tests/support/connection_server.hpp"
#include "tests/support/port_reservation.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;

// Guards against checks that blame a node for a request that a fake server on a loaded host has
// read late.
TEST(connection_server, knows_when_bytes_arrived_that_are_read_late)
{
    auto const port = reserve_ports();
    std::atomic<milliseconds> elapsed{milliseconds(-1)};
    {
        connection_server const server(port,
                                       [&](Poco::Net::StreamSocket& socket)
                                       {
                                           std::this_thread::sleep_for(milliseconds(300));
                                           read_request(socket);
                                           elapsed = time_since_last_data(socket);
                                       });
        Poco::Net::StreamSocket client(Poco::Net::SocketAddress(loopback_host, port));
        send_all(client, "GET / HTTP/1.1\r\nHost: server\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(600));
    }
    EXPECT_GE(elapsed.load(), milliseconds(250));
    EXPECT_LE(elapsed.load(), milliseconds(2000));
}

} // namespace
} // namespace jasminepier::tests
