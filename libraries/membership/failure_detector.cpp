#include "membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::membership
{
namespace
{

// After its start and after a partition, a node exchanges lists often.
constexpr base::milliseconds catching_up{30000};
// Shortest time between announcements; it bounds traffic when many updates arrive.
constexpr base::milliseconds announcement_interval{400};
// Contacts pinged per round; a starting node learns a fleet of 400 within a few rounds.
constexpr std::size_t contacts_per_round = 3;

} // namespace

failure_detector::failure_detector(member_record self, detector_settings settings,
                                   std::uint64_t seed)
    : m_self(std::move(self)), m_settings(settings), m_random(seed)
{
    m_sequence = static_cast<std::int64_t>(m_random() >> 24U);
}

std::vector<outgoing> failure_detector::tick(base::time_point now)
{
    std::vector<outgoing> out;
    observe_time(now);
    if (m_probe && !m_probe->answered && !m_probe->asked_others &&
        now - m_probe->started >= m_settings.ping_timeout)
        ask_others(out);
    expire_suspicions(now);
    check_claims(now, out);
    if (now >= m_next_round)
    {
        finish_round(now, out);
        start_round(now, out);
    }
    if (m_announce && now >= m_next_announcement)
        announce(now, out);
    return out;
}

void failure_detector::observe_time(base::time_point now)
{
    if (!m_last_time)
    {
        // The random phase spreads the rounds of nodes that start together.
        auto const phase =
            m_random() % static_cast<std::uint64_t>(m_settings.ping_interval.count());
        m_next_round = now + base::milliseconds(phase / 4);
        m_next_dead_probe = now + m_settings.dead_probe_interval;
        m_catching_up_until = now + catching_up;
        m_last_heard = now;
        m_last_time = now;
    }
    auto const gap = now - *m_last_time;
    m_last_time = now;
    if (!m_settings.use_pause_detection || gap <= m_settings.pause_limit)
        return;
    // Acknowledgements that came in during the pause are lost or late, and others may have declared
    // this node dead. It accuses nobody until a round was answered, and suspicions start over.
    ++m_pauses;
    m_recovering = true;
    m_probe.reset();
    m_last_heard = now;
    m_claim_checks.clear();
    for (auto& [id, known] : m_table)
        if (known.suspected)
            known.suspected = now;
    raise_incarnation(m_self.incarnation);
}

bool failure_detector::deaf(base::time_point now) const noexcept
{
    return m_settings.use_deafness_rule && now - m_last_heard > m_settings.deaf_after;
}

void failure_detector::start_round(base::time_point now, std::vector<outgoing>& out)
{
    m_next_round = now + m_settings.ping_interval;
    std::erase_if(m_relays, [now](auto const& entry) { return entry.second.expires < now; });
    probe_contacts(out);
    if (now >= m_next_dead_probe)
    {
        m_next_dead_probe = now + m_settings.dead_probe_interval;
        if (m_settings.use_dead_probes)
            probe_dead(out);
        forget(now);
    }
    auto const target = next_target();
    if (target.empty())
        return;
    m_probe = probe{target, ++m_sequence, now, false, false};
    send(datagram_kind::ping, m_table.at(target).record, m_probe->sequence, out);
}

void failure_detector::finish_round(base::time_point now, std::vector<outgoing>& out)
{
    if (m_probe && !m_probe->answered)
        accuse(now, m_probe->target, out);
    m_probe.reset();
}

void failure_detector::ask_others(std::vector<outgoing>& out)
{
    m_probe->asked_others = true;
    if (!m_settings.use_indirect_pings)
        return;
    for (auto const& id :
         random_live(static_cast<std::size_t>(m_settings.indirect_pings), m_probe->target))
        send(datagram_kind::ping_request, m_table.at(id).record, m_probe->sequence, out,
             m_probe->target);
}

void failure_detector::accuse(base::time_point now, std::string const& target,
                              std::vector<outgoing>& out)
{
    auto const found = m_table.find(target);
    if (m_recovering || found == m_table.end() || found->second.dead() || found->second.suspected)
        return;
    auto& known = found->second;
    known.suspected = now;
    // A node that hears nothing cannot tell its own cut from the death of its peers: what it
    // believes stays here, since gossip would kill live nodes for others.
    if (deaf(now))
        return;
    if (known.record.state == member_state::alive)
    {
        known.record.state = member_state::suspect;
        m_queue.push(target, update_urgency::state_change);
    }
    // The accused is told at once, so that it can refute although pings to it come seldom.
    send(datagram_kind::notice, known.record, 0, out);
}

void failure_detector::expire_suspicions(base::time_point now)
{
    if (m_recovering)
        return;
    auto const limit = std::chrono::duration_cast<base::milliseconds>(
        m_settings.suspicion_unit * std::log10(static_cast<double>(m_table.size()) + 2));
    for (auto& [id, known] : m_table)
    {
        if (!known.suspected || (m_settings.use_suspicion && now - *known.suspected < limit))
            continue;
        if (deaf(now))
        {
            known.unreachable_here = true;
            continue;
        }
        known.suspected.reset();
        known.record.state = member_state::dead;
        known.died = now;
        m_queue.push(id, update_urgency::state_change);
        m_announce = true;
    }
}

void failure_detector::probe_contacts(std::vector<outgoing>& out)
{
    for (std::size_t tried = 0, sent = 0; tried < m_contacts.size() && sent < contacts_per_round;
         ++tried)
    {
        auto const& candidate = m_contacts[m_next_contact++ % m_contacts.size()];
        bool const is_self = candidate.host == m_self.host && candidate.port == m_self.gossip_port;
        auto const known = std::any_of(m_table.begin(), m_table.end(),
                                       [&](auto const& entry)
                                       {
                                           return entry.second.record.host == candidate.host &&
                                                  entry.second.record.gossip_port == candidate.port;
                                       });
        if (is_self || known)
            continue;
        member_record target;
        target.node_id = candidate.node_id;
        target.host = candidate.host;
        target.gossip_port = candidate.port;
        send(datagram_kind::ping, target, ++m_sequence, out);
        ++sent;
    }
}

void failure_detector::probe_dead(std::vector<outgoing>& out)
{
    std::vector<member_record const*> dead;
    for (auto const& [id, known] : m_table)
        if (known.seen_state() == member_state::dead)
            dead.push_back(&known.record);
    if (!dead.empty())
        send(datagram_kind::ping, *dead[m_random() % dead.size()], ++m_sequence, out);
}

void failure_detector::announce(base::time_point now, std::vector<outgoing>& out)
{
    m_announce = false;
    m_next_announcement = now + announcement_interval;
    for (auto const& id : random_live(static_cast<std::size_t>(m_settings.announce_fanout), {}))
        send(datagram_kind::notice, m_table.at(id).record, 0, out);
}

void failure_detector::forget(base::time_point now)
{
    for (auto position = m_table.begin(); position != m_table.end();)
    {
        auto const& known = position->second;
        if (!known.died || now - *known.died < m_settings.dead_retention)
        {
            ++position;
            continue;
        }
        m_queue.erase(position->first);
        position = m_table.erase(position);
    }
}

std::string failure_detector::next_target()
{
    // Two passes: the second one follows a reshuffle.
    for (int pass = 0; pass < 2; ++pass)
    {
        while (!m_round.empty())
        {
            auto const id = m_round.back();
            m_round.pop_back();
            auto const found = m_table.find(id);
            if (found != m_table.end() && !found->second.dead())
                return id;
        }
        for (auto const& [id, known] : m_table)
            if (!known.dead())
                m_round.push_back(id);
        std::shuffle(m_round.begin(), m_round.end(), m_random);
    }
    return {};
}

std::vector<std::string> failure_detector::random_live(std::size_t count,
                                                       std::string const& excluded)
{
    std::vector<std::string> live;
    for (auto const& [id, known] : m_table)
        if (known.record.state <= member_state::leaving && id != excluded)
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

void failure_detector::stay()
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
    // The record travels in every datagram of this node, so no update needs to be queued here.
    m_self.applied_revision = revision;
}

void failure_detector::set_configuration_revision(std::int64_t revision)
{
    if (revision <= m_configuration_revision)
        return;
    m_configuration_revision = revision;
    m_announce = true;
}

void failure_detector::set_contacts(std::vector<contact> contacts)
{
    m_contacts = std::move(contacts);
}

void failure_detector::raise_incarnation(std::int64_t above)
{
    m_self.incarnation = above + 1;
    m_announce = true;
}

int failure_detector::send_limit() const
{
    return static_cast<int>(std::ceil(4 * std::log2(static_cast<double>(m_table.size()) + 2)));
}

std::vector<member_record> failure_detector::members() const
{
    std::vector<member_record> listed{m_self};
    listed.reserve(m_table.size() + 1);
    for (auto const& [id, known] : m_table)
    {
        listed.push_back(known.record);
        listed.back().state = known.seen_state();
    }
    return listed;
}

std::vector<crash_record> failure_detector::crashes(base::time_point now)
{
    return m_crashes.records(now);
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
    return found == m_table.end() ? std::nullopt : std::optional(found->second.seen_state());
}

} // namespace jasminepier::membership
