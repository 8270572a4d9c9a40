/// What a node learns from its environment at the start.
#pragma once

#include "base/clock.hpp"
#include "serving/node_retry_budget.hpp"

#include <cstdint>
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
    /// Where callers send requests, ask for addresses, and where readiness is asked for.
    host_port frontend;
    host_port registry;
    host_port readiness;
    /// First port for traffic between nodes.
    std::uint16_t peer_port = 0;
    host_port store;
    /// Time between the stop signal and the end of the process by force.
    base::milliseconds shutdown_grace_period{8000};
    /// Longest time for which callers may keep an answer with addresses.
    base::milliseconds maximum_address_ttl{5000};
    serving::retry_budget_limits retry_limits;
};

} // namespace jasminepier::node
