#include "services/node/auxiliary_endpoints.hpp"

#include "base/log.hpp"
#include "metrics/exposition.hpp"
#include "platform/objects.hpp"
#include "platform/paths.hpp"
#include "services/node/node_metrics.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

namespace jasminepier::node
{
namespace
{

// The platform's limit on addresses in one response.
constexpr std::size_t maximum_addresses = 64;
// Callers learn of added and removed nodes within this time; a shorter TTL would only add requests.
constexpr base::milliseconds address_ttl{2000};

class auxiliary_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit auxiliary_handler(node_state& state) : m_state(state) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        auto const path = Poco::URI(request.getURI()).getPath();
        if (path == platform::addresses_path)
            return send(response, 200, "application/json", list_addresses());
        if (path == platform::readiness_path)
            return send(response, is_ready() ? 200 : 503, "text/plain", "");
        if (path == "/metrics")
            return send(response, 200, metrics::exposition_content_type,
                        write_node_metrics() +
                            http::write_account_metrics(m_state.caller_memory()));
        send(response, 404, "text/plain", "");
    }

private:
    bool is_ready()
    {
        return m_state.with([](node_state::tables& tables)
                            { return tables.nodes.phase() == serving::node_phase::ready; });
    }

    std::string list_addresses()
    {
        auto const now = base::steady_clock_source{}.now();
        auto const addresses =
            m_state.with([&](node_state::tables& tables)
                         { return tables.nodes.caller_addresses(maximum_addresses, now); });
        return platform::write_addresses(
            addresses, std::min(address_ttl, m_state.settings()->maximum_address_ttl));
    }

    static void send(Poco::Net::HTTPServerResponse& response, int status,
                     std::string const& content_type, std::string const& body)
    {
        response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        response.setContentType(content_type);
        response.sendBuffer(body.data(), body.size());
    }

    node_state& m_state;
};

class auxiliary_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit auxiliary_handler_factory(node_state& state) : m_state(state) {}
    Poco::Net::HTTPRequestHandler*
    createRequestHandler(Poco::Net::HTTPServerRequest const&) override
    {
        return new auxiliary_handler(m_state);
    }

private:
    node_state& m_state;
};

} // namespace

auxiliary_endpoints::auxiliary_endpoints(node_state& state, std::uint16_t metrics_port)
{
    listen(state, state.settings()->address_endpoint);
    listen(state, state.settings()->readiness_endpoint);
    if (metrics_port != 0)
        listen(state, {state.settings()->host, metrics_port});
}

auxiliary_endpoints::~auxiliary_endpoints()
{
    for (auto& server : m_servers)
        server->stopAll(true);
}

void auxiliary_endpoints::listen(node_state& state, host_port const& address)
{
    // Few requests arrive at the same time, so more threads would only cost memory.
    constexpr int maximum_threads = 16;
    constexpr int backlog = 256;
    auto* const server_parameters = new Poco::Net::HTTPServerParams;
    server_parameters->setMaxThreads(maximum_threads);
    server_parameters->setMaxQueued(backlog);
    server_parameters->setTimeout(Poco::Timespan(3, 0));
    server_parameters->setKeepAliveTimeout(Poco::Timespan(3, 0));
    Poco::Net::ServerSocket const socket(Poco::Net::SocketAddress(address.host, address.port),
                                         backlog);
    m_servers.push_back(std::make_unique<Poco::Net::HTTPServer>(
        new auxiliary_handler_factory(state), socket, server_parameters));
    m_servers.back()->start();
}

} // namespace jasminepier::node
