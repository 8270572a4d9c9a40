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
    };

    explicit request_reader(request_size_limits limits);

    void feed(std::span<char const> bytes);
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

    request_size_limits m_limits;
    state m_state = state::idle;
    bool m_expect_continue_pending = false;
    std::unique_ptr<parser> m_parser;
    boost::beast::flat_buffer m_buffer;
};

} // namespace jasminepier::http
