/// Serves the Thrift calls of the local entry process, of peers and of the operator tool.
#pragma once

#include "inner_protocol/rpc.hpp"
#include "services/control/membership_agent.hpp"

#include <atomic>

namespace jasminepier::control
{

class control_handler : public inner_protocol::control_nodeIf
{
public:
    control_handler(control_state& state, membership_agent& agent) : m_state(state), m_agent(agent)
    {
    }

    void exchange(inner_protocol::control_update& update,
                  inner_protocol::entry_report const& report) override;
    void pull_configuration(inner_protocol::configuration_page& page,
                            std::int64_t since_revision) override;
    void node_status(inner_protocol::node_status_reply& reply) override;
    void exchange_members(std::vector<inner_protocol::member_record>& local_records,
                          std::vector<inner_protocol::member_record> const& received) override;

    /// From now on the node is `leaving`, whatever the entry process reports.
    void begin_shutdown() noexcept { m_shutting_down = true; }
    /// Returns true while an entry process that is shutting down still reports; its open streams
    /// may need this process.
    bool is_entry_draining() const noexcept;

private:
    control_state& m_state;
    membership_agent& m_agent;
    std::atomic<bool> m_shutting_down{false};
    std::atomic<bool> m_entry_leaving{false};
    std::atomic<base::time_point> m_last_report{base::time_point{}};
};

} // namespace jasminepier::control
