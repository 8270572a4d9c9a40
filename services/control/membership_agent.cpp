#include "services/control/membership_agent.hpp"

#include "membership/selection.hpp"

#include <random>

namespace jasminepier::control
{
namespace
{

constexpr base::milliseconds tick_interval{100};

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

} // namespace

membership_agent::membership_agent(control_state& state, inner_protocol::member_record const& self,
                                   std::vector<membership::contact_point> seeds)
    : m_state(state), m_socket(self.host, static_cast<std::uint16_t>(self.gossip_port)),
      m_seeds(std::move(seeds)), m_started(now()), m_random(std::random_device{}()),
      m_detector(self, {}, std::random_device{}()), m_has_peer_addresses(!m_seeds.empty())
{
}

void membership_agent::run_tick()
{
    auto const tick_end = now() + tick_interval;
    for (auto remaining = tick_interval; remaining.count() > 0;
         remaining = std::chrono::duration_cast<base::milliseconds>(tick_end - now()))
        if (auto const message = m_socket.receive(remaining))
            receive(*message);
    refresh_contact_points();
    std::vector<membership::outgoing_datagram> out;
    {
        std::lock_guard lock(m_mutex);
        m_detector.set_applied_revision(m_state.applied_revision());
        m_detector.set_configuration_revision(m_state.confirmed_revision());
        m_detector.set_ready(membership::is_node_ready(now(), connectivity_locked()));
        m_pull_scheduler.set_local_revision(m_state.confirmed_revision());
        out = m_detector.tick(now());
    }
    send(out);
}

void membership_agent::receive(inner_protocol::gossip_datagram const& message)
{
    std::vector<membership::outgoing_datagram> out;
    {
        std::lock_guard lock(m_mutex);
        out = m_detector.receive(now(), message);
        if (m_detector.find(message.sender) == nullptr)
            return;
        m_pull_scheduler.record_peer_revision(message.sender, message.configuration_revision);
    }
    for (auto const& digest : message.loads)
        m_state.store_load(digest);
    send(out);
}

void membership_agent::send(std::vector<membership::outgoing_datagram> const& messages)
{
    for (auto const& datagram : messages)
        m_socket.send(datagram.host, datagram.port, datagram.message);
}

void membership_agent::refresh_contact_points()
{
    auto const snapshot = m_state.snapshot();
    std::lock_guard lock(m_mutex);
    if (snapshot->revision == m_contact_points_revision)
        return;
    m_contact_points_revision = snapshot->revision;
    auto contact_points = m_seeds;
    for (auto const& [name, node] : snapshot->nodes)
        if (name != m_detector.self().node_id)
            contact_points.push_back({name, node.host, node.gossip_port});
    m_has_peer_addresses = !contact_points.empty();
    m_node_list_has_peers = contact_points.size() > m_seeds.size();
    m_detector.set_contact_points(std::move(contact_points));
}

membership::connectivity_state membership_agent::connectivity_locked() const
{
    membership::connectivity_state connectivity;
    connectivity.started = m_started;
    connectivity.has_peer_addresses = m_has_peer_addresses;
    connectivity.node_list_has_peers = m_node_list_has_peers;
    connectivity.has_configuration = m_state.confirmed_revision() > 0;
    connectivity.last_peer_contact = m_detector.last_peer_contact();
    connectivity.last_platform_contact = m_state.last_platform_contact();
    connectivity.live_peers_at_last_contact = m_detector.live_peers_at_last_contact();
    return connectivity;
}

membership::connectivity_state membership_agent::current_connectivity()
{
    std::lock_guard lock(m_mutex);
    return connectivity_locked();
}

bool membership_agent::is_ready()
{
    return membership::is_node_ready(now(), current_connectivity());
}

bool membership_agent::is_isolated()
{
    return membership::is_node_isolated(now(), current_connectivity());
}

bool membership_agent::should_read_platform()
{
    std::lock_guard lock(m_mutex);
    bool const is_watcher = membership::is_platform_watcher(
        m_detector.members(), m_detector.self().region, m_detector.self().node_id);
    return membership::should_read_platform(now(), connectivity_locked(), is_watcher,
                                            m_detector.member_lists_agree());
}

std::vector<inner_protocol::member_record> membership_agent::members()
{
    std::lock_guard lock(m_mutex);
    return m_detector.members();
}

inner_protocol::member_record membership_agent::self()
{
    std::lock_guard lock(m_mutex);
    return m_detector.self();
}

void membership_agent::set_leaving(bool leaving)
{
    std::lock_guard lock(m_mutex);
    if (leaving != (m_detector.self().state == inner_protocol::member_state::leaving))
        leaving ? m_detector.leave() : m_detector.cancel_leave();
}

bool membership_agent::is_leaving()
{
    return self().state == inner_protocol::member_state::leaving;
}

void membership_agent::add_crash_records(std::vector<inner_protocol::crash_record> const& records)
{
    std::lock_guard lock(m_mutex);
    m_detector.add_crash_records(now(), records);
}

std::vector<inner_protocol::crash_record> membership_agent::crash_records()
{
    std::lock_guard lock(m_mutex);
    return m_detector.crash_records(now());
}

void membership_agent::send_loads(std::string const& node_id,
                                  std::vector<inner_protocol::load_digest> const& digests)
{
    std::vector<membership::outgoing_datagram> out;
    {
        std::lock_guard lock(m_mutex);
        auto const* target = m_detector.find(node_id);
        if (target == nullptr)
            return;
        std::size_t room = 0;
        for (auto const& digest : digests)
        {
            auto const bytes = membership::maximum_encoded_size(digest);
            if (out.empty() || bytes > room)
            {
                out.push_back(m_detector.make_notice(*target));
                room = membership::maximum_datagram_bytes -
                       membership::maximum_header_size(out.back().message);
            }
            // Skips a server with too many models for one datagram; the socket would drop the
            // datagram.
            if (bytes > room)
                continue;
            room -= bytes;
            out.back().message.loads.push_back(digest);
        }
    }
    send(out);
}

std::optional<inner_protocol::member_record> membership_agent::start_pull()
{
    std::lock_guard lock(m_mutex);
    auto const id = m_pull_scheduler.start_pull(now(), m_random);
    if (!id)
        return std::nullopt;
    if (auto const* peer = m_detector.find(*id))
        return *peer;
    m_pull_scheduler.finish_pull(now(), *id, false);
    return std::nullopt;
}

void membership_agent::finish_pull(std::string const& node_id, bool succeeded)
{
    std::lock_guard lock(m_mutex);
    m_pull_scheduler.finish_pull(now(), node_id, succeeded);
    m_pull_scheduler.set_local_revision(m_state.confirmed_revision());
}

std::optional<inner_protocol::member_record> membership_agent::next_push_pull_peer()
{
    std::lock_guard lock(m_mutex);
    return m_detector.next_push_pull_peer(now());
}

std::vector<inner_protocol::member_record>
membership_agent::push_pull(std::vector<inner_protocol::member_record> const& received)
{
    std::lock_guard lock(m_mutex);
    return m_detector.push_pull(now(), received);
}

} // namespace jasminepier::control
