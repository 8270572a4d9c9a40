/// Small HTTP services of a node: addresses for callers, readiness and metrics.
#pragma once

#include "services/node/node_state.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>

#include <memory>
#include <vector>

namespace jasminepier::node
{

/// Listens on the addresses of the settings and on the metrics port of the node's host.
class operator_services
{
public:
    /// Throws Poco::Net::NetException when an address cannot be bound.
    operator_services(node_state& state, std::uint16_t metrics_port);
    ~operator_services();

private:
    void listen(node_state& state, host_port const& address);

    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> m_servers;
};

} // namespace jasminepier::node
