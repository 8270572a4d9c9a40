#include "membership/failure_detector.hpp"

#include <algorithm>

namespace jasminepier::membership
{
namespace
{

// Records of other nodes that ride along in spare room, in turn through the whole table. They
// repair what loss or a partition kept from a node after the updates themselves have stopped
// travelling.
constexpr std::size_t rotating_records = 3;
// Notices that a newcomer receives with the first acknowledgement.
constexpr int new_member_notices = 4;
constexpr std::size_t new_member_notice_records = 12;
// Time of frequent list exchanges after a dead node has returned.
constexpr base::milliseconds frequent_push_pull_duration{30000};
// Relayed pings remembered; each lives for one ping interval.
constexpr std::size_t maximum_relayed_probes = 256;
// Prefix that keeps crash records apart from members in the update queue.
constexpr char crash_prefix = '!';

} // namespace

std::vector<outgoing_datagram> failure_detector::receive(base::time_point now,
                                                         gossip_datagram const& message)
{
    std::vector<outgoing_datagram> out;
    advance_clock(now);
    bool const for_other = message.kind != datagram_kind::ping_request && !message.target.empty() &&
                           message.target != m_self.node_id;
    // An address may have passed on to a new node; answering for the old one would keep it alive.
    if (for_other || message.sender.empty() || message.sender == m_self.node_id)
        return out;
    if (is_inbound_silent(now))
        for (auto& [id, known] : m_table)
        {
            known.locally_unreachable = false;
            known.suspected_since =
                known.record.state == member_state::suspect ? std::optional(now) : std::nullopt;
        }
    m_last_received = now;
    bool const is_new_member = !m_table.contains(message.sender);
    for (auto const& record : message.members)
        merge_record(now, record);
    add_crash_records(now, message.crashes);
    compare_member_lists(now, message);
    if (!m_table.contains(message.sender))
        return out;
    if (message.kind == datagram_kind::ping)
        handle_ping(message, is_new_member, out);
    if (message.kind == datagram_kind::ping_request)
        handle_ping_request(now, message, out);
    if (message.kind == datagram_kind::acknowledgement)
        handle_acknowledgement(now, message, out);
    return out;
}

void failure_detector::handle_ping(gossip_datagram const& message, bool is_new_member,
                                   std::vector<outgoing_datagram>& out)
{
    auto const& sender = m_table.at(message.sender).record;
    send(datagram_kind::acknowledgement, sender, message.sequence, out);
    for (int i = 0; is_new_member && i < new_member_notices; ++i)
    {
        send(datagram_kind::notice, sender, 0, out);
        auto& notice = out.back().message;
        notice.members.resize(1);
        std::size_t room =
            maximum_datagram_bytes - maximum_header_size(notice) - maximum_encoded_size(m_self);
        add_rotating_records(notice, room, new_member_notice_records);
    }
}

void failure_detector::handle_ping_request(base::time_point now, gossip_datagram const& message,
                                           std::vector<outgoing_datagram>& out)
{
    auto const target = m_table.find(message.target);
    if (target == m_table.end() || m_relayed_probes.size() >= maximum_relayed_probes)
        return;
    m_relayed_probes[++m_sequence] = {message.sender, message.sequence,
                                      now + m_settings.probe_interval};
    send(datagram_kind::ping, target->second.record, m_sequence, out);
}

void failure_detector::handle_acknowledgement(base::time_point now, gossip_datagram const& message,
                                              std::vector<outgoing_datagram>& out)
{
    m_last_peer_contact = now;
    m_live_peers_at_last_contact = static_cast<std::size_t>(std::count_if(
        m_table.begin(), m_table.end(), [](auto const& entry) { return !entry.second.is_dead(); }));
    if (m_probe && m_probe->sequence == message.sequence)
    {
        m_probe->acknowledged = true;
        m_recovering_from_pause = false;
        auto const target = m_table.find(m_probe->target);
        // A leaving node is suspected only here, so its answer ends the suspicion here.
        if (target != m_table.end() && target->second.record.state != member_state::suspect)
            target->second.suspected_since.reset();
    }
    m_death_verifications.erase(message.sequence);
    auto const relayed = m_relayed_probes.find(message.sequence);
    if (relayed == m_relayed_probes.end())
        return;
    auto const requester = m_table.find(relayed->second.requester);
    if (requester != m_table.end())
        send(datagram_kind::acknowledgement, requester->second.record,
             relayed->second.requester_sequence, out);
    m_relayed_probes.erase(relayed);
}

void failure_detector::merge_record(base::time_point now, member_record const& received)
{
    if (received.node_id == m_self.node_id)
        return refute_if_contradicted(received);
    auto const found = m_table.find(received.node_id);
    bool const is_dead = received.state == member_state::dead;
    if (found == m_table.end())
    {
        // Unknown dead nodes stay unknown, so that forgotten ones do not return.
        if (is_dead)
            return;
        m_table[received.node_id].record = received;
    }
    else if (supersedes(received, found->second.record))
    {
        // After a partition each side brings its list of the other side's deaths. Believing a claim
        // about a node that is not even suspect here would declare every live node dead for a
        // while.
        if (m_settings.use_death_verification && is_dead && !found->second.suspected_since &&
            !found->second.is_dead() && received.incarnation == found->second.record.incarnation)
        {
            m_unverified_deaths.insert(received.node_id);
            return;
        }
        if (found->second.is_dead() && !is_dead)
        {
            m_returned_member = received.node_id;
            m_frequent_push_pull_until =
                std::max(m_frequent_push_pull_until, now + frequent_push_pull_duration);
        }
        found->second.record = received;
    }
    else
    {
        auto& held = found->second.record;
        if (received.incarnation == held.incarnation &&
            received.applied_revision > held.applied_revision)
        {
            held.applied_revision = received.applied_revision;
            m_update_queue.push(received.node_id, update_priority::revision);
        }
        return;
    }
    auto& known = m_table.at(received.node_id);
    known.suspected_since =
        received.state == member_state::suspect ? std::optional(now) : std::nullopt;
    known.dead_since = is_dead ? std::optional(now) : std::nullopt;
    known.locally_unreachable = false;
    m_update_queue.push(received.node_id, update_priority::state_change);
    // Departures are passed on at once; there are a few hundred a day in a fleet of 400.
    if (received.state >= member_state::leaving)
        m_gossip_due = true;
}

void failure_detector::refute_if_contradicted(member_record const& received)
{
    bool const accused = received.incarnation == m_self.incarnation &&
                         received.state != member_state::alive && received.state != m_self.state;
    if (accused || received.incarnation > m_self.incarnation)
        raise_incarnation(received.incarnation);
}

void failure_detector::add_crash_records(base::time_point now,
                                         std::vector<crash_record> const& records)
{
    for (auto const& record : records)
    {
        if (!m_crash_records.merge(now, record))
            continue;
        m_update_queue.push(crash_prefix + crash_record_set::make_key(record),
                            update_priority::state_change);
        m_gossip_due = true;
    }
}

void failure_detector::send(datagram_kind::type kind, member_record const& to,
                            std::int64_t sequence, std::vector<outgoing_datagram>& out,
                            std::string const& target)
{
    auto sent = make_notice(to);
    sent.message.kind = kind;
    sent.message.sequence = sequence;
    sent.message.sender_incarnation = m_self.incarnation;
    sent.message.members_hash = members_hash();
    if (kind == datagram_kind::ping_request)
        sent.message.target = target;
    add_piggybacked_records(sent.message, to);
    out.push_back(std::move(sent));
}

outgoing_datagram failure_detector::make_notice(member_record const& to) const
{
    outgoing_datagram made{to.host, to.gossip_port, {}};
    made.message.kind = datagram_kind::notice;
    made.message.sender = m_self.node_id;
    made.message.target = to.node_id;
    made.message.configuration_revision = m_configuration_revision;
    return made;
}

void failure_detector::add_piggybacked_records(gossip_datagram& message, member_record const& to)
{
    std::size_t room = maximum_datagram_bytes - maximum_header_size(message);
    auto add_member = [&](member_record const& record)
    {
        auto const bytes = maximum_encoded_size(record);
        if (bytes > room)
            return offer_result::full;
        room -= bytes;
        message.members.push_back(record);
        return offer_result::sent;
    };
    add_member(m_self);
    // Whoever is not taken for alive hears it first, so that it can refute.
    if (to.state == member_state::suspect || to.state == member_state::dead)
        add_member(to);
    // A deaf node does not pass on anything: it cannot hear the refutations.
    if (m_last_event_time && is_inbound_silent(*m_last_event_time))
        return;
    m_update_queue.offer_updates(transmission_limit(),
                                 [&](std::string const& key)
                                 {
                                     if (key.front() != crash_prefix)
                                         return add_member(m_table.at(key).record);
                                     auto const record =
                                         m_crash_records.find(*m_last_event_time, key.substr(1));
                                     if (!record)
                                         return offer_result::sent;
                                     auto const bytes = maximum_encoded_size(*record);
                                     if (bytes > room)
                                         return offer_result::full;
                                     room -= bytes;
                                     message.crashes.push_back(*record);
                                     return offer_result::sent;
                                 });
    if (message.members.size() <= rotating_records)
        add_rotating_records(message, room, rotating_records);
}

void failure_detector::add_rotating_records(gossip_datagram& message, std::size_t& room,
                                            std::size_t count)
{
    auto position = m_table.upper_bound(m_rotation_cursor);
    for (std::size_t i = 0; i < std::min(count, m_table.size()); ++i)
    {
        if (position == m_table.end())
            position = m_table.begin();
        auto const bytes = maximum_encoded_size(position->second.record);
        if (bytes > room)
            return;
        room -= bytes;
        message.members.push_back(position->second.record);
        m_rotation_cursor = position->first;
        ++position;
    }
}

} // namespace jasminepier::membership
