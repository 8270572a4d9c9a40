/// HTTP endpoints beside that for callers' requests: node addresses, readiness and metrics.
#pragma once

#include "services/node/node_state.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>

#include <memory>
#include <vector>

namespace jasminepier::node
{

/// Listens on the address and readiness endpoints of the settings and, unless it is 0, on the
/// metrics port. Every listener serves all paths.
class auxiliary_endpoints
{
public:
    /// Throws Poco::Net::NetException if an address cannot be bound.
    auxiliary_endpoints(node_state& state, std::uint16_t metrics_port);
    ~auxiliary_endpoints();

private:
    void listen(node_state& state, host_port const& address);

    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> m_servers;
};

} // namespace jasminepier::node
