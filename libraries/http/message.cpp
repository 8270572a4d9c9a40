#include "http/message.hpp"

#include <boost/beast/http/status.hpp>

#include <array>
#include <ostream>

namespace jasminepier::http
{
namespace
{

constexpr std::array<std::string_view, 10> hop_by_hop_names{
    "Connection", "Keep-Alive",      "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",         "Transfer-Encoding",  "Upgrade",
    "Expect",     "Proxy-Connection"};

/// Reserves memory for `reserved_bytes` more.
std::string write_head(request const& message, std::size_t body_bytes, std::size_t reserved_bytes)
{
    std::string out;
    out.reserve(512 + reserved_bytes);
    out.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    for (auto const& field : message.headers)
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    bool const method_has_no_body = message.method == "GET" || message.method == "HEAD" ||
                                    message.method == "DELETE" || message.method == "OPTIONS";
    if (body_bytes > 0 || !method_has_no_body)
        out.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
    return out.append("\r\n");
}

} // namespace

bool is_hop_by_hop(std::string_view name, std::string_view connection_value)
{
    for (auto const hop_by_hop_name : hop_by_hop_names)
        if (header_list::equal(name, hop_by_hop_name))
            return true;
    if (header_list::equal(name, "Content-Length"))
        return true;
    while (!connection_value.empty())
    {
        auto const comma = connection_value.find(',');
        auto token = connection_value.substr(0, comma);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (header_list::equal(token, name))
            return true;
        if (comma == std::string_view::npos)
            break;
        connection_value.remove_prefix(comma + 1);
    }
    return false;
}

std::string write_request(request const& message)
{
    auto out = write_head(message, message.body.size(), message.body.size());
    return out.append(message.body);
}

outgoing_request make_outgoing(request const& message, std::string_view body)
{
    bool const is_short = body.size() <= maximum_copied_body_bytes;
    outgoing_request out{write_head(message, body.size(), is_short ? body.size() : 0), body};
    if (is_short)
    {
        out.bytes.append(body);
        out.rest = {};
    }
    return out;
}

std::string write_response_head(int status, std::string_view reason, header_list const& headers)
{
    std::string out;
    out.reserve(256);
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(reason.empty() ? default_reason_phrase(status) : reason).append("\r\n");
    for (auto const& field : headers)
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    return out.append("\r\n");
}

std::string_view default_reason_phrase(int status) noexcept
{
    auto const text = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

} // namespace jasminepier::http
