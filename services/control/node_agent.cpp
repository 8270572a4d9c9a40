#include "services/control/node_agent.hpp"

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

node_agent::node_agent(control_state& state, inner_protocol::member_record self,
                       std::vector<membership::contact> seeds)
    : m_state(state), m_socket(self.host, static_cast<std::uint16_t>(self.gossip_port)),
      m_seeds(std::move(seeds)), m_started(now()), m_random(std::random_device{}()),
      m_detector(std::move(self), {}, std::random_device{}()), m_peers_named(!m_seeds.empty())
{
}

void node_agent::step()
{
    auto const end = now() + tick_interval;
    for (auto rest = tick_interval; rest.count() > 0;
         rest = std::chrono::duration_cast<base::milliseconds>(end - now()))
        if (auto const message = m_socket.receive(rest))
            receive(*message);
    refresh_contacts();
    std::vector<membership::outgoing> out;
    {
        std::lock_guard lock(m_mutex);
        m_detector.set_applied_revision(m_state.applied_revision());
        m_detector.set_configuration_revision(m_state.revision());
        m_detector.set_ready(membership::node_ready(now(), reach_locked()));
        m_sync.set_own_revision(m_state.revision());
        out = m_detector.tick(now());
    }
    send(out);
}

void node_agent::receive(inner_protocol::gossip_datagram const& message)
{
    std::vector<membership::outgoing> out;
    {
        std::lock_guard lock(m_mutex);
        out = m_detector.receive(now(), message);
        if (m_detector.find(message.sender) == nullptr)
            return;
        m_sync.observe(message.sender, message.configuration_revision);
    }
    for (auto const& digest : message.loads)
        m_state.set_load(digest);
    send(out);
}

void node_agent::send(std::vector<membership::outgoing> const& messages)
{
    for (auto const& sent : messages)
        m_socket.send(sent.host, sent.port, sent.message);
}

void node_agent::refresh_contacts()
{
    auto const snapshot = m_state.snapshot();
    std::lock_guard lock(m_mutex);
    if (snapshot->revision == m_contacts_revision)
        return;
    m_contacts_revision = snapshot->revision;
    auto contacts = m_seeds;
    for (auto const& [name, node] : snapshot->nodes)
        if (name != m_detector.self().node_id)
            contacts.push_back({name, node.host, node.gossip_port});
    m_peers_named = !contacts.empty();
    m_peers_listed = contacts.size() > m_seeds.size();
    m_detector.set_contacts(std::move(contacts));
}

membership::reach node_agent::reach_locked() const
{
    membership::reach seen;
    seen.started = m_started;
    seen.peers_named = m_peers_named;
    seen.peers_listed = m_peers_listed;
    seen.configuration_merged = m_state.revision() > 0;
    seen.last_peer_contact = m_detector.last_contact();
    seen.last_platform_contact = m_state.last_platform_contact();
    seen.live_peers_before = m_detector.live_at_last_contact();
    return seen;
}

membership::reach node_agent::reach_now()
{
    std::lock_guard lock(m_mutex);
    return reach_locked();
}

bool node_agent::ready()
{
    return membership::node_ready(now(), reach_now());
}

bool node_agent::isolated()
{
    return membership::node_isolated(now(), reach_now());
}

bool node_agent::reads_platform()
{
    std::lock_guard lock(m_mutex);
    bool const watcher = membership::watches_platform(
        m_detector.members(), m_detector.self().region, m_detector.self().node_id);
    return membership::reads_platform(now(), reach_locked(), watcher, m_detector.settled());
}

std::vector<inner_protocol::member_record> node_agent::members()
{
    std::lock_guard lock(m_mutex);
    return m_detector.members();
}

inner_protocol::member_record node_agent::self()
{
    std::lock_guard lock(m_mutex);
    return m_detector.self();
}

void node_agent::set_leaving(bool leaving)
{
    std::lock_guard lock(m_mutex);
    if (leaving != (m_detector.self().state == inner_protocol::member_state::leaving))
        leaving ? m_detector.leave() : m_detector.stay();
}

bool node_agent::leaving()
{
    return self().state == inner_protocol::member_state::leaving;
}

void node_agent::add_crashes(std::vector<inner_protocol::crash_record> const& records)
{
    std::lock_guard lock(m_mutex);
    m_detector.add_crashes(now(), records);
}

std::vector<inner_protocol::crash_record> node_agent::crashes()
{
    std::lock_guard lock(m_mutex);
    return m_detector.crashes(now());
}

void node_agent::send_loads(std::string const& node_id,
                            std::vector<inner_protocol::load_digest> const& digests)
{
    std::vector<membership::outgoing> out;
    {
        std::lock_guard lock(m_mutex);
        auto const* target = m_detector.find(node_id);
        if (target == nullptr)
            return;
        std::size_t room = 0;
        for (auto const& digest : digests)
        {
            auto const bytes = membership::wire_size(digest);
            if (out.empty() || bytes > room)
            {
                out.push_back(m_detector.make_notice(*target));
                room = membership::maximum_datagram_bytes -
                       membership::header_size(out.back().message);
            }
            // A server that lists very many models does not fit; the socket would refuse it.
            if (bytes > room)
                continue;
            room -= bytes;
            out.back().message.loads.push_back(digest);
        }
    }
    send(out);
}

std::optional<inner_protocol::member_record> node_agent::next_pull()
{
    std::lock_guard lock(m_mutex);
    auto const id = m_sync.next_pull(now(), m_random);
    if (!id)
        return std::nullopt;
    if (auto const* peer = m_detector.find(*id))
        return *peer;
    m_sync.finish_pull(now(), *id, false);
    return std::nullopt;
}

void node_agent::finish_pull(std::string const& node_id, bool succeeded)
{
    std::lock_guard lock(m_mutex);
    m_sync.finish_pull(now(), node_id, succeeded);
    m_sync.set_own_revision(m_state.revision());
}

std::optional<inner_protocol::member_record> node_agent::next_exchange()
{
    std::lock_guard lock(m_mutex);
    return m_detector.next_exchange(now());
}

std::vector<inner_protocol::member_record>
node_agent::exchange(std::vector<inner_protocol::member_record> const& received)
{
    std::lock_guard lock(m_mutex);
    return m_detector.exchange(now(), received);
}

} // namespace jasminepier::control
