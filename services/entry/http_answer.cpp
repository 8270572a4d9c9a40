#include "services/entry/http_answer.hpp"

namespace jasminepier::entry
{

void send_json(http_response& response, int status, base::json_object const& body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    auto const text = base::write_json(body);
    response.sendBuffer(text.data(), text.size());
}

base::json_object error_body(base::error const& failure)
{
    auto const& row = base::answer_for(failure.kind);
    base::json_object detail = new Poco::JSON::Object;
    detail->set("message", failure.message);
    detail->set("type", std::string(row.type));
    detail->set("code", std::string(row.code));
    detail->set("execution", std::string(base::to_string(row.executed)));
    base::json_object body = new Poco::JSON::Object;
    body->set("error", detail);
    return body;
}

void send_error(http_response& response, base::error const& failure)
{
    auto const& row = base::answer_for(failure.kind);
    response.set("Jasminepier-Execution", std::string(base::to_string(row.executed)));
    if (row.retry_after_seconds > 0)
        response.set("Retry-After", std::to_string(row.retry_after_seconds));
    send_json(response, row.http_status, error_body(failure));
}

base::result<std::string> read_body(http_request& request)
{
    if (request.getContentLength64() > static_cast<Poco::Int64>(maximum_body_bytes))
        return base::fail(base::error_kind::payload_too_large, "the body is too large");
    std::string body;
    char buffer[8192];
    auto& in = request.stream();
    while (in.read(buffer, sizeof buffer), in.gcount() > 0)
    {
        body.append(buffer, static_cast<std::size_t>(in.gcount()));
        if (body.size() > maximum_body_bytes)
            return base::fail(base::error_kind::payload_too_large, "the body is too large");
    }
    return body;
}

} // namespace jasminepier::entry
