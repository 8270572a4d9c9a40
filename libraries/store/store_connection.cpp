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

// Seconds. A waiting watch is silent by design, so probes have to tell a quiet store from one that
// can no longer be reached.
constexpr int keep_alive_idle = 1;
constexpr int keep_alive_interval = 1;
constexpr int keep_alive_probes = 2;
// Configurations are to be in force 2 s after the store has them, so a fifth of that at most.
Poco::Timespan const give_up_check(0, 400000);

Poco::Net::StreamSocket connect(http_object_store_settings const& settings,
                                std::chrono::milliseconds timeout)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(settings.host, settings.port),
                   Poco::Timespan(settings.call_timeout.count() * 1000));
    // A session applies its time limit only to connections that it opens itself.
    socket.setReceiveTimeout(Poco::Timespan(timeout.count() * 1000));
    socket.setSendTimeout(Poco::Timespan(timeout.count() * 1000));
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    return socket;
}

} // namespace

base::error_kind failure_of(int status) noexcept
{
    if (status == 404)
        return error_kind::not_found;
    if (status == 410)
        return error_kind::conflict;
    return status == 429 ? error_kind::rate_limited : error_kind::platform_unavailable;
}

base::result<store_answer> exchange(http_object_store_settings const& settings,
                                    store_call const& call, std::chrono::milliseconds timeout,
                                    std::function<bool()> const& gives_up)
{
    try
    {
        Poco::Net::HTTPClientSession session(connect(settings, timeout));
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(settings.host, settings.port);
        if (!call.condition_name.empty())
            request.set(call.condition_name, call.condition);
        if (!call.body.empty())
            request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        // Without a flush the request would leave only when its answer is asked for.
        session.sendRequest(request) << call.body << std::flush;
        auto const end = std::chrono::steady_clock::now() + timeout;
        while (gives_up && !session.socket().poll(give_up_check, Poco::Net::Socket::SELECT_READ))
        {
            if (gives_up())
                return base::fail(error_kind::platform_unavailable, "platform call was given up");
            if (std::chrono::steady_clock::now() >= end)
                return base::fail(error_kind::platform_unavailable, "platform call timed out");
        }
        Poco::Net::HTTPResponse response;
        store_answer received;
        auto& in = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(in, received.body);
        auto const length = response.getContentLength64();
        if (response.hasContentLength() && length != static_cast<Poco::Int64>(received.body.size()))
            return base::fail(error_kind::platform_unavailable, "platform answer was cut short");
        received.status = response.getStatus();
        return received;
    }
    catch (std::exception const& failure)
    {
        return base::fail(error_kind::platform_unavailable,
                          std::string("platform call failed: ") + failure.what());
    }
}

} // namespace jasminepier::store
