#include "http/response_reader.hpp"

#include "http/status.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <limits>
#include <new>

namespace jasminepier::http
{
namespace
{

namespace beast_http = boost::beast::http;

// A response with a larger header would be of no use to a caller.
constexpr std::uint32_t maximum_head_bytes = 64 * 1024;
// Bytes that Beast leaves in the buffer until they form a complete line: a chunk header with its
// extension, or a trailer.
constexpr std::size_t maximum_unparsed_bytes = std::size_t{128} * 1024;
constexpr unsigned switching_protocols_status = 101;
constexpr int no_content_status = 204;
// As Beast states versions.
constexpr unsigned http_1_1 = 11;

/// Beast accepts any three digits. No request asks for another protocol.
constexpr bool is_expected_status(unsigned status) noexcept
{
    bool const is_informational =
        status >= 100 && status < 200 && status != switching_protocols_status;
    return is_informational || is_final_status(status);
}

/// Beast joins a line that begins with a blank to the one before, with the field or the framing
/// that it was meant to hold. RFC 9112, section 5.2, lets a proxy reject such a response.
bool has_continued_line(std::string_view lines) noexcept
{
    auto const is_blank = [](char character) { return character == ' ' || character == '\t'; };
    return (!lines.empty() && is_blank(lines.front())) ||
           lines.find("\n ") != std::string_view::npos ||
           lines.find("\n\t") != std::string_view::npos;
}

/// Returns false if the body has a coding that the reader doesn't undo. Beast undoes chunks if they
/// are the last coding, ignores the others, and passes the chunks of "chunked, identity" as a body.
bool has_supported_codings(beast_http::fields const& fields)
{
    std::size_t count = 0;
    auto const [begin, end] = fields.equal_range(beast_http::field::transfer_encoding);
    for (auto field = begin; field != end; ++field)
    {
        beast_http::opt_token_list const codings(field->value());
        if (!beast_http::validate_list(codings))
            return false;
        for (auto const& coding : codings)
            if (++count > 1 ||
                (!header_list::equal(coding, "chunked") && !header_list::equal(coding, "identity")))
                return false;
    }
    return true;
}

} // namespace

response_reader::response_reader(bool expect_body) : m_expect_body(expect_body)
{
    start();
}

void response_reader::start()
{
    m_parser = std::make_unique<parser>();
    // The head is read before the parser reaches the trailers, which it adds to the same fields.
    m_parser->eager(false);
    m_parser->header_limit(maximum_head_bytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(!m_expect_body);
}

void response_reader::feed(std::span<char const> bytes)
{
    if (m_state == state::malformed || m_state == state::oversized)
        return;
    auto const destination = m_buffer.prepare(bytes.size());
    boost::asio::buffer_copy(destination, boost::asio::buffer(bytes.data(), bytes.size()));
    m_buffer.commit(bytes.size());
    parse();
}

void response_reader::feed_eof()
{
    if (m_state != state::reading_head && m_state != state::reading_body)
        return;
    // Beast accepts an end before the first byte as a complete message, so a connection that closes
    // within the head is handled here.
    if (m_state == state::reading_head)
    {
        m_state = state::malformed;
        return;
    }
    boost::beast::error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done())
        m_state = state::complete;
}

void response_reader::parse()
{
    while (m_buffer.size() > 0 &&
           (m_state == state::reading_head || m_state == state::reading_body))
    {
        bool const reading_head = m_state == state::reading_head;
        boost::beast::error_code error;
        std::size_t consumed = 0;
        try
        {
            consumed = m_parser->put(m_buffer.data(), error);
        }
        // Beast reserves memory for a body of the stated length.
        catch (std::bad_alloc const&)
        {
            m_state = state::oversized;
            return;
        }
        std::string_view const parsed(static_cast<char const*>(m_buffer.data().data()), consumed);
        if (reading_head && has_continued_line(parsed))
        {
            m_state = state::malformed;
            return;
        }
        m_buffer.consume(consumed);
        if (reading_head && !error && m_parser->is_header_done())
        {
            finish_head();
            continue;
        }
        if (m_parser->get().body().size() > maximum_untaken_body_bytes ||
            m_buffer.size() > maximum_unparsed_bytes || error == beast_http::error::header_limit)
        {
            m_state = state::oversized;
            return;
        }
        if (error == beast_http::error::need_more)
            return;
        if (error)
        {
            m_state = state::malformed;
            return;
        }
        if (m_parser->is_done())
            m_state = state::complete;
        else if (consumed == 0)
            return;
    }
}

void response_reader::finish_head()
{
    auto const status = m_parser->get().result_int();
    if (!is_expected_status(status) || !has_supported_codings(m_parser->get()))
    {
        m_state = state::malformed;
        return;
    }
    if (status / 100 == 1 && m_parser->is_done())
    {
        if (++m_informational_responses > maximum_informational_responses)
            m_state = state::oversized;
        else
            start();
        return;
    }
    read_head();
    m_state = m_parser->is_done() ? state::complete : state::reading_body;
    m_parser->eager(true);
}

void response_reader::read_head()
{
    auto const& message = m_parser->get();
    m_head.status = static_cast<int>(message.result_int());
    m_head.reason = std::string(message.reason());
    for (auto const& field : message)
        m_head.headers.add({field.name_string().data(), field.name_string().size()},
                           {field.value().data(), field.value().size()});
}

std::string response_reader::take_body()
{
    std::string body;
    body.swap(m_parser->get().body());
    return body;
}

bool response_reader::connection_reusable() const noexcept
{
    auto const length = m_head.headers.find("Content-Length");
    auto const coding = m_head.headers.find("Transfer-Encoding");
    // A server that ends its body with the connection may also close it after a response to HEAD.
    bool const has_framing = length || coding;
    // The server may still send a body that its head doesn't allow, or one that it doesn't take for
    // chunks (RFC 9112, section 6.1).
    bool const has_doubtful_framing =
        (m_head.status == no_content_status && (coding || length.value_or("0") != "0")) ||
        (coding && m_parser->get().version() < http_1_1);
    return m_state == state::complete && m_buffer.size() == 0 && m_parser->keep_alive() &&
           !m_parser->need_eof() && (m_expect_body || has_framing) && !has_doubtful_framing;
}

} // namespace jasminepier::http
