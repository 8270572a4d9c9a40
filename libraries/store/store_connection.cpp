#include "store/store_connection.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <netinet/tcp.h>

namespace jasminepier::store
{
namespace
{

using base::error_kind;

// A pending watch transfers no bytes, so only keep-alive probes distinguish an idle store from an
// unreachable one.
constexpr int keep_alive_idle_seconds = 1;
constexpr int keep_alive_interval_seconds = 1;
constexpr int keep_alive_probe_count = 2;
// 400 ms, a fifth of the 2 s within which a stored configuration must be in force.
Poco::Timespan const cancellation_check_interval(0, 400000);

Poco::Net::StreamSocket connect(http_object_store_settings const& settings,
                                std::chrono::milliseconds timeout)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(settings.host, settings.port),
                   Poco::Timespan(settings.call_timeout.count() * 1000));
    // An HTTPClientSession applies its timeout only to connections that it opens itself.
    socket.setReceiveTimeout(Poco::Timespan(timeout.count() * 1000));
    socket.setSendTimeout(Poco::Timespan(timeout.count() * 1000));
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_seconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_seconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probe_count);
    return socket;
}

} // namespace

base::error_kind error_kind_for_status(int status) noexcept
{
    if (status == 404)
        return error_kind::not_found;
    if (status == 410)
        return error_kind::conflict;
    return status == 429 ? error_kind::rate_limited : error_kind::platform_unavailable;
}

base::result<store_response> perform_request(http_object_store_settings const& settings,
                                             store_request const& request,
                                             std::chrono::milliseconds timeout,
                                             std::function<bool()> const& is_cancelled)
{
    try
    {
        Poco::Net::HTTPClientSession session(connect(settings, timeout));
        Poco::Net::HTTPRequest http_request(request.method, request.path,
                                            Poco::Net::HTTPMessage::HTTP_1_1);
        http_request.setHost(settings.host, settings.port);
        if (!request.condition_name.empty())
            http_request.set(request.condition_name, request.condition);
        if (!request.body.empty())
            http_request.setContentType("application/json");
        http_request.setContentLength(static_cast<std::streamsize>(request.body.size()));
        // Without a flush the request is sent only when receiveResponse is called.
        session.sendRequest(http_request) << request.body << std::flush;
        auto const deadline = std::chrono::steady_clock::now() + timeout;
        while (is_cancelled &&
               !session.socket().poll(cancellation_check_interval, Poco::Net::Socket::SELECT_READ))
        {
            if (is_cancelled())
                return base::fail(error_kind::platform_unavailable,
                                  "the request to the platform was cancelled");
            if (std::chrono::steady_clock::now() >= deadline)
                return base::fail(error_kind::platform_unavailable,
                                  "the request to the platform timed out");
        }
        Poco::Net::HTTPResponse response;
        store_response received;
        auto& in = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(in, received.body);
        auto const length = response.getContentLength64();
        if (response.hasContentLength() && length != static_cast<Poco::Int64>(received.body.size()))
            return base::fail(error_kind::platform_unavailable,
                              "the platform's response was truncated");
        received.status = response.getStatus();
        return received;
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::platform_unavailable,
                          std::string("the request to the platform failed: ") + failure.what());
    }
}

} // namespace jasminepier::store
