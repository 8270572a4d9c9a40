#include "http/request_reader.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <iterator>

namespace jasminepier::http
{
namespace
{

namespace beast_http = boost::beast::http;

// A chunk of one byte takes five more with its size and its line ends.
constexpr std::size_t coded_bytes_per_byte = 16;
// An idle connection keeps a buffer up to this size.
constexpr std::size_t kept_buffer_bytes = std::size_t{32} * 1024;

std::size_t count_head_lines(std::string_view text)
{
    auto const head = text.substr(0, text.find("\r\n\r\n"));
    return static_cast<std::size_t>(std::ranges::count(head, '\n'));
}

} // namespace

request_reader::request_reader(request_size_limits limits) : m_limits(limits)
{
    start();
}

void request_reader::start()
{
    m_parser = std::make_unique<parser>();
    m_parser->eager(true);
    m_parser->header_limit(m_limits.head_bytes);
    m_parser->body_limit(m_limits.body_bytes);
    m_state = state::idle;
    m_expect_continue_pending = false;
    m_coded_bytes = 0;
    m_head_lines = 0;
}

std::size_t request_reader::fields_to_hold(std::span<char const> received) const
{
    if (m_parser->is_header_done())
        return 0;
    return field_bytes * (m_head_lines + count_head_lines({received.data(), received.size()}));
}

void request_reader::feed(std::span<char const> bytes)
{
    if (!m_parser->is_header_done())
        m_head_lines += count_head_lines({bytes.data(), bytes.size()});
    else
    {
        auto& body = m_parser->get().body();
        if (auto const capacity = body_capacity(bytes.size()); capacity > body.capacity())
        {
            // The string's own growth would at least double it.
            std::string grown;
            grown.reserve(capacity);
            grown.append(body);
            body.swap(grown);
        }
    }
    auto const destination = m_buffer.prepare(bytes.size());
    boost::asio::buffer_copy(destination, boost::asio::buffer(bytes.data(), bytes.size()));
    m_buffer.commit(bytes.size());
    parse();
}

void request_reader::parse()
{
    while (m_buffer.size() > 0)
    {
        if (m_state == state::idle)
            m_state = state::reading_head;
        if (m_state != state::reading_head && m_state != state::reading_body)
            return;
        boost::beast::error_code error;
        auto const consumed = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(consumed);
        m_coded_bytes += consumed;
        if (m_state == state::reading_head && m_parser->is_header_done())
        {
            auto const& fields = m_parser->get();
            m_head_lines = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
            if (!validate_head())
                return;
            m_state = state::reading_body;
            m_coded_bytes = 0;
        }
        if (error == beast_http::error::need_more)
        {
            if (m_state == state::reading_body && framing_exceeds_limits())
                m_state = state::framing_too_large;
            return;
        }
        if (error)
        {
            m_state = error == beast_http::error::header_limit ? state::head_too_large
                      : error == beast_http::error::body_limit ? state::body_too_large
                                                               : state::malformed;
            return;
        }
        if (m_parser->is_done())
        {
            m_state = state::complete;
            return;
        }
        if (consumed == 0)
            return;
    }
}

bool request_reader::validate_head()
{
    auto const& message = m_parser->get();
    auto const coding = message[beast_http::field::transfer_encoding];
    bool const transfer_coding_supported =
        message.count(beast_http::field::transfer_encoding) == 0 ||
        (message.count(beast_http::field::transfer_encoding) == 1 &&
         header_list::equal({coding.data(), coding.size()}, "chunked") &&
         message.count(beast_http::field::content_length) == 0);
    if (!transfer_coding_supported || message.count(beast_http::field::content_length) > 1 ||
        message.version() != 11)
    {
        m_state = state::malformed;
        return false;
    }
    auto const expectation = message[beast_http::field::expect];
    m_expect_continue_pending =
        header_list::equal({expectation.data(), expectation.size()}, "100-continue");
    return true;
}

bool request_reader::consume_expect_continue() noexcept
{
    bool const expected = m_expect_continue_pending && m_state == state::reading_body;
    if (expected)
        m_expect_continue_pending = false;
    return expected;
}

request request_reader::take_request()
{
    request result;
    auto message = m_parser->release();
    result.method = std::string(message.method_string());
    result.target = std::string(message.target());
    for (auto const& field : message)
        result.headers.add({field.name_string().data(), field.name_string().size()},
                           {field.value().data(), field.value().size()});
    result.keep_alive = message.keep_alive();
    result.body = std::move(message.body());
    start();
    auto const rest = m_buffer.data();
    m_head_lines = count_head_lines({static_cast<char const*>(rest.data()), rest.size()});
    if (m_buffer.size() == 0 && m_buffer.capacity() > kept_buffer_bytes)
        m_buffer.shrink_to_fit();
    parse();
    return result;
}

bool request_reader::framing_exceeds_limits() const
{
    auto const body_bytes = m_parser->get().body().size();
    return m_parser->chunked() &&
           (m_buffer.size() > m_limits.head_bytes ||
            m_coded_bytes > m_limits.head_bytes + coded_bytes_per_byte * body_bytes);
}

std::size_t request_reader::body_capacity(std::size_t count) const
{
    auto const& body = m_parser->get().body();
    auto const needed = body.size() + count;
    if (!m_parser->chunked() || needed <= body.capacity())
        return body.capacity();
    // Grows by a half, up to the limit and the bytes that exceed it.
    auto const largest = std::max(needed, static_cast<std::size_t>(m_limits.body_bytes));
    return std::min(std::max(needed, body.capacity() + body.capacity() / 2), largest);
}

std::size_t request_reader::bytes_to_hold(std::size_t count) const
{
    auto const buffered =
        std::max(m_buffer.capacity(), m_buffer.size() + count) + m_head_lines * field_bytes;
    if (!m_parser->is_header_done())
        return buffered;
    auto const capacity = m_parser->get().body().capacity();
    auto const next_capacity = body_capacity(count);
    return buffered + capacity + (next_capacity > capacity ? next_capacity : 0);
}

std::size_t request_reader::held_bytes() const
{
    return m_buffer.capacity() + m_head_lines * field_bytes +
           (m_parser && m_parser->is_header_done() ? m_parser->get().body().capacity() : 0);
}

void request_reader::discard()
{
    start();
    m_buffer.consume(m_buffer.size());
    m_buffer.shrink_to_fit();
    m_state = state::malformed;
}

} // namespace jasminepier::http
