/// Incremental parser for callers' requests.
#pragma once

#include "http/message.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <span>

namespace jasminepier::http
{

struct request_size_limits
{
    std::uint32_t head_bytes = 64 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
};

/// Parses received bytes into requests, one at a time. Rejects requests with ambiguous framing
/// (both a content length and a transfer coding, several content lengths, codings other than
/// chunked), since they allow request smuggling: a server might find a second request in the body.
class request_reader
{
public:
    enum class state
    {
        idle,
        reading_head,
        reading_body,
        complete,
        malformed,
        head_too_large,
        body_too_large,
        /// Chunk extensions, trailers or the framing of very small chunks exceed their limit.
        framing_too_large,
    };

    explicit request_reader(request_size_limits limits);

    void feed(std::span<char const> bytes);
    /// Returns the largest number of bytes that the reader holds at any time while it is fed
    /// `count` more bytes.
    std::size_t bytes_to_hold(std::size_t count) const;
    /// Memory of a header field beside its text: the parser's element, then the request's, and its
    /// copy for a server.
    static constexpr std::size_t field_bytes = 160;
    /// Returns the memory of the header fields, with those in `received`; 0 behind the head.
    std::size_t fields_to_hold(std::span<char const> received) const;
    /// Returns the number of bytes that the reader holds.
    std::size_t held_bytes() const;
    /// Frees everything that was received. The reader can't be fed any more.
    void discard();
    state current_state() const noexcept { return m_state; }
    /// Returns true once per request if the caller waits for "100 Continue" before sending the
    /// body.
    bool consume_expect_continue() noexcept;
    /// Returns the complete request and starts parsing the bytes that follow it (pipelining).
    request take_request();
    void set_limits(request_size_limits limits) noexcept { m_limits = limits; }

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void start();
    void parse();
    bool validate_head();
    bool framing_exceeds_limits() const;
    /// Returns the capacity of the body for `count` more bytes.
    std::size_t body_capacity(std::size_t count) const;

    request_size_limits m_limits;
    state m_state = state::idle;
    bool m_expect_continue_pending = false;
    /// Bytes of the body in its transfer coding.
    std::size_t m_coded_bytes = 0;
    /// Lines received of the head; its fields when it is complete.
    std::size_t m_head_lines = 0;
    std::unique_ptr<parser> m_parser;
    boost::beast::flat_buffer m_buffer;
};

} // namespace jasminepier::http
