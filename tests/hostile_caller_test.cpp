/// Runs a node beside callers outside the limits. The limits are low so that a small crowd exceeds
/// them. Checked is what doesn't depend on the speed of the machine.
#include "tests/support/caller_crowd.hpp"
#include "tests/support/node_fixture.hpp"

namespace jasminepier::tests
{
namespace
{

using std::chrono::seconds;

constexpr std::int64_t memory_mib = 64;
constexpr std::int64_t kib_per_mib = 1024;
constexpr std::uint64_t mib = std::uint64_t{1024} * 1024;
constexpr std::uint64_t maximum_body_bytes = 2 * mib;
constexpr int maximum_descriptors = 500;
// The platform reserves them for files.
constexpr int file_descriptors = 200;
constexpr int endless_callers = 8;
constexpr int crowd = 48;
constexpr int idle_crowd = 300;
// What callers without an end send before they stop by themselves.
constexpr std::uint64_t endless_bytes = 4 * memory_mib * mib / endless_callers;
constexpr std::uint64_t oversized_bytes = 4 * memory_mib * mib / crowd;
// All bytes of a body within the limit but the last few.
constexpr std::uint64_t short_of_end = 4096;

std::string const chunked_head = "POST /order/ok HTTP/1.1\r\nHost: shop.example\r\n"
                                 "Attempt-Id: r-hostile\r\nDeadline-Ms: 8000\r\n"
                                 "Authorization: Token key-1\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

/// A chunked body of `data` bytes without its end, in chunks of `chunk_bytes`.
hostile_message make_unfinished_body(std::uint64_t data, std::size_t chunk_bytes)
{
    hostile_message message{chunked_head, make_chunk(std::string(chunk_bytes, 'x')), 0};
    message.maximum_bytes = message.head.size() + data / chunk_bytes * message.repeated.size();
    return message;
}

class hostile_caller_test : public node_fixture
{
protected:
    void SetUp() override
    {
        node_fixture::SetUp();
        m_node.rewrite_settings("[limits]\nmemory_mb = " + std::to_string(memory_mib) +
                                "\nmax_fds = " + std::to_string(maximum_descriptors) + "\n");
        m_node.restart();
        auto configuration = make_configuration(1, "shop");
        configuration.insert(configuration.size() - 1, R"(,"limits":{"max_body_bytes":)" +
                                                           std::to_string(maximum_body_bytes) +
                                                           "}");
        m_store.put("config", "main", configuration);
        ASSERT_TRUE(wait_until([&] { return m_node.is_ready(); }, seconds(10)));
        ASSERT_TRUE(wait_until([&] { return is_served(); }, seconds(10)));
    }

    bool is_served()
    {
        try
        {
            return call("GET", "/check/ok").status == 200;
        }
        catch (std::exception const&)
        {
            return false;
        }
    }

    void expect_bounded_memory(int callers, hostile_message const& message,
                               std::int64_t bound_mib = memory_mib,
                               int descriptor_bound = maximum_descriptors - file_descriptors)
    {
        auto& program = m_node.program();
        std::size_t descriptors = 0;
        caller_crowd hostile(loopback_host, m_node.ports().callers, callers, message);
        hostile.send([&] { descriptors = std::max(descriptors, open_descriptors(program.id())); });
        EXPECT_TRUE(program.running());
        EXPECT_TRUE(wait_until([&] { return is_served(); }, seconds(30)));
        auto const memory = peak_memory_kib(program.id());
        std::cerr << "callers=" << callers << " sent_mib=" << hostile.sent_bytes() / mib
                  << " cut_off=" << hostile.cut_off() << " peak_kib=" << memory
                  << " descriptors=" << descriptors << '\n';
        EXPECT_TRUE(program.running());
        EXPECT_GT(memory, 0);
        EXPECT_LE(memory, bound_mib * kib_per_mib);
        EXPECT_LE(descriptors, static_cast<std::size_t>(descriptor_bound));
    }
};

// Each test guards against a process that exceeds its memory or its descriptors because of callers
// outside the limits, and against ordinary callers that go unanswered beside them.
TEST_F(hostile_caller_test, trailers_without_end)
{
    expect_bounded_memory(endless_callers,
                          {chunked_head + make_chunk("x") + "0\r\n",
                           "X-Trailer: abcdefghijklmnopqrstuvwxyz\r\n", endless_bytes});
}

TEST_F(hostile_caller_test, chunk_extension_without_end)
{
    expect_bounded_memory(endless_callers,
                          {chunked_head + "1", ";name=abcdefghijklmnopqrstuvwxyz", endless_bytes});
}

TEST_F(hostile_caller_test, unfinished_bodies_in_large_chunks)
{
    expect_bounded_memory(crowd,
                          make_unfinished_body(maximum_body_bytes - short_of_end, 65536 - 64));
}

TEST_F(hostile_caller_test, unfinished_bodies_in_very_small_chunks)
{
    expect_bounded_memory(crowd, make_unfinished_body(maximum_body_bytes - short_of_end, 8));
}

TEST_F(hostile_caller_test, unfinished_bodies_with_a_length)
{
    expect_bounded_memory(crowd, {"POST /order/ok HTTP/1.1\r\nHost: shop.example\r\n"
                                  "Attempt-Id: r-hostile\r\nContent-Length: " +
                                      std::to_string(maximum_body_bytes) + "\r\n\r\n",
                                  "x", maximum_body_bytes - short_of_end});
}

TEST_F(hostile_caller_test, announced_bodies_far_over_the_limit)
{
    expect_bounded_memory(crowd, {"POST /order/ok HTTP/1.1\r\nHost: shop.example\r\n"
                                  "Attempt-Id: r-hostile\r\nContent-Length: 1073741824\r\n\r\n",
                                  "x", oversized_bytes});
}

TEST_F(hostile_caller_test, chunked_bodies_far_over_the_limit)
{
    expect_bounded_memory(crowd, make_unfinished_body(oversized_bytes, 65536));
}

TEST_F(hostile_caller_test, idle_connections)
{
    expect_bounded_memory(idle_crowd, {"", "", 0});
}

TEST_F(hostile_caller_test, unfinished_heads)
{
    auto const head = "POST /order/ok HTTP/1.1\r\nHost: shop.example\r\nX-Long: ";
    expect_bounded_memory(idle_crowd, {head, "x", 60000});
}

// The parsed fields of a head occupy many times the bytes of their text.
TEST_F(hostile_caller_test, unfinished_requests_with_very_many_fields)
{
    constexpr std::int64_t larger_memory_mib = 88;
    constexpr int more_descriptors = 4100;
    constexpr int large_crowd = 650;
    m_node.rewrite_settings("[limits]\nmemory_mb = " + std::to_string(larger_memory_mib) +
                            "\nmax_fds = " + std::to_string(more_descriptors) + "\n");
    m_node.restart();
    ASSERT_TRUE(wait_until([&] { return m_node.is_ready(); }, seconds(10)));
    ASSERT_TRUE(wait_until([&] { return is_served(); }, seconds(10)));
    std::string head = "POST /order/ok HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 100\r\n";
    while (head.size() < 16000)
        head += "a:\r\n";
    head += "\r\n";
    expect_bounded_memory(large_crowd, {head, "", head.size()}, larger_memory_mib,
                          more_descriptors - file_descriptors);
}

// Beside bodies that stop behind a complete request, a proper request is answered in time.
TEST_F(hostile_caller_test, pipelined_bodies_that_stop)
{
    constexpr int callers = 12;
    constexpr seconds longest_answer{8};
    std::string const text = "GET /check/ok HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r-p\r\n"
                             "Authorization: Token key-1\r\n\r\n"
                             "POST /order/ok HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r-q\r\n"
                             "Authorization: Token key-1\r\nContent-Length: " +
                             std::to_string(maximum_body_bytes) + "\r\n\r\nxx";
    caller_crowd hostile(loopback_host, m_node.ports().callers, callers, {text, "", text.size()});
    using clock = std::chrono::steady_clock;
    auto const begin = clock::now();
    int status = 0;
    clock::duration elapsed{};
    hostile.send(
        [&]
        {
            if (status != 0 || clock::now() - begin < std::chrono::milliseconds(1500))
                return;
            auto request = make_request("POST", "/order/ok", "r-large");
            request.body.assign(200000, 'x');
            auto const start = clock::now();
            status = call_node(m_node.ports().callers, request).status;
            elapsed = clock::now() - start;
        });
    EXPECT_EQ(status, 200);
    EXPECT_LT(elapsed, longest_answer);
}

// Guards against limits that refuse a single request inside the stated limits.
TEST_F(hostile_caller_test, single_request_at_the_limit_is_served)
{
    auto request = make_request("POST", "/order/ok", "r-large");
    request.body.assign(maximum_body_bytes, 'x');
    EXPECT_EQ(call_node(m_node.ports().callers, request).status, 200);
    auto const chunk = make_chunk(std::string(65536, 'x'));
    std::string text = chunked_head;
    for (std::uint64_t sent = 0; sent < maximum_body_bytes; sent += 65536)
        text += chunk;
    Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(loopback_host, m_node.ports().callers));
    caller.setReceiveTimeout(Poco::Timespan(20, 0));
    send_all(caller, text + "0\r\n\r\n");
    std::string received(4096, '\0');
    auto const length = caller.receiveBytes(received.data(), static_cast<int>(received.size()));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received.substr(0, length);
}

TEST_F(hostile_caller_test, unread_responses)
{
    constexpr std::uint64_t requests = 32;
    std::string const request = "GET /check/large-900 HTTP/1.1\r\nHost: shop.example\r\n"
                                "Attempt-Id: r-unread\r\nAuthorization: Token key-1\r\n\r\n";
    expect_bounded_memory(crowd, {"", request, requests * request.size()});
}

} // namespace
} // namespace jasminepier::tests
