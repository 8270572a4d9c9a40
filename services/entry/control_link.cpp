#include "services/entry/control_link.hpp"

#include "base/log.hpp"

#include <algorithm>

namespace jasminepier::entry
{
namespace
{

constexpr std::chrono::milliseconds call_timeout{1000};

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

std::vector<inner_protocol::crash_record> crash_records(serving_state& serving)
{
    std::vector<inner_protocol::crash_record> records;
    for (auto const& event : serving.poison_requests().events(now()))
    {
        inner_protocol::crash_record record;
        record.fingerprint = static_cast<std::int64_t>(event.fingerprint);
        record.server_id = event.server;
        record.instance = event.instance;
        record.age_seconds = static_cast<std::int32_t>(event.age_seconds);
        records.push_back(std::move(record));
    }
    return records;
}

void merge_crash_records(serving_state& serving,
                         std::vector<inner_protocol::crash_record> const& records)
{
    std::vector<decision::crash_event> events;
    events.reserve(records.size());
    for (auto const& record : records)
        events.push_back({static_cast<std::uint64_t>(record.fingerprint), record.server_id,
                          record.instance, record.age_seconds});
    serving.poison_requests().merge(events, now());
}

void set_live_nodes(serving_state& serving,
                    std::vector<inner_protocol::member_record> const& members)
{
    // The first record is that of this node.
    if (members.empty())
        return;
    std::vector<std::string> names;
    names.reserve(members.size());
    for (auto const& member : members)
        if (member.state < inner_protocol::member_state::leaving)
            names.push_back(member.node_id);
    serving.set_live_nodes(members.front().node_id, std::move(names));
}

} // namespace

control_link::control_link(entry_state& state, serving_state& serving, std::string host,
                           std::uint16_t control_port)
    : m_state(state), m_serving(serving), m_control(std::move(host), control_port, call_timeout)
{
}

void control_link::exchange()
{
    auto const report = make_report();
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(update, m_control.call(
                                        [&](inner_protocol::control_nodeClient& client)
                                        {
                                            inner_protocol::control_update received;
                                            client.exchange(received, report);
                                            return received;
                                        }));
            apply(update);
            return {};
        },
        [](base::error const& failure)
        {
            base::log_line(base::log_level::warning, "control_unreachable")
                .field("reason", failure.message);
        });
}

inner_protocol::entry_report control_link::make_report() const
{
    std::lock_guard lock(m_mutex);
    inner_protocol::entry_report report;
    report.applied_revision = m_known_revision;
    report.known_revision = m_known_revision;
    report.known_load_sequence = m_known_load_sequence;
    report.leaving = m_serving.phase() != shutdown_phase::serving;
    report.running_streams = m_serving.active_requests();
    report.crashes = crash_records(m_serving);
    report.ready = m_state.ready();
    return report;
}

void control_link::apply(inner_protocol::control_update const& update)
{
    m_state.apply(update);
    merge_crash_records(m_serving, update.crashes);
    set_live_nodes(m_serving, update.members);
    std::lock_guard lock(m_mutex);
    // The control process has every change up to `update.revision`. The highest version received
    // would not show gaps below it. After a restart, the control process may be behind this
    // process.
    m_known_revision = std::max(m_known_revision, update.revision);
    // Load sequences restart with the control process.
    m_known_load_sequence = update.load_sequence;
    m_members = update.members;
    m_isolated = update.isolated;
    m_last_update = now();
}

base::result<void> control_link::check_admission() const
{
    std::lock_guard lock(m_mutex);
    if (!m_last_update || now() - *m_last_update >= control_timeout)
        return base::fail(base::error_kind::node_isolated,
                          "the control process of this node does not respond");
    if (m_isolated)
        return base::fail(base::error_kind::node_isolated,
                          "this node reaches neither the platform nor other nodes");
    return {};
}

std::vector<inner_protocol::member_record> control_link::members() const
{
    std::lock_guard lock(m_mutex);
    return m_members;
}

} // namespace jasminepier::entry
