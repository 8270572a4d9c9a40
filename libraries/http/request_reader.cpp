#include "http/request_reader.hpp"

#include <boost/asio/buffer.hpp>

namespace jasminepier::http
{
namespace
{

namespace beast_http = boost::beast::http;

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
}

void request_reader::feed(std::span<char const> bytes)
{
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
        if (m_state == state::reading_head && m_parser->is_header_done())
        {
            if (!validate_head())
                return;
            m_state = state::reading_body;
        }
        if (error == beast_http::error::need_more)
            return;
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
    parse();
    return result;
}

} // namespace jasminepier::http
