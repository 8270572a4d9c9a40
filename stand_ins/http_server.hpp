/// HTTP server for the stand-in programs, with one handler function for all requests.
#pragma once

#include "base/json.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <functional>
#include <stdexcept>
#include <string>

namespace jasminepier::stand_ins
{

using http_request = Poco::Net::HTTPServerRequest;
using http_response = Poco::Net::HTTPServerResponse;
using request_handler = std::function<void(http_request&, http_response&)>;

class handler_adapter : public Poco::Net::HTTPRequestHandler
{
public:
    explicit handler_adapter(request_handler const& handler) : m_handler(handler) {}
    void handleRequest(http_request& request, http_response& response) override
    {
        try
        {
            m_handler(request, response);
        }
        catch (std::exception const&)
        {
            // The client disconnected or the handler dropped the response. Returning closes the
            // connection.
            return;
        }
    }

private:
    request_handler const& m_handler;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(request_handler handler) : m_handler(std::move(handler)) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(http_request const&) override
    {
        return new handler_adapter(m_handler);
    }

private:
    request_handler m_handler;
};

/// Listens on `host:port` and serves up to `threads` connections at the same time, without
/// keep-alive. The handler runs on several threads at once.
class http_server
{
public:
    http_server(std::string const& host, std::uint16_t port, request_handler handler,
                int threads = 256)
        : m_pool(2, threads), m_socket(Poco::Net::SocketAddress(host, port), 256),
          m_server(new handler_factory(std::move(handler)), m_pool, m_socket,
                   make_parameters(threads))
    {
        m_server.start();
    }
    ~http_server() { m_server.stopAll(true); }
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

private:
    static Poco::Net::HTTPServerParams* make_parameters(int threads)
    {
        auto* parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(threads);
        parameters->setMaxQueued(threads);
        parameters->setKeepAlive(false);
        return parameters;
    }

    Poco::ThreadPool m_pool;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

inline std::string read_body(http_request& request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

inline void send_json(http_response& response, int status, base::json_object const& body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    auto const text = base::write_json(body);
    response.sendBuffer(text.data(), text.size());
}

/// Sends `bytes` in place of a response. Throws, so that the connection is closed.
[[noreturn]] inline void send_raw(http_request& request, std::string const& bytes)
{
    auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    throw std::runtime_error("raw bytes sent by a fault");
}

inline base::json_object make_object(std::string const& name, Poco::Dynamic::Var const& value)
{
    base::json_object object = new Poco::JSON::Object;
    object->set(name, value);
    return object;
}

/// Parses a JSON object. Returns an empty object if `text` is invalid.
inline base::json_object parse_or_empty(std::string const& text)
{
    return base::handle(
        [&]() -> base::result<base::json_object> { return base::parse_json_object(text); },
        [](base::error const&) { return base::json_object(new Poco::JSON::Object); });
}

} // namespace jasminepier::stand_ins
