/// The store's client against a store that sends bytes of no use for as long as it is read.
#include "platform/store_dialect.hpp"
#include "store/http_object_store.hpp"
#include "tests/support/connection_server.hpp"
#include "tests/support/port_reservation.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;

std::uint16_t store_port()
{
    static auto const port = reserve_ports();
    return port;
}

constexpr milliseconds call_timeout{400};
// The fake store gives up then, so that a client without limits fails a test instead of hanging.
constexpr milliseconds maximum_response_time{4000};
constexpr std::size_t maximum_sent_bytes = std::size_t{256} * 1024 * 1024;

/// Accepts each connection and sends `first_part` once and `repeated_part` at intervals of `pause`
/// until the client closes the connection.
class endless_store
{
public:
    endless_store(std::string first_part, std::string repeated_part, milliseconds pause)
        : m_first_part(std::move(first_part)), m_repeated_part(std::move(repeated_part)),
          m_pause(pause), m_server(store_port(), [this](auto& socket) { serve(socket); })
    {
    }

    std::size_t sent_bytes() const noexcept { return m_sent_bytes; }
    int connections() const noexcept { return m_connections; }

private:
    void serve(Poco::Net::StreamSocket& socket)
    {
        ++m_connections;
        if (!read_request(socket))
            return;
        auto const end = std::chrono::steady_clock::now() + maximum_response_time;
        send_all(socket, m_first_part);
        while (std::chrono::steady_clock::now() < end && m_sent_bytes < maximum_sent_bytes)
        {
            send_all(socket, m_repeated_part);
            m_sent_bytes += m_repeated_part.size();
            std::this_thread::sleep_for(m_pause);
        }
    }

    std::string m_first_part;
    std::string m_repeated_part;
    milliseconds m_pause;
    std::atomic<std::size_t> m_sent_bytes = 0;
    std::atomic<int> m_connections = 0;
    connection_server m_server;
};

store::http_object_store_settings make_settings()
{
    store::http_object_store_settings settings;
    settings.host = loopback_host;
    settings.port = store_port();
    settings.call_timeout = call_timeout;
    settings.watch_margin = call_timeout;
    return settings;
}

/// Returns how long the call took until it failed. A call that succeeds fails the test.
template <class Call>
milliseconds time_until_failure(Call&& call)
{
    auto const start = std::chrono::steady_clock::now();
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_CHECK(call());
            ADD_FAILURE() << "the call succeeded";
            return {};
        },
        [](base::error const& failure)
        { EXPECT_EQ(failure.kind, base::error_kind::platform_unavailable); });
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
}

// A watch whose response never ends would hide all later changes from the node.
TEST(store_connection, response_that_trickles_ends_the_call)
{
    endless_store const store("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{", " ",
                              milliseconds(20));
    store::http_object_store client(make_settings());
    EXPECT_LT(time_until_failure([&] { return client.list("config"); }), 3 * call_timeout);
    EXPECT_LT(time_until_failure([&] { return client.watch(1, {"config"}, call_timeout); }),
              4 * call_timeout);
}

// Header fields and informational responses arrive one after the other, each of them in time.
TEST(store_connection, head_that_trickles_ends_the_call)
{
    for (auto const* const part : {"a: b\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"})
    {
        endless_store const store(part[0] == 'a' ? "HTTP/1.1 200 OK\r\n" : "", part,
                                  milliseconds(20));
        store::http_object_store client(make_settings());
        EXPECT_LT(time_until_failure([&] { return client.list("config"); }), 3 * call_timeout)
            << part;
    }
}

// A body without end would fill the node's memory.
TEST(store_connection, body_without_end_is_cut)
{
    endless_store const store("HTTP/1.1 200 OK\r\n\r\n", std::string(65536, ' '), milliseconds(0));
    store::http_object_store client(make_settings());
    time_until_failure([&] { return client.list("config"); });
    // The difference is what the sockets buffer.
    EXPECT_LT(store.sent_bytes(), store::maximum_response_bytes + std::size_t{16} * 1024 * 1024);
}

// A page that names the same continuation again would be read for ever.
TEST(store_connection, list_without_end_is_cut)
{
    std::string const page =
        R"({"at":5,"has_more":true,"items":[{"metadata":{"name":"a","revision":1},"spec":{}}]})";
    endless_store const store("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(page.size()) +
                                  "\r\n\r\n" + page,
                              " ", milliseconds(100));
    store::basic_http_object_store<platform::store_dialect> client(make_settings());
    EXPECT_LT(time_until_failure([&] { return client.list("config"); }), 3 * call_timeout);
    EXPECT_LE(store.connections(), 3);
}

// A large object may take longer than the call's timeout on a slow link, but not without end.
TEST(store_connection, large_response_over_a_slow_link_is_read_whole)
{
    std::string const head = R"({"version":5,"items":[],"padding":")";
    constexpr std::size_t part_bytes = 16384;
    constexpr std::size_t parts = 60;
    auto const length = head.size() + parts * part_bytes + 2;
    connection_server const store(
        store_port(),
        [&](Poco::Net::StreamSocket& socket)
        {
            if (!read_request(socket))
                return;
            send_all(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
                                 "\r\n\r\n" + head);
            for (std::size_t i = 0; i < parts; ++i)
            {
                send_all(socket, std::string(part_bytes, 'x'));
                std::this_thread::sleep_for(milliseconds(15));
            }
            send_all(socket, "\"}");
        });
    store::http_object_store client(make_settings());
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(page, client.list("config"));
            EXPECT_EQ(page.version, 5);
            return {};
        },
        [](base::error const& failure) { ADD_FAILURE() << failure.message; });
}

} // namespace
} // namespace jasminepier::tests
