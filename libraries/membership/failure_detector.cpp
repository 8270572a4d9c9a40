#include "membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::membership
{
namespace
{

// Period of frequent push-pull exchanges after the start of a node.
constexpr base::milliseconds frequent_push_pull_duration{30000};
// Limits traffic when many updates arrive.
constexpr base::milliseconds minimum_gossip_interval{400};
// With this many, a starting node learns the members of a fleet of 400 within a few rounds.
constexpr std::size_t contact_points_per_round = 3;

} // namespace

failure_detector::failure_detector(member_record const& self, detector_settings settings,
                                   std::uint64_t seed)
    : m_self(self), m_settings(settings), m_random(seed)
{
    m_sequence = static_cast<std::int64_t>(m_random() >> 24U);
}

std::vector<outgoing_datagram> failure_detector::tick(base::time_point now)
{
    std::vector<outgoing_datagram> out;
    advance_clock(now);
    if (m_probe && !m_probe->acknowledged && !m_probe->indirect_probes_sent &&
        now - m_probe->started >= m_settings.probe_timeout)
        send_indirect_probes(out);
    expire_suspicions(now);
    verify_reported_deaths(now, out);
    if (now >= m_next_probe_round)
    {
        finish_probe_round(now, out);
        start_probe_round(now, out);
    }
    if (m_gossip_due && now >= m_next_gossip)
        gossip_updates(now, out);
    return out;
}

void failure_detector::advance_clock(base::time_point now)
{
    if (!m_last_event_time)
    {
        // The random phase spreads the probe rounds of nodes that start together.
        auto const phase =
            m_random() % static_cast<std::uint64_t>(m_settings.probe_interval.count());
        m_next_probe_round = now + base::milliseconds(phase / 4);
        m_next_dead_probe = now + m_settings.dead_probe_interval;
        m_frequent_push_pull_until = now + frequent_push_pull_duration;
        m_last_received = now;
        m_last_event_time = now;
    }
    auto const gap = now - *m_last_event_time;
    m_last_event_time = now;
    if (!m_settings.use_pause_detection || gap <= m_settings.pause_threshold)
        return;
    // Acknowledgements that arrived during the pause are lost or late, and peers may have declared
    // this node dead. It suspects nobody until a probe is acknowledged, and running suspicion
    // timeouts start over.
    ++m_detected_pauses;
    m_recovering_from_pause = true;
    m_probe.reset();
    m_last_received = now;
    m_death_verifications.clear();
    for (auto& [id, member] : m_table)
        if (member.suspected_since)
            member.suspected_since = now;
    raise_incarnation(m_self.incarnation);
}

bool failure_detector::is_inbound_silent(base::time_point now) const noexcept
{
    return m_settings.use_inbound_silence_check &&
           now - m_last_received > m_settings.inbound_silence_limit;
}

void failure_detector::start_probe_round(base::time_point now, std::vector<outgoing_datagram>& out)
{
    m_next_probe_round = now + m_settings.probe_interval;
    std::erase_if(m_relayed_probes,
                  [now](auto const& entry) { return entry.second.expires < now; });
    probe_contact_points(out);
    if (now >= m_next_dead_probe)
    {
        m_next_dead_probe = now + m_settings.dead_probe_interval;
        if (m_settings.use_dead_probes)
            probe_dead_member(out);
        remove_expired_members(now);
    }
    auto const target = next_probe_target();
    if (target.empty())
        return;
    m_probe = probe{target, ++m_sequence, now, false, false};
    send(datagram_kind::ping, m_table.at(target).record, m_probe->sequence, out);
}

void failure_detector::finish_probe_round(base::time_point now, std::vector<outgoing_datagram>& out)
{
    if (m_probe && !m_probe->acknowledged)
        start_suspicion(now, m_probe->target, out);
    m_probe.reset();
}

void failure_detector::send_indirect_probes(std::vector<outgoing_datagram>& out)
{
    m_probe->indirect_probes_sent = true;
    if (!m_settings.use_indirect_probes)
        return;
    for (auto const& id :
         random_live_members(static_cast<std::size_t>(m_settings.indirect_probes), m_probe->target))
        send(datagram_kind::ping_request, m_table.at(id).record, m_probe->sequence, out,
             m_probe->target);
}

void failure_detector::start_suspicion(base::time_point now, std::string const& target,
                                       std::vector<outgoing_datagram>& out)
{
    auto const found = m_table.find(target);
    if (m_recovering_from_pause || found == m_table.end() || found->second.is_dead() ||
        found->second.suspected_since)
        return;
    auto& member = found->second;
    member.suspected_since = now;
    // Without inbound traffic a node can't tell a failure of its own network from the death of its
    // peers. The suspicion then stays local, since gossip would spread it about live nodes.
    if (is_inbound_silent(now))
        return;
    if (member.record.state == member_state::alive)
    {
        member.record.state = member_state::suspect;
        m_update_queue.push(target, update_priority::state_change);
    }
    // Notifies the suspected node immediately, since it is probed too rarely to refute in time
    // otherwise.
    send(datagram_kind::notice, member.record, 0, out);
}

void failure_detector::expire_suspicions(base::time_point now)
{
    if (m_recovering_from_pause)
        return;
    auto const suspicion_timeout = std::chrono::duration_cast<base::milliseconds>(
        m_settings.suspicion_timeout_scale * std::log10(static_cast<double>(m_table.size()) + 2));
    for (auto& [id, member] : m_table)
    {
        if (!member.suspected_since ||
            (m_settings.use_suspicion && now - *member.suspected_since < suspicion_timeout))
            continue;
        if (is_inbound_silent(now))
        {
            member.locally_unreachable = true;
            continue;
        }
        member.suspected_since.reset();
        member.record.state = member_state::dead;
        member.dead_since = now;
        m_update_queue.push(id, update_priority::state_change);
        m_gossip_due = true;
    }
}

void failure_detector::probe_contact_points(std::vector<outgoing_datagram>& out)
{
    for (std::size_t examined = 0, sent = 0;
         examined < m_contact_points.size() && sent < contact_points_per_round; ++examined)
    {
        auto const& candidate = m_contact_points[m_next_contact_point++ % m_contact_points.size()];
        bool const is_self = candidate.host == m_self.host && candidate.port == m_self.gossip_port;
        auto const is_known_address =
            std::any_of(m_table.begin(), m_table.end(),
                        [&](auto const& entry)
                        {
                            return entry.second.record.host == candidate.host &&
                                   entry.second.record.gossip_port == candidate.port;
                        });
        if (is_self || is_known_address)
            continue;
        member_record target;
        target.node_id = candidate.node_id;
        target.host = candidate.host;
        target.gossip_port = candidate.port;
        send(datagram_kind::ping, target, ++m_sequence, out);
        ++sent;
    }
}

void failure_detector::probe_dead_member(std::vector<outgoing_datagram>& out)
{
    std::vector<member_record const*> dead;
    for (auto const& [id, member] : m_table)
        if (member.observed_state() == member_state::dead)
            dead.push_back(&member.record);
    if (!dead.empty())
        send(datagram_kind::ping, *dead[m_random() % dead.size()], ++m_sequence, out);
}

void failure_detector::gossip_updates(base::time_point now, std::vector<outgoing_datagram>& out)
{
    m_gossip_due = false;
    m_next_gossip = now + minimum_gossip_interval;
    for (auto const& id :
         random_live_members(static_cast<std::size_t>(m_settings.gossip_fanout), {}))
        send(datagram_kind::notice, m_table.at(id).record, 0, out);
}

void failure_detector::remove_expired_members(base::time_point now)
{
    for (auto position = m_table.begin(); position != m_table.end();)
    {
        auto const& member = position->second;
        if (!member.dead_since || now - *member.dead_since < m_settings.dead_member_retention)
        {
            ++position;
            continue;
        }
        m_update_queue.erase(position->first);
        position = m_table.erase(position);
    }
}

std::string failure_detector::next_probe_target()
{
    // If the first pass finds the order exhausted, the second one uses the reshuffled order.
    for (int pass = 0; pass < 2; ++pass)
    {
        while (!m_probe_order.empty())
        {
            auto id = m_probe_order.back();
            m_probe_order.pop_back();
            auto const found = m_table.find(id);
            if (found != m_table.end() && !found->second.is_dead())
                return id;
        }
        for (auto const& [id, member] : m_table)
            if (!member.is_dead())
                m_probe_order.push_back(id);
        std::shuffle(m_probe_order.begin(), m_probe_order.end(), m_random);
    }
    return {};
}

std::vector<std::string> failure_detector::random_live_members(std::size_t count,
                                                               std::string const& excluded)
{
    std::vector<std::string> live;
    for (auto const& [id, member] : m_table)
        if (member.record.state <= member_state::leaving && id != excluded)
            live.push_back(id);
    std::vector<std::string> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), count, m_random);
    return chosen;
}

void failure_detector::leave()
{
    m_self.state = member_state::leaving;
    raise_incarnation(m_self.incarnation);
}

void failure_detector::cancel_leave()
{
    m_self.state = member_state::alive;
    raise_incarnation(m_self.incarnation);
}

void failure_detector::set_ready(bool ready)
{
    if (m_self.ready == ready)
        return;
    m_self.ready = ready;
    raise_incarnation(m_self.incarnation);
}

void failure_detector::set_applied_revision(std::int64_t revision)
{
    // Every datagram of this node carries its own record, so no update is queued.
    m_self.applied_revision = revision;
}

void failure_detector::set_configuration_revision(std::int64_t revision)
{
    if (revision <= m_configuration_revision)
        return;
    m_configuration_revision = revision;
    m_gossip_due = true;
}

void failure_detector::set_contact_points(std::vector<contact_point> contact_points)
{
    m_contact_points = std::move(contact_points);
}

void failure_detector::raise_incarnation(std::int64_t previous)
{
    m_self.incarnation = previous + 1;
    m_gossip_due = true;
}

int failure_detector::transmission_limit() const
{
    return static_cast<int>(std::ceil(4 * std::log2(static_cast<double>(m_table.size()) + 2)));
}

std::vector<member_record> failure_detector::members() const
{
    std::vector<member_record> records{m_self};
    records.reserve(m_table.size() + 1);
    for (auto const& [id, member] : m_table)
    {
        records.push_back(member.record);
        records.back().state = member.observed_state();
    }
    return records;
}

std::vector<crash_record> failure_detector::crash_records(base::time_point now)
{
    return m_crash_records.records(now);
}

member_record const* failure_detector::find(std::string const& node_id) const
{
    if (node_id == m_self.node_id)
        return &m_self;
    auto const found = m_table.find(node_id);
    return found == m_table.end() ? nullptr : &found->second.record;
}

std::optional<member_state::type> failure_detector::state_of(std::string const& node_id) const
{
    if (node_id == m_self.node_id)
        return m_self.state;
    auto const found = m_table.find(node_id);
    return found == m_table.end() ? std::nullopt : std::optional(found->second.observed_state());
}

} // namespace jasminepier::membership
