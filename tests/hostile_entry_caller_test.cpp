/// Runs an entry process beside callers outside the limits. Checked is what doesn't depend on the
/// speed of the machine.
#include "tests/support/caller_crowd.hpp"
#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>

namespace jasminepier::tests
{
namespace
{

using std::chrono::seconds;

constexpr std::uint16_t entry_port = entry_port_base + 1;
constexpr std::int64_t memory_mib = 64;
constexpr std::int64_t kib_per_mib = 1024;
constexpr std::uint64_t mib = std::uint64_t{1024} * 1024;
// The limit of jasminepier-entry, which no setting changes.
constexpr std::uint64_t maximum_body_bytes = 4 * mib;
constexpr std::size_t maximum_descriptors = 300;
constexpr int endless_callers = 8;
constexpr int crowd = 24;
constexpr int idle_crowd = 320;
constexpr std::uint64_t endless_bytes = 4 * memory_mib * mib / endless_callers;
constexpr std::uint64_t oversized_bytes = 8 * memory_mib * mib / crowd;
constexpr std::uint64_t short_of_end = 4096;

std::string const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
                         "Authorization: Bearer demo-key\r\n";
std::string const chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";

hostile_message make_unfinished_body(std::uint64_t data, std::size_t chunk_bytes)
{
    hostile_message message{chunked_head, make_chunk(std::string(chunk_bytes, ' ')), 0};
    message.maximum_bytes = message.head.size() + data / chunk_bytes * message.repeated.size();
    return message;
}

/// Sets a setting of the processes that are started during its lifetime.
class scoped_setting
{
public:
    scoped_setting(char const* name, std::string const& value) : m_name(name)
    {
        ::setenv(m_name, value.c_str(), 1);
    }
    scoped_setting(scoped_setting const&) = delete;
    scoped_setting& operator=(scoped_setting const&) = delete;
    ~scoped_setting() { ::unsetenv(m_name); }

private:
    char const* m_name;
};

void expect_bounded_memory(std::string const& host, int callers, hostile_message const& message,
                           std::int64_t bound_mib = memory_mib,
                           std::size_t descriptor_bound = maximum_descriptors)
{
    scoped_setting const memory("JASMINEPIER_MEMORY_MIB", std::to_string(bound_mib));
    scoped_setting const descriptor_limit("JASMINEPIER_MAXIMUM_DESCRIPTORS",
                                          std::to_string(descriptor_bound));
    deployment test_deployment(host);
    test_deployment.start_node(1);
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    auto const is_served = [&]
    {
        return test_deployment
                   .call(entry_port, "GET", "/v1/models", "",
                         {{"Authorization", "Bearer demo-key"}})
                   .status == 200;
    };
    ASSERT_TRUE(wait_until(is_served));
    auto& program = test_deployment.program("entry-1");
    std::size_t descriptors = 0;
    caller_crowd hostile(host, entry_port, callers, message);
    hostile.send([&] { descriptors = std::max(descriptors, open_descriptors(program.id())); });
    EXPECT_TRUE(program.running());
    EXPECT_TRUE(wait_until(is_served, seconds(60)));
    auto const peak = peak_memory_kib(program.id());
    std::cerr << "callers=" << callers << " sent_mib=" << hostile.sent_bytes() / mib
              << " cut_off=" << hostile.cut_off() << " peak_kib=" << peak
              << " descriptors=" << descriptors << '\n';
    EXPECT_TRUE(program.running());
    EXPECT_GT(peak, 0);
    EXPECT_LE(peak, bound_mib * kib_per_mib);
    EXPECT_LE(descriptors, descriptor_bound);
    if (testing::Test::HasFailure())
        std::cerr << program.output();
}

// Each test guards against a process that exceeds its memory or its descriptors because of callers
// outside the limits, and against ordinary callers that go unanswered beside them.
TEST(hostile_entry_caller, trailers_without_end)
{
    expect_bounded_memory("127.0.41.1", endless_callers,
                          {chunked_head + make_chunk("x") + "0\r\n",
                           "X-Trailer: abcdefghijklmnopqrstuvwxyz\r\n", endless_bytes});
}

TEST(hostile_entry_caller, chunk_extension_without_end)
{
    expect_bounded_memory("127.0.41.2", endless_callers,
                          {chunked_head + "1", ";name=abcdefghijklmnopqrstuvwxyz", endless_bytes});
}

TEST(hostile_entry_caller, unfinished_bodies_in_large_chunks)
{
    expect_bounded_memory("127.0.41.3", crowd,
                          make_unfinished_body(maximum_body_bytes - short_of_end, 65536 - 64));
}

TEST(hostile_entry_caller, unfinished_bodies_in_very_small_chunks)
{
    expect_bounded_memory("127.0.41.4", crowd,
                          make_unfinished_body(maximum_body_bytes - short_of_end, 8));
}

TEST(hostile_entry_caller, announced_bodies_far_over_the_limit)
{
    expect_bounded_memory("127.0.41.5", crowd,
                          {head + "Content-Length: 1073741824\r\n\r\n", "x", oversized_bytes});
}

TEST(hostile_entry_caller, chunked_bodies_far_over_the_limit)
{
    expect_bounded_memory("127.0.41.6", crowd, make_unfinished_body(oversized_bytes, 65536));
}

TEST(hostile_entry_caller, idle_connections)
{
    expect_bounded_memory("127.0.41.7", idle_crowd, {"", "", 0});
}

TEST(hostile_entry_caller, unfinished_heads)
{
    constexpr std::int64_t larger_memory_mib = 88;
    constexpr std::size_t more_descriptors = 4096;
    constexpr int large_crowd = 200;
    // Below POCO's limits: 100 fields, 8 KiB each.
    constexpr int fields = 95;
    constexpr std::size_t field_bytes = 8000;
    std::string text = head;
    for (int i = 0; i < fields; ++i)
        text += "X-" + std::to_string(i) + ": " + std::string(field_bytes, 'x') + "\r\n";
    expect_bounded_memory("127.0.41.8", large_crowd, {text, "", text.size()}, larger_memory_mib,
                          more_descriptors);
}

} // namespace
} // namespace jasminepier::tests
