#include "platform/http_object_store.hpp"

#include "base/json.hpp"
#include "platform/answer.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

namespace jasminepier::platform
{
namespace
{

using base::error_kind;

std::string object_path(std::string const& kind, std::string const& name)
{
    std::string encoded;
    Poco::URI::encode(name, "/?#%", encoded);
    return "/objects/" + kind + "/" + encoded;
}

base::error_kind failure_of(int status)
{
    if (status == 404)
        return error_kind::not_found;
    if (status == 410)
        return error_kind::conflict;
    return status == 429 ? error_kind::rate_limited : error_kind::platform_unavailable;
}

} // namespace

http_object_store::http_object_store(http_object_store_settings settings)
    : m_settings(std::move(settings))
{
}

base::result<http_object_store::reply>
http_object_store::call(std::string const& method, std::string const& path,
                        std::string const& condition_name, std::string const& condition,
                        std::string const& body, std::chrono::milliseconds timeout)
{
    try
    {
        Poco::Net::HTTPClientSession session(m_settings.host, m_settings.port);
        session.setTimeout(Poco::Timespan(timeout.count() * 1000));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        if (!condition_name.empty())
            request.set(condition_name, condition);
        if (!body.empty())
            request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        reply received;
        auto& in = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(in, received.body);
        received.status = response.getStatus();
        return received;
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::platform_unavailable,
                          std::string("platform call failed: ") + failure.what());
    }
}

base::result<object> http_object_store::get(std::string const& kind, std::string const& name)
{
    BOOST_LEAF_AUTO(received,
                    call("GET", object_path(kind, name), "", "", "", m_settings.call_timeout));
    if (received.status != 200)
        return base::fail(failure_of(received.status), "cannot read " + kind + "/" + name);
    BOOST_LEAF_AUTO(document, base::parse_json_object(received.body));
    return parse_object(document);
}

base::result<object_page> http_object_store::list(std::string const& kind)
{
    BOOST_LEAF_AUTO(received, call("GET", "/objects/" + kind, "", "", "", m_settings.call_timeout));
    if (received.status != 200)
        return base::fail(failure_of(received.status), "cannot list " + kind);
    return parse_page(received.body, page_kind::list);
}

write_outcome http_object_store::create(std::string const& kind, std::string const& name,
                                        std::string const& value)
{
    return write("PUT", object{kind, name, 0, value, false}, "If-None-Match", "*");
}

write_outcome http_object_store::update(object const& changed)
{
    return write("PUT", changed, "If-Match", std::to_string(changed.version));
}

write_outcome http_object_store::remove(object const& existing)
{
    return write("DELETE", existing, "If-Match", std::to_string(existing.version));
}

write_outcome http_object_store::write(std::string const& method, object const& target,
                                       std::string const& condition_name,
                                       std::string const& condition)
{
    auto attempt = [&]() -> base::result<write_outcome>
    {
        BOOST_LEAF_AUTO(
            received, call(method, object_path(target.kind, target.name), condition_name, condition,
                           method == "PUT" ? target.value : "", m_settings.call_timeout));
        write_outcome outcome;
        if (received.status == 429 || received.status == 503)
            outcome.status = write_status::refused;
        if (received.status != 200 && received.status != 412)
            return outcome;
        BOOST_LEAF_AUTO(document, base::parse_json_object(received.body));
        outcome.status = received.status == 200 ? write_status::applied : write_status::conflict;
        if (!document->has("kind"))
        {
            outcome.current = target;
            outcome.current.deleted = true;
            return outcome;
        }
        BOOST_LEAF_AUTO(current, parse_object(document));
        outcome.current = current;
        return outcome;
    };
    // Any failure after the request may have left, a malformed answer included, tells nothing
    // about whether the write took effect.
    return base::handle(attempt, [](base::error const&) { return write_outcome{}; });
}

base::result<object_page> http_object_store::watch(std::int64_t version,
                                                   std::vector<std::string> const& kinds)
{
    std::string joined;
    for (auto const& kind : kinds)
        joined += (joined.empty() ? "" : ",") + kind;
    auto const seconds = m_settings.watch_timeout.count() / 1000;
    auto const path = "/objects?watch_from=" + std::to_string(version) + "&kinds=" + joined +
                      "&timeout_seconds=" + std::to_string(seconds);
    BOOST_LEAF_AUTO(received, call("GET", path, "", "", "",
                                   m_settings.watch_timeout + m_settings.call_timeout));
    if (received.status != 200)
        return base::fail(failure_of(received.status), "watch was refused");
    return parse_page(received.body, page_kind::events);
}

} // namespace jasminepier::platform
