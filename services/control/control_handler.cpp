#include "services/control/control_handler.hpp"

#include <algorithm>

namespace jasminepier::control
{
namespace
{

// The entry process reports every 200 ms; without a report for this long it has ended.
constexpr base::milliseconds entry_report_timeout{2000};
// Longer member lists are rejected; twice the size of the largest fleet.
constexpr std::size_t maximum_members = 4096;

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

} // namespace

void control_handler::exchange(inner_protocol::control_update& update,
                               inner_protocol::entry_report const& report)
{
    m_last_report = now();
    m_entry_leaving = report.leaving;
    m_state.set_applied_revision(report.applied_revision);
    m_agent.set_leaving(m_shutting_down || report.leaving);
    m_agent.add_crash_records(report.crashes);
    // Reading the revision before the objects means that an object merged in between is sent again
    // instead of missed.
    update.revision = m_state.confirmed_revision();
    for (auto const& object : m_state.objects_newer_than(report.known_revision))
        update.objects.push_back(inner_protocol::to_thrift(object));
    auto [sequence, loads] = m_state.loads_newer_than(report.known_load_sequence);
    update.load_sequence = sequence;
    update.loads = std::move(loads);
    update.members = m_agent.members();
    update.crashes = m_agent.crash_records();
    update.isolated = m_agent.is_isolated();
    update.ready = m_agent.is_ready();
}

void control_handler::pull_configuration(inner_protocol::configuration_page& page,
                                         std::int64_t since_revision)
{
    page.revision = m_state.confirmed_revision();
    for (auto const& object : m_state.objects_newer_than(since_revision))
        page.objects.push_back(inner_protocol::to_thrift(object));
}

void control_handler::node_status(inner_protocol::node_status_reply& reply)
{
    reply.node_id = m_agent.self().node_id;
    reply.configuration_revision = m_state.confirmed_revision();
    reply.applied_revision = m_state.applied_revision();
    reply.ready = m_agent.is_ready();
    reply.isolated = m_agent.is_isolated();
    reply.fencing_number = m_state.lease_fencing_number();
    reply.placement_holder = reply.fencing_number > 0;
    reply.members = m_agent.members();
    reply.loads = m_state.loads_newer_than(0).second;
    reply.watching_platform = m_state.watching_platform();
}

void control_handler::exchange_members(std::vector<inner_protocol::member_record>& local_records,
                                       std::vector<inner_protocol::member_record> const& received)
{
    if (received.size() <= maximum_members &&
        std::all_of(received.begin(), received.end(), inner_protocol::is_valid_record))
        local_records = m_agent.push_pull(received);
}

bool control_handler::is_entry_draining() const noexcept
{
    return m_entry_leaving && now() - m_last_report.load() < entry_report_timeout;
}

} // namespace jasminepier::control
