/// Answers the Thrift calls of the local entry process, of peers and of the operator tool.
#pragma once

#include "inner_protocol/rpc.hpp"
#include "services/control/control_state.hpp"

namespace jasminepier::control
{

class control_handler : public inner_protocol::control_nodeIf
{
public:
    control_handler(control_state& state, std::string node_id)
        : m_state(state), m_node_id(std::move(node_id))
    {
    }

    void exchange(inner_protocol::control_update& update,
                  inner_protocol::entry_report const& report) override;
    void pull_configuration(inner_protocol::configuration_page& page,
                            std::int64_t since_revision) override;
    void node_status(inner_protocol::node_status_reply& reply) override;
    void exchange_members(std::vector<inner_protocol::member_record>& known,
                          std::vector<inner_protocol::member_record> const& received) override;

private:
    control_state& m_state;
    std::string m_node_id;
};

} // namespace jasminepier::control
