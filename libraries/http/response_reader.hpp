/// Incremental parser for a server's response.
#pragma once

#include "http/message.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <span>

namespace jasminepier::http
{

/// Parses received bytes into one response. Skips informational (1xx) responses and discards
/// trailers.
class response_reader
{
public:
    enum class state
    {
        reading_head,
        reading_body,
        complete,
        /// The bytes are not a valid HTTP response. Its status is outside 100 to 599, for example.
        malformed,
        /// A head, a chunk header or a trailer exceeds its limit, the response follows too many
        /// informational ones, no memory is left for the stated length, or more body bytes than
        /// allowed wait for `take_body`.
        oversized,
    };

    /// Body bytes that may wait for `take_body`, which bounds the memory that a server can occupy
    /// with a body without end.
    static constexpr std::size_t maximum_untaken_body_bytes = std::size_t{1024} * 1024;
    static constexpr int maximum_informational_responses = 16;

    /// `expect_body` is false for the response to a HEAD request.
    explicit response_reader(bool expect_body = true);

    /// Ignores the bytes if the response is malformed or oversized.
    void feed(std::span<char const> bytes);
    /// Reports that the server closed the connection cleanly. This completes a response that has
    /// neither a content length nor a transfer coding; another body stays incomplete. Within the
    /// head, the response becomes malformed.
    void feed_eof();

    state current_state() const noexcept { return m_state; }
    /// Status and header fields; valid once the state is no longer `reading_head`.
    response const& head() const noexcept { return m_head; }
    /// Returns the decoded body bytes that arrived since the last call.
    std::string take_body();
    /// Returns the bytes of the body that wait for `take_body`.
    std::size_t untaken_bytes() const { return m_parser->get().body().size(); }
    /// Returns true if the response is complete and has neither a content length nor chunks, so
    /// that only the end of the connection ended it.
    bool ended_with_connection() const noexcept
    {
        return m_state == state::complete && m_parser->need_eof();
    }
    /// Returns true if the response is complete, nothing follows it and the server keeps the
    /// connection open.
    bool connection_reusable() const noexcept;

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void start();
    void parse();
    /// Checks the head that has been parsed, and begins the next response after an informational
    /// one.
    void finish_head();
    void read_head();

    bool m_expect_body;
    state m_state = state::reading_head;
    int m_informational_responses = 0;
    std::unique_ptr<parser> m_parser;
    boost::beast::flat_buffer m_buffer;
    response m_head;
};

} // namespace jasminepier::http
