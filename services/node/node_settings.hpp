/// Settings of a node, read from the platform's settings file.
#pragma once

#include "base/clock.hpp"
#include "serving/node_retry_budget.hpp"
#include "serving/rollout.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::node
{

struct host_port
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

struct node_settings
{
    std::string name;
    std::string host;
    std::string zone;
    std::string region;
    /// Listens for callers' requests.
    host_port caller_endpoint;
    /// Listens for callers that ask for the addresses of nodes.
    host_port address_endpoint;
    /// Listens for readiness checks.
    host_port readiness_endpoint;
    /// Port for traffic between nodes; the first of the platform's internal range.
    std::uint16_t peer_port = 0;
    host_port store;
    /// Time between the shutdown signal and the platform's killing the process.
    base::milliseconds shutdown_grace_period{8000};
    /// Maximum time for which callers may cache a list of addresses.
    base::milliseconds maximum_address_ttl{5000};
    serving::retry_budget_limits retry_limits;
    /// The platform's limits on this process; 0 if the file states none. The descriptors are those
    /// that files don't take.
    std::size_t memory_bytes = 0;
    int sockets = 0;
    /// Maximum number of callers' connections served at once.
    int workers = 1024;
    /// Unset if the deployment has no roll-outs.
    std::optional<serving::rollout_limits> rollouts;
};

} // namespace jasminepier::node
