/// Polls the load reports of the servers that this node observes.
#pragma once

#include "backend/load_report.hpp"
#include "membership/selection.hpp"
#include "services/control/membership_agent.hpp"

#include <map>
#include <string>
#include <vector>

namespace jasminepier::control
{

/// Polls the observed servers in parallel and sends the digests to the nodes that use these
/// servers. Not thread-safe.
class load_collector
{
public:
    load_collector(control_state& state, membership_agent& agent) : m_state(state), m_agent(agent)
    {
    }

    /// Polls every observed server once and distributes the digests.
    void run_round();

private:
    /// A server that this node observes.
    struct observed_server
    {
        configuration::server server;
        std::vector<std::string> subscribers;
        int consecutive_failures = 0;
        /// Hash of instance, models and role in the last report.
        std::int32_t description_hash = 0;
        /// Number of further rounds in which the full digest is sent.
        int remaining_full_rounds = 0;
    };
    void refresh_assignments();
    void poll_servers(std::vector<inner_protocol::load_digest>& digests);
    bool should_send_full_digest(observed_server& observed,
                                 inner_protocol::load_digest const& digest) const;
    void distribute_digests(std::vector<inner_protocol::load_digest> const& digests);

    control_state& m_state;
    membership_agent& m_agent;
    std::map<std::string, observed_server> m_observed;
    std::vector<std::string> m_live_nodes;
    std::int64_t m_assignment_revision = -1;
    std::uint64_t m_round = 0;
};

} // namespace jasminepier::control
