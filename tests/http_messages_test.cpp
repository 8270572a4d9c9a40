/// Tests the parsers of requests, responses and event streams with valid and invalid input.
#include "base/error.hpp"
#include "http/message.hpp"
#include "http/request_reader.hpp"
#include "http/response_reader.hpp"
#include "http/status.hpp"
#include "serving/event_stream_splitter.hpp"
#include "tests/support/concatenate.hpp"

#include <gtest/gtest.h>

namespace jasminepier::http
{
namespace
{

request_reader parse_request(std::string_view bytes, request_size_limits limits = {})
{
    request_reader reader(limits);
    reader.feed(bytes);
    return reader;
}

response_reader parse_response(std::string_view bytes)
{
    response_reader reader;
    reader.feed(bytes);
    return reader;
}

TEST(request_reader, parses_byte_by_byte_input_and_pipelined_requests)
{
    request_reader reader({});
    std::string const text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                             "GET /next HTTP/1.1\r\nHost: x\r\n\r\n";
    for (char byte : text)
        reader.feed({&byte, 1});
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    auto const first = reader.take_request();
    EXPECT_EQ(first.target, "/a/b?c=1");
    EXPECT_EQ(first.path(), "/a/b");
    EXPECT_EQ(first.body, "abc");
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    EXPECT_EQ(reader.take_request().method, "GET");
    EXPECT_EQ(reader.current_state(), request_reader::state::idle);
}

TEST(request_reader, decodes_chunked_bodies)
{
    auto reader = parse_request("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    EXPECT_EQ(reader.take_request().body, "abcde");
}

// Guards against request smuggling: a second request hidden in the body of the first.
TEST(request_reader, rejects_ambiguous_framing)
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
        EXPECT_EQ(parse_request(text).current_state(), request_reader::state::malformed) << fields;
    }
}

TEST(request_reader, rejects_headers_and_bodies_over_the_limits)
{
    auto const oversized_header = "GET / HTTP/1.1\r\nA: " + std::string(5000, 'x') + "\r\n\r\n";
    EXPECT_EQ(parse_request(oversized_header, {1000, 1000}).current_state(),
              request_reader::state::head_too_large);
    auto const oversized_body =
        "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x');
    EXPECT_EQ(parse_request(oversized_body, {1000, 1000}).current_state(),
              request_reader::state::body_too_large);
}

// Guards against a process that runs out of memory because of a body's framing.
TEST(request_reader, limits_trailers_chunk_extensions_and_very_small_chunks)
{
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto const read = [&](std::string const& start, std::string const& repeated, int count)
    {
        request_reader reader({1000, 100000});
        reader.feed(head + start);
        for (int i = 0; i < count && reader.current_state() == request_reader::state::reading_body;
             ++i)
            reader.feed(repeated);
        EXPECT_LE(reader.held_bytes(), 300000U);
        return reader.current_state();
    };
    using enum request_reader::state;
    EXPECT_EQ(read("1\r\nx\r\n0\r\n", "X-Trailer: abc\r\n", 100), framing_too_large);
    EXPECT_EQ(read("1", ";name=value", 200), framing_too_large);
    EXPECT_EQ(read("", "1;name=0123456789012345678901234567890\r\nx\r\n", 200), framing_too_large);
    EXPECT_EQ(read("1\r\nx\r\n0\r\nX-Trailer: abc\r\n", "\r\n", 1), complete);
    EXPECT_EQ(read("", "1\r\nx\r\n", 20000), reading_body);
    EXPECT_EQ(read("1;name=value\r\nx\r\n0\r\n", "\r\n" + std::string(5000, 'x'), 1), complete);
    EXPECT_EQ(read("", "10000\r\n" + std::string(65536, 'x') + "\r\n", 2), body_too_large);
}

// Guards against an account that charges less than a growing body holds.
TEST(request_reader, states_the_bytes_that_it_will_hold)
{
    request_reader reader({1000, 100000});
    reader.feed(std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"));
    std::string const piece = "400\r\n" + std::string(1024, 'x') + "\r\n";
    for (int i = 0; i < 90; ++i)
    {
        auto const stated = reader.bytes_to_hold(piece.size());
        reader.feed(piece);
        EXPECT_LE(reader.held_bytes(), stated);
    }
    reader.feed(std::string("0\r\n\r\n"));
    EXPECT_EQ(reader.take_request().body.size(), std::size_t{90} * 1024);
    reader.discard();
    EXPECT_LE(reader.held_bytes(), 1024U);
}

TEST(response_reader, reads_bodies_framed_by_length_chunks_or_connection_close)
{
    auto fixed = parse_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    EXPECT_EQ(fixed.current_state(), response_reader::state::complete);
    EXPECT_TRUE(fixed.connection_reusable());
    auto chunked =
        parse_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    EXPECT_EQ(chunked.current_state(), response_reader::state::complete);
    EXPECT_EQ(chunked.take_body(), "ab");
    auto unframed = parse_response("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab");
    EXPECT_EQ(unframed.current_state(), response_reader::state::reading_body);
    unframed.feed_eof();
    EXPECT_EQ(unframed.current_state(), response_reader::state::complete);
    EXPECT_FALSE(unframed.connection_reusable());
}

// Guards against a truncated response that looks complete.
TEST(response_reader, early_connection_close_does_not_complete_the_response)
{
    auto fixed = parse_response("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    fixed.feed_eof();
    EXPECT_NE(fixed.current_state(), response_reader::state::complete);
    auto chunked =
        parse_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    chunked.feed_eof();
    EXPECT_NE(chunked.current_state(), response_reader::state::complete);
    // The server may close a reused connection before the first byte of a response.
    response_reader empty;
    empty.feed_eof();
    EXPECT_EQ(empty.current_state(), response_reader::state::malformed);
    auto head = parse_response("HTTP/1.1 200 OK\r\nContent-");
    head.feed_eof();
    EXPECT_EQ(head.current_state(), response_reader::state::malformed);
}

// Guards against taking unexpected bytes for the response to the next request.
TEST(response_reader, extra_bytes_prevent_connection_reuse)
{
    auto reader =
        parse_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n");
    EXPECT_EQ(reader.current_state(), response_reader::state::complete);
    EXPECT_FALSE(reader.connection_reusable());
}

// Guards against the reuse of a connection that the server closes after its response to HEAD.
TEST(response_reader, response_to_head_without_framing_prevents_connection_reuse)
{
    auto const parse_head = [](std::string_view text)
    {
        response_reader reader(false);
        reader.feed({text.data(), text.size()});
        return reader.connection_reusable();
    };
    EXPECT_FALSE(parse_head("HTTP/1.1 200 OK\r\n\r\n"));
    EXPECT_TRUE(parse_head("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"));
    EXPECT_TRUE(parse_head("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
}

TEST(response_reader, skips_informational_responses_and_rejects_invalid_bytes)
{
    auto reader = parse_response(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(reader.head().status, 204);
    EXPECT_EQ(reader.current_state(), response_reader::state::complete);
    EXPECT_EQ(parse_response("garbage\r\n\r\n").current_state(), response_reader::state::malformed);
}

/// Feeds `prefix` and then `repeated` until the reader ends or `maximum_bytes` have been fed.
response_reader::state feed_without_end(std::string_view prefix, std::string_view repeated,
                                        std::size_t maximum_bytes)
{
    response_reader reader;
    reader.feed(prefix);
    std::string block;
    while (block.size() < 4096)
        block += repeated;
    for (std::size_t fed = 0; fed < maximum_bytes; fed += block.size())
    {
        if (reader.current_state() == response_reader::state::oversized ||
            reader.current_state() == response_reader::state::malformed)
            break;
        reader.feed(block);
    }
    return reader.current_state();
}

// Guards against a server in trouble that sends bytes without end, which would otherwise fill the
// node's memory.
TEST(response_reader, ends_responses_without_end)
{
    constexpr std::size_t enough = std::size_t{8} * 1024 * 1024;
    auto const ends = [&](std::string_view prefix, std::string_view repeated)
    {
        auto const state = feed_without_end(prefix, repeated, enough);
        return state == response_reader::state::oversized ||
               state == response_reader::state::malformed;
    };
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_TRUE(ends("", "x"));
    EXPECT_TRUE(ends("HTTP/1.1 200 ", "O"));
    EXPECT_TRUE(ends("HTTP/1.1 200 OK\r\n", "n"));
    EXPECT_TRUE(ends("HTTP/1.1 200 OK\r\nName: ", "v"));
    EXPECT_TRUE(ends("HTTP/1.1 200 OK\r\n", "Name: value\r\n"));
    EXPECT_TRUE(ends("", "HTTP/1.1 103 Early Hints\r\n\r\n"));
    EXPECT_TRUE(ends("HTTP/1.1 200 OK\r\n\r\n", "b"));
    EXPECT_TRUE(ends("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "b"));
    EXPECT_TRUE(ends("HTTP/1.1 200 OK\r\nContent-Length: ", "9"));
    EXPECT_TRUE(ends(chunked, "1\r\nb\r\n"));
    EXPECT_TRUE(ends(chunked, "0"));
    EXPECT_TRUE(ends(chunked + "1;", "e"));
    EXPECT_TRUE(ends(chunked + "0\r\n", "Trailer: value\r\n"));
    EXPECT_TRUE(ends(chunked + "0\r\nTrailer: ", "v"));
}

// Guards against taking the beginning of a head, whose server closed the connection, for a response
// without a body.
TEST(response_reader, head_that_ends_early_is_no_response)
{
    for (std::string const head :
         {"HTTP/1.1 200 OK\r\nServer-Signature: s\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"})
        for (bool const expect_body : {true, false})
            for (std::size_t length = 0; length < head.size(); ++length)
            {
                response_reader reader(expect_body);
                reader.feed(std::string_view(head).substr(0, length));
                reader.feed_eof();
                EXPECT_EQ(reader.current_state(), response_reader::state::malformed)
                    << length << " bytes of " << head;
                EXPECT_FALSE(reader.connection_reusable());
            }
}

// Guards against ending a long stream because of the sum of its bytes.
TEST(response_reader, reads_long_bodies_that_are_taken_as_they_arrive)
{
    response_reader reader;
    reader.feed(std::string_view("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    std::string const block(std::size_t{64} * 1024, 'b');
    std::size_t taken = 0;
    for (int i = 0; i < 64; ++i)
    {
        reader.feed("10000\r\n" + block + "\r\n");
        taken += reader.take_body().size();
    }
    EXPECT_EQ(taken, 64 * block.size());
    reader.feed(std::string_view("0\r\n\r\n"));
    EXPECT_EQ(reader.current_state(), response_reader::state::complete);
}

TEST(message, hop_by_hop_fields_are_recognized)
{
    EXPECT_TRUE(is_hop_by_hop("connection", ""));
    EXPECT_TRUE(is_hop_by_hop("X-Own", "close, x-own"));
    EXPECT_TRUE(is_hop_by_hop("Content-Length", ""));
    EXPECT_FALSE(is_hop_by_hop("X-Own", "close"));
}

// Guards against joining partial events of two servers.
TEST(event_stream_splitter, returns_complete_events_only)
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

/// Feeds `stream` in blocks of `block_size` bytes. Returns the bytes of the events, joined.
std::string split_events(serving::event_stream_splitter& splitter, std::string_view stream,
                         std::size_t block_size)
{
    std::string events;
    for (; !stream.empty(); stream.remove_prefix(std::min(block_size, stream.size())))
        for (auto const& event : splitter.feed(stream.substr(0, block_size)))
            events += event.bytes;
    return events;
}

// Guards against streams that never end an event because the server ends lines with CR or CRLF, and
// against taking half of a line end for a partial event.
TEST(event_stream_splitter, line_ends_are_lf_crlf_or_cr)
{
    for (std::string const end : {"\n", "\r\n", "\r"})
        for (std::size_t const block_size : {1U, 2U, 3U, 1000U})
        {
            serving::event_stream_splitter splitter;
            std::string stream("id: 1");
            stream.append(end).append("data: a").append(end).append(end);
            stream.append("id: 2").append(end).append(end).append(end);
            EXPECT_EQ(split_events(splitter, stream, block_size), stream);
            EXPECT_FALSE(splitter.has_partial_event());
            auto const events = splitter.feed(std::string("id: 3").append(end).append(end));
            ASSERT_EQ(events.size(), 1U);
            EXPECT_EQ(events[0].id, "3");
        }
}

// Guards against taking a stream that was broken off for a complete one, and the reverse.
TEST(event_stream_splitter, partial_event_differs_from_trailing_comments)
{
    for (auto const* rest : {"d", "data: b", "data: b\n", "data: b\r", "id: 2\n", ": c\ndata: b\n"})
    {
        serving::event_stream_splitter splitter;
        EXPECT_EQ(split_events(splitter, std::string("data: a\n\n") + rest, 1000), "data: a\n\n");
        EXPECT_TRUE(splitter.has_partial_event()) << rest;
    }
    for (auto const* rest : {"", ":", ": keepalive", ": keepalive\n", ": a\r\n: b\r\n"})
    {
        serving::event_stream_splitter splitter;
        EXPECT_EQ(split_events(splitter, std::string("data: a\n\n") + rest, 1000), "data: a\n\n");
        EXPECT_FALSE(splitter.has_partial_event()) << rest;
    }
}

// Guards against forwarding another response for an event of the stream that it interrupts, and
// against taking a half event that it completes for a whole one.
TEST(event_stream_splitter, status_line_in_place_of_a_field_interrupts_the_stream)
{
    std::string const event = "id: 1\ndata: a\n\n";
    std::string const fields = "\r\nName: v\r\n\r\n";
    for (auto const& rest :
         {"HTTP/1.1 000 Status" + fields, "HTTP/1.1 200 OK" + fields, "HTTP/1.0 500" + fields,
          "HTTP/1.1 500 Error: full" + fields, "id: 2\nHTTP/1.1 000 Status" + fields,
          "id: 2\nHTTP/1.1 000 Status" + fields, "id: 2\ndaHTTP/1.1 000 Status" + fields,
          ": c\n\nHTTP/1.1 000 " + fields})
        for (std::size_t const block_size : {1U, 7U, 1000U})
        {
            serving::event_stream_splitter splitter;
            auto const events =
                split_events(splitter, tests::concatenate({event, rest, event}), block_size);
            EXPECT_EQ(events, rest.starts_with(':') ? event + ": c\n\n" : event) << rest;
            EXPECT_TRUE(splitter.interrupted()) << rest;
        }
    for (std::string const rest :
         {"data: HTTP/1.1 000 Status\n\n", "data:HTTP/1.1 200 OK\n\n", ": HTTP/1.1 000 Status\n\n",
          "HTTP/1.1\n\n", "HTTP/1.1 00 a\n\n", "HTTP/1.1 0000\n\n", "HTTP/1.x 000 a\n\n",
          "name HTTP\nname\n\n", "id: HTTP/1.1 200 OK\n\n"})
    {
        serving::event_stream_splitter splitter;
        auto const stream = tests::concatenate({event, rest, event});
        EXPECT_EQ(split_events(splitter, stream, 1000), stream) << rest;
        EXPECT_FALSE(splitter.interrupted()) << rest;
    }
}

// Guards against taking comments and blank lines, which keep a connection open, for events.
TEST(event_stream_splitter, events_have_fields_and_comments_have_none)
{
    for (auto const* comment : {"\n", ": \n\n", ":keepalive\r\n\r\n", ": a\r: b\r\r"})
    {
        serving::event_stream_splitter splitter;
        auto const items = splitter.feed(comment);
        ASSERT_EQ(items.size(), 1U) << comment;
        EXPECT_FALSE(items[0].has_fields) << comment;
    }
    for (auto const* event : {"data: a\n\n", "data\r\n\r\n", ": a\nid: 1\n\n"})
    {
        serving::event_stream_splitter splitter;
        auto const events = splitter.feed(event);
        ASSERT_EQ(events.size(), 1U) << event;
        EXPECT_TRUE(events[0].has_fields) << event;
    }
}

// Guards against an error that may have been executed and has a status that denies it.
TEST(status, promises_no_execution_only_for_errors_that_have_not_run)
{
    for (auto const& row : base::error_response_table())
        EXPECT_TRUE(!promises_no_execution(row.http_status) ||
                    row.execution == base::execution_status::not_run)
            << row.code;
    for (int const status : {408, 421, 429, 503})
        EXPECT_TRUE(promises_no_execution(status)) << status;
    for (int const status : {200, 400, 404, 409, 422, 500, 502, 504})
        EXPECT_FALSE(promises_no_execution(status)) << status;
}

} // namespace
} // namespace jasminepier::http
