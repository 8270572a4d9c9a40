/// Collects the load reports of the servers that this node observes.
#pragma once

#include "backend/load_report.hpp"
#include "membership/selection.hpp"
#include "services/control/node_agent.hpp"

#include <map>
#include <string>
#include <vector>

namespace jasminepier::control
{

/// Polls the observed servers in parallel and sends the digests to the nodes that use them. `step`
/// is called by one thread.
class load_collector
{
public:
    load_collector(control_state& state, node_agent& agent) : m_state(state), m_agent(agent) {}

    /// Polls every observed server once.
    void step();

private:
    /// A server that this node observes, and who is told of it.
    struct observation
    {
        configuration::server server;
        std::vector<std::string> users;
        int failures = 0;
    };
    void refresh_assignments();
    void poll_all(std::vector<inner_protocol::load_digest>& digests);
    void distribute(std::vector<inner_protocol::load_digest> const& digests);

    control_state& m_state;
    node_agent& m_agent;
    std::map<std::string, observation> m_observed;
    std::vector<std::string> m_live;
    std::int64_t m_revision = -1;
};

} // namespace jasminepier::control
