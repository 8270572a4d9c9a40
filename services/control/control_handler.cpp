#include "services/control/control_handler.hpp"

namespace jasminepier::control
{

void control_handler::exchange(inner_protocol::control_update& update,
                               inner_protocol::entry_report const& report)
{
    m_state.set_applied_revision(report.applied_revision);
    update.revision = m_state.revision();
    for (auto const& changed : m_state.objects_since(report.known_revision))
        update.objects.push_back(inner_protocol::to_thrift(changed));
    auto [sequence, loads] = m_state.loads_since(report.known_load_sequence);
    update.load_sequence = sequence;
    update.loads = std::move(loads);
    update.ready = update.revision > 0;
}

void control_handler::pull_configuration(inner_protocol::configuration_page& page,
                                         std::int64_t since_revision)
{
    page.revision = m_state.revision();
    for (auto const& changed : m_state.objects_since(since_revision))
        page.objects.push_back(inner_protocol::to_thrift(changed));
}

void control_handler::node_status(inner_protocol::node_status_reply& reply)
{
    reply.node_id = m_node_id;
    reply.configuration_revision = m_state.revision();
    reply.applied_revision = m_state.applied_revision();
    reply.ready = reply.configuration_revision > 0;
    reply.loads = m_state.loads_since(0).second;
}

void control_handler::exchange_members(std::vector<inner_protocol::member_record>&,
                                       std::vector<inner_protocol::member_record> const&)
{
}

} // namespace jasminepier::control
