/// Incremental parsing of a server's answer.
#pragma once

#include "http/message.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <span>

namespace jasminepier::http
{

/// Turns received bytes into one answer. Informational answers (1xx) are passed over.
class response_reader
{
public:
    enum class state
    {
        reading_head,
        reading_body,
        complete,
        /// The bytes are no HTTP answer.
        malformed,
    };

    /// `expect_body` is false for the answer to a HEAD request.
    explicit response_reader(bool expect_body = true);

    /// Takes over received bytes.
    void feed(std::span<char const> bytes);
    /// Tells that the server closed the connection in order. This completes an answer without
    /// a length.
    void feed_eof();

    state current_state() const noexcept { return m_state; }
    /// Valid once the head has been read.
    response const& head() const noexcept { return m_head; }
    /// Returns the decoded body bytes that arrived since the last call.
    std::string take_body();
    /// True when the answer is complete, nothing follows it and the connection stays open.
    bool connection_reusable() const noexcept;

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void start();
    void parse();
    void read_head();

    bool m_expect_body;
    state m_state = state::reading_head;
    std::unique_ptr<parser> m_parser;
    boost::beast::flat_buffer m_buffer;
    response m_head;
};

} // namespace jasminepier::http
