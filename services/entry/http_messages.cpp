#include "services/entry/http_messages.hpp"

#include <array>
#include <chrono>

namespace jasminepier::entry
{
namespace
{

/// A request without either header field has no body (RFC 9112, section 6.3).
bool has_body(http_request const& request)
{
    return request.getChunkedTransferEncoding() || request.hasContentLength();
}

} // namespace

void send_json(http_response& response, int status, base::json_object const& body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    auto const text = base::write_json(body);
    response.sendBuffer(text.data(), text.size());
}

base::json_object error_body(base::error const& failure)
{
    auto const& row = base::error_response_for(failure.kind);
    base::json_object detail = new Poco::JSON::Object;
    detail->set("message", failure.message);
    detail->set("type", std::string(row.type));
    detail->set("code", std::string(row.code));
    detail->set("execution", std::string(base::to_string(row.execution)));
    base::json_object body = new Poco::JSON::Object;
    body->set("error", detail);
    return body;
}

void send_error(http_response& response, base::error const& failure)
{
    auto const& row = base::error_response_for(failure.kind);
    response.set("Jasminepier-Execution", std::string(base::to_string(row.execution)));
    if (row.retry_after_seconds > 0)
        response.set("Retry-After", std::to_string(row.retry_after_seconds));
    send_json(response, row.http_status, error_body(failure));
}

base::result<std::string> read_body(http_request& request)
{
    auto const too_large = []
    { return base::fail(base::error_kind::payload_too_large, "the body is too large"); };
    auto const announced = request.getContentLength64();
    if (announced > static_cast<Poco::Int64>(maximum_body_bytes))
        return too_large();
    if (!has_body(request))
        return std::string{};
    auto const end = std::chrono::steady_clock::now() + maximum_body_time;
    std::string body;
    std::array<char, 8192> buffer{};
    auto& in = request.stream();
    while (in.peek() != std::char_traits<char>::eof())
    {
        auto const count = in.readsome(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(count));
        if (body.size() > maximum_body_bytes)
            return too_large();
        if (std::chrono::steady_clock::now() > end)
            return base::fail(base::error_kind::bad_request, "the body arrived too slowly");
    }
    if (announced >= 0 && static_cast<Poco::Int64>(body.size()) != announced)
        return base::fail(base::error_kind::bad_request, "the body is incomplete");
    return body;
}

void discard_body(http_request& request)
{
    if (!has_body(request))
        return;
    constexpr std::size_t maximum_discarded_bytes = 8 * maximum_body_bytes;
    constexpr std::chrono::seconds maximum_time{5};
    auto const end = std::chrono::steady_clock::now() + maximum_time;
    std::array<char, 8192> buffer{};
    auto& in = request.stream();
    for (std::size_t discarded = 0; discarded < maximum_discarded_bytes &&
                                    std::chrono::steady_clock::now() < end &&
                                    in.peek() != std::char_traits<char>::eof();)
        discarded += static_cast<std::size_t>(in.readsome(buffer.data(), buffer.size()));
}

} // namespace jasminepier::entry
