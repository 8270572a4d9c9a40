/// Tests which responses the reader takes for valid, and on which of their connections another
/// request may follow.
#include "http/response_reader.hpp"
#include "tests/support/concatenate.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace jasminepier::http
{
namespace
{

using tests::concatenate;

response_reader parse_response(std::string_view bytes)
{
    response_reader reader;
    reader.feed(bytes);
    return reader;
}

/// Returns the state after `bytes`, which must not depend on how they are split.
response_reader::state read_state(std::string_view bytes, bool expect_body = true)
{
    response_reader whole(expect_body);
    whole.feed(bytes);
    response_reader split(expect_body);
    for (auto const& byte : bytes)
        split.feed({&byte, 1});
    EXPECT_EQ(split.current_state(), whole.current_state()) << bytes;
    EXPECT_EQ(split.head().status, whole.head().status) << bytes;
    EXPECT_EQ(split.connection_reusable(), whole.connection_reusable()) << bytes;
    if (whole.current_state() == response_reader::state::malformed)
    {
        EXPECT_FALSE(whole.connection_reusable()) << bytes;
    }
    return whole.current_state();
}

// Guards against forwarding a status that the protocol doesn't have, and against taking a body that
// follows it for the server's response.
TEST(response_reader, status_outside_the_protocol_is_no_response)
{
    std::string const rest = " Status\r\nContent-Length: 2\r\n\r\nab";
    for (std::string const status : {"000", "001", "099", "600", "700", "999"})
        for (std::string const prefix : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"})
        {
            auto const text = concatenate({prefix, "HTTP/1.1 ", status, rest});
            for (bool const expect_body : {true, false})
                EXPECT_EQ(read_state(text, expect_body), response_reader::state::malformed) << text;
            EXPECT_EQ(parse_response(text).head().status, 0);
        }
    for (std::string const status : {"200", "299", "399", "418", "499", "500", "599"})
    {
        auto const text = concatenate({"HTTP/1.1 ", status, rest});
        EXPECT_EQ(read_state(text), response_reader::state::complete) << text;
        EXPECT_TRUE(parse_response(text).connection_reusable());
    }
}

// Guards against taking fields that follow a chunked body for fields of the head, which would let
// them state that the request didn't run.
TEST(response_reader, trailers_are_not_fields_of_the_head)
{
    std::string const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
                             "0\r\nNot-Executed: 1\r\nServer-Signature: s\r\n\r\n";
    EXPECT_EQ(read_state(text), response_reader::state::complete);
    for (std::size_t length = 0; length <= text.size(); ++length)
    {
        response_reader reader;
        reader.feed(std::string_view(text).substr(0, length));
        reader.feed(std::string_view(text).substr(length));
        auto const& fields = reader.head().headers;
        EXPECT_EQ(std::distance(fields.begin(), fields.end()), 1) << length;
        EXPECT_EQ(reader.take_body(), "ab");
        EXPECT_TRUE(reader.connection_reusable());
    }
}

std::vector<std::string> const broken_field_lines{"Na me: v",
                                                  "Name : v",
                                                  "Name\t: v",
                                                  " Name: v",
                                                  "\tName: v",
                                                  "Na\x01me: v",
                                                  "\x1fName: v",
                                                  "Name\x7f: v",
                                                  "Na\vme: v",
                                                  "Na\rme: v",
                                                  "Name\r: v",
                                                  ": v",
                                                  "Name",
                                                  "Name v",
                                                  "Na(me): v",
                                                  "Na\xe9me: v",
                                                  "Name: v\x01",
                                                  "Name: v\x7fv",
                                                  "Name: v\rv",
                                                  "Na\nme: v",
                                                  "Name: v\r\n w",
                                                  "Name: v\r\n\tw",
                                                  "Name:\r\n w",
                                                  "Name: v\r\n \r\nName: w",
                                                  std::string("Na\0me: v", 8),
                                                  std::string("Name: v\0v", 9)};

// Guards against forwarding a line whose name holds a blank or a control byte, and against a length
// or a coding in such a line that leaves the reader with another body.
TEST(response_reader, head_with_a_broken_field_line_is_no_response)
{
    std::string const status_line = "HTTP/1.1 200 OK\r\n";
    std::string const length = "Content-Length: 2\r\n";
    for (auto const& line : broken_field_lines)
        for (auto const& head :
             {concatenate({status_line, line, "\r\n", length}),
              concatenate({status_line, length, line, "\r\n"}),
              concatenate({status_line, length, line, "\r\nServer-Signature: s\r\n"}),
              concatenate({status_line, "Server-Signature: s\r\n", line, "\r\n", length}),
              concatenate({"HTTP/1.1 103 Early Hints\r\nLink: l\r\n", line, "\r\n\r\n", status_line,
                           length})})
            for (bool const expect_body : {true, false})
            {
                EXPECT_EQ(read_state(head + "\r\nab", expect_body),
                          response_reader::state::malformed);
                EXPECT_EQ(parse_response(head + "\r\nab").head().status, 0);
            }
}

// Guards against rejecting what the protocol allows: optional blanks around values, empty values,
// bytes above 0x7f in values, all characters of a token in names, and blanks that begin a body.
TEST(response_reader, heads_that_the_protocol_allows_are_read)
{
    std::string const status_line = "HTTP/1.1 200 OK\r\n";
    for (std::string const line :
         {"Name:v", "Name: \t v \t", "Name:", "Name: ", "Name: v\xe9\x80", "Name: v \t v",
          "!#$%&'*+-.^_`|~09azAZ: v", "Name: \"v\\\"v\"", "Name: (v)"})
        for (std::string const body : {"ab", " a", "\n ", "\t\n"})
        {
            auto const text =
                concatenate({status_line, line, "\r\nContent-Length: 2\r\n\r\n", body});
            EXPECT_EQ(read_state(text), response_reader::state::complete) << text;
            auto reader = parse_response(text);
            EXPECT_EQ(reader.take_body(), body);
            EXPECT_TRUE(reader.connection_reusable());
        }
}

// Guards against taking the body that arrives with its head for a head without end.
TEST(response_reader, head_may_arrive_with_a_large_body)
{
    std::string const body(std::size_t{512} * 1024, 'b');
    auto reader = parse_response("HTTP/1.1 200 OK\r\nContent-Length: 524288\r\n\r\n" + body);
    EXPECT_EQ(reader.current_state(), response_reader::state::complete);
    EXPECT_TRUE(reader.take_body() == body);
}

// Guards against an exception that ends the request although another server could serve it.
TEST(response_reader, length_without_memory_is_oversized)
{
    std::string const head = "HTTP/1.1 200 OK\r\nContent-Length: ";
    for (std::string const length : {"1000000000000000000", "9000000000000000000"})
        EXPECT_EQ(read_state(concatenate({head, length, "\r\n\r\nab"})),
                  response_reader::state::oversized)
            << length;
    for (std::string const length : {"18446744073709551615", "18446744073709551616"})
        EXPECT_EQ(read_state(concatenate({head, length, "\r\n\r\nab"})),
                  response_reader::state::malformed)
            << length;
    EXPECT_EQ(read_state(head + "1000000000000000000\r\n\r\n", false),
              response_reader::state::complete);
}

// Guards against a response that looks complete although a line behind its body is broken.
TEST(response_reader, broken_trailer_makes_a_response_malformed)
{
    std::string const text =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
    for (std::string const trailer : {"Na me: v", "Name : v", " Name: v", "Na\x01me: v", "Name",
                                      "Name: v\x01", "Content-Length: 2"})
        EXPECT_EQ(read_state(text + trailer + "\r\n\r\n"), response_reader::state::malformed)
            << trailer;
    EXPECT_EQ(read_state(text + "Name: v\r\n\r\n"), response_reader::state::complete);
}

// Guards against reading bytes of another protocol as a response.
TEST(response_reader, switch_to_another_protocol_is_no_response)
{
    std::string const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    std::string const fields = "Connection: Upgrade\r\nUpgrade: other\r\n\r\n";
    std::string const switching = "HTTP/1.1 101 Switching Protocols\r\n";
    for (auto const& text :
         {switching + "\r\n", switching + fields, concatenate({switching, fields, response}),
          concatenate({"HTTP/1.1 100 Continue\r\n\r\n", switching, fields, response})})
        EXPECT_EQ(read_state(text), response_reader::state::malformed) << text;
    for (std::string const status : {"100", "102", "103", "104", "199"})
        EXPECT_EQ(
            read_state(concatenate({"HTTP/1.1 ", status, " Status\r\nName: v\r\n\r\n", response})),
            response_reader::state::complete)
            << status;
}

// Guards against a body that isn't the server's: the reader doesn't undo any coding but chunks.
TEST(response_reader, response_with_an_unknown_transfer_coding_is_no_response)
{
    std::string const status_line = "HTTP/1.1 200 OK\r\n";
    std::string const coding = "Transfer-Encoding: ";
    std::string const chunks = "\r\n\r\n2\r\nab\r\n0\r\n\r\n";
    for (std::string const value :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked, identity",
          "identity, chunked", "xchunked", "chunkedx", "chunked;q=1", "\"chunked\"", "chunked gzip",
          "chunked\r\nTransfer-Encoding: chunked", "gzip\r\nTransfer-Encoding: chunked",
          "chunked\r\nTransfer-Encoding: gzip", "identity\r\nTransfer-Encoding: chunked",
          "chunked\r\nTransfer-Encoding: identity", "chunked\r\nContent-Length: 2",
          "gzip\r\nContent-Length: 12"})
        for (bool const expect_body : {true, false})
        {
            auto const text = concatenate({status_line, coding, value, chunks});
            EXPECT_EQ(read_state(text, expect_body), response_reader::state::malformed) << text;
            EXPECT_EQ(parse_response(text).head().status, 0);
        }
    for (std::string const value : {"chunked", "Chunked", "chunked \t", "chunked,", ", chunked"})
    {
        auto reader = parse_response(concatenate({status_line, coding, value, chunks}));
        EXPECT_EQ(reader.current_state(), response_reader::state::complete) << value;
        EXPECT_EQ(reader.take_body(), "ab") << value;
        EXPECT_TRUE(reader.connection_reusable()) << value;
    }
    auto plain = parse_response(status_line + coding + "identity\r\nContent-Length: 2\r\n\r\nab");
    EXPECT_EQ(plain.current_state(), response_reader::state::complete);
    auto unframed = parse_response(status_line + coding + "identity\r\n\r\nab");
    unframed.feed_eof();
    EXPECT_EQ(unframed.current_state(), response_reader::state::complete);
    EXPECT_EQ(unframed.take_body(), "ab");
}

// Guards against using a connection on which bytes of the body may follow.
TEST(response_reader, doubtful_framing_prevents_connection_reuse)
{
    for (std::string const text :
         {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\nab\r\n0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"})
    {
        EXPECT_EQ(read_state(text), response_reader::state::complete) << text;
        EXPECT_FALSE(parse_response(text).connection_reusable()) << text;
    }
    for (std::string const text :
         {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nab",
          "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"})
        EXPECT_TRUE(parse_response(text).connection_reusable()) << text;
}

} // namespace
} // namespace jasminepier::http
