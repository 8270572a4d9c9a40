/// What the stand-in programs share: an HTTP server around one handler function.
#pragma once

#include "base/json.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <functional>
#include <string>

namespace jasminepier::stand_ins
{

using http_request = Poco::Net::HTTPServerRequest;
using http_response = Poco::Net::HTTPServerResponse;
using request_function = std::function<void(http_request&, http_response&)>;

class function_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit function_handler(request_function const& function) : m_function(function) {}
    void handleRequest(http_request& request, http_response& response) override
    {
        try
        {
            m_function(request, response);
        }
        catch (std::exception const&)
        {
            // The client closed the connection; the connection ends with the handler.
            return;
        }
    }

private:
    request_function const& m_function;
};

class function_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit function_factory(request_function function) : m_function(std::move(function)) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(http_request const&) override
    {
        return new function_handler(m_function);
    }

private:
    request_function m_function;
};

/// Serves HTTP on `host:port` with up to `threads` connections at once.
class http_program
{
public:
    http_program(std::string const& host, std::uint16_t port, request_function function,
                 int threads = 256)
        : m_pool(2, threads), m_socket(Poco::Net::SocketAddress(host, port), 256),
          m_server(new function_factory(std::move(function)), m_pool, m_socket,
                   make_parameters(threads))
    {
        m_server.start();
    }
    ~http_program() { m_server.stopAll(true); }
    http_program(http_program const&) = delete;
    http_program& operator=(http_program const&) = delete;

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

inline base::json_object make_object(std::string const& name, Poco::Dynamic::Var const& value)
{
    base::json_object object = new Poco::JSON::Object;
    object->set(name, value);
    return object;
}

/// Parses a body; an invalid one is an empty object.
inline base::json_object parse_or_empty(std::string const& text)
{
    return base::handle(
        [&]() -> base::result<base::json_object> { return base::parse_json_object(text); },
        [](base::error const&) { return base::json_object(new Poco::JSON::Object); });
}

} // namespace jasminepier::stand_ins
