/// Parsing of requests and answers, well formed and otherwise. No network.
#include "http/message.hpp"
#include "http/request_reader.hpp"
#include "http/response_reader.hpp"
#include "serving/event_stream_splitter.hpp"

#include <gtest/gtest.h>

namespace jasminepier::http
{
namespace
{

request_reader read(std::string_view bytes, request_size_limits limits = {})
{
    request_reader reader(limits);
    reader.feed(bytes);
    return reader;
}

response_reader read_answer(std::string_view bytes)
{
    response_reader reader;
    reader.feed(bytes);
    return reader;
}

TEST(request_reader, reads_a_request_in_pieces_and_keeps_what_follows)
{
    request_reader reader({});
    std::string const text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                             "GET /next HTTP/1.1\r\nHost: x\r\n\r\n";
    for (char letter : text)
        reader.feed({&letter, 1});
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    auto const first = reader.take_request();
    EXPECT_EQ(first.target, "/a/b?c=1");
    EXPECT_EQ(first.path(), "/a/b");
    EXPECT_EQ(first.body, "abc");
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    EXPECT_EQ(reader.take_request().method, "GET");
    EXPECT_EQ(reader.current_state(), request_reader::state::idle);
}

TEST(request_reader, reads_chunked_bodies)
{
    auto reader = read("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    EXPECT_EQ(reader.take_request().body, "abcde");
}

// Guards against a second request hidden in the body of a first one.
TEST(request_reader, refuses_ambiguous_framing)
{
    for (std::string_view fields : {
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nContent-Length: 4\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: identity\r\n",
             "Content-Length: +3\r\n",
             "Content-Length : 3\r\n",
         })
    {
        auto const text = "POST /a HTTP/1.1\r\nHost: x\r\n" + std::string(fields) + "\r\nabc";
        EXPECT_EQ(read(text).current_state(), request_reader::state::malformed) << fields;
    }
}

TEST(request_reader, bounds_header_and_body)
{
    auto const long_field = "GET / HTTP/1.1\r\nA: " + std::string(5000, 'x') + "\r\n\r\n";
    EXPECT_EQ(read(long_field, {1000, 1000}).current_state(),
              request_reader::state::head_too_large);
    auto const long_body =
        "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x');
    EXPECT_EQ(read(long_body, {1000, 1000}).current_state(), request_reader::state::body_too_large);
}

TEST(response_reader, reads_bodies_with_length_chunks_and_without_both)
{
    auto fixed = read_answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    EXPECT_EQ(fixed.current_state(), response_reader::state::complete);
    EXPECT_TRUE(fixed.connection_reusable());
    auto chunked =
        read_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    EXPECT_EQ(chunked.current_state(), response_reader::state::complete);
    EXPECT_EQ(chunked.take_body(), "ab");
    auto open = read_answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab");
    EXPECT_EQ(open.current_state(), response_reader::state::reading_body);
    open.feed_eof();
    EXPECT_EQ(open.current_state(), response_reader::state::complete);
    EXPECT_FALSE(open.connection_reusable());
}

// Guards against a truncated answer that looks complete.
TEST(response_reader, an_early_end_is_not_a_complete_answer)
{
    auto fixed = read_answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    fixed.feed_eof();
    EXPECT_NE(fixed.current_state(), response_reader::state::complete);
    auto chunked = read_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    chunked.feed_eof();
    EXPECT_NE(chunked.current_state(), response_reader::state::complete);
    // A kept connection may end without a byte.
    response_reader empty;
    empty.feed_eof();
    EXPECT_EQ(empty.current_state(), response_reader::state::malformed);
    auto head = read_answer("HTTP/1.1 200 OK\r\nContent-");
    head.feed_eof();
    EXPECT_EQ(head.current_state(), response_reader::state::malformed);
}

// Guards against a second answer that is taken for that of the next request.
TEST(response_reader, extra_bytes_end_the_use_of_a_connection)
{
    auto reader = read_answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n");
    EXPECT_EQ(reader.current_state(), response_reader::state::complete);
    EXPECT_FALSE(reader.connection_reusable());
}

TEST(response_reader, passes_over_informational_answers_and_refuses_other_bytes)
{
    auto reader = read_answer(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(reader.head().status, 204);
    EXPECT_EQ(reader.current_state(), response_reader::state::complete);
    EXPECT_EQ(read_answer("garbage\r\n\r\n").current_state(), response_reader::state::malformed);
}

TEST(message, fields_of_one_connection_are_known)
{
    EXPECT_TRUE(is_hop_by_hop("connection", ""));
    EXPECT_TRUE(is_hop_by_hop("X-Own", "close, x-own"));
    EXPECT_TRUE(is_hop_by_hop("Content-Length", ""));
    EXPECT_FALSE(is_hop_by_hop("X-Own", "close"));
}

// Guards against joining the rest of a broken event with that of another server.
TEST(event_stream_splitter, returns_whole_events_only)
{
    serving::event_stream_splitter splitter;
    EXPECT_TRUE(splitter.feed("id: 1\nda").empty());
    auto const events = splitter.feed("ta: a\n\nid: 2\ndata: b\r\n\r\nid: 3\n");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].id, "1");
    EXPECT_EQ(events[0].bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events[1].id, "2");
    EXPECT_TRUE(splitter.has_partial_event());
}

} // namespace
} // namespace jasminepier::http
