#include "membership/failure_detector.hpp"

#include <algorithm>

namespace jasminepier::membership
{
namespace
{

// Records of other nodes that fill the remaining room of a datagram, round-robin over the table.
// They repair what a node missed through loss or a partition after an update has reached its
// transmission limit.
constexpr std::size_t rotating_records = 3;
// Notices sent to a new member after the first acknowledgement.
constexpr int new_member_notices = 4;
constexpr std::size_t new_member_notice_records = 12;
// Period of frequent push-pull exchanges after a dead node has returned.
constexpr base::milliseconds frequent_push_pull_duration{30000};
// Pending relayed probes; each expires after one probe interval.
constexpr std::size_t maximum_relayed_probes = 256;
// Distinguishes the keys of crash records from node ids in the update queue.
constexpr char crash_prefix = '!';

} // namespace

std::vector<outgoing_datagram> failure_detector::receive(base::time_point now,
                                                         gossip_datagram const& message)
{
    std::vector<outgoing_datagram> out;
    advance_clock(now);
    bool const addressed_to_other_node = message.kind != datagram_kind::ping_request &&
                                         !message.target.empty() &&
                                         message.target != m_self.node_id;
    // This address may have belonged to another node before; an acknowledgement in its name would
    // keep it alive.
    if (addressed_to_other_node || message.sender.empty() || message.sender == m_self.node_id)
        return out;
    if (is_inbound_silent(now))
        for (auto& [id, member] : m_table)
        {
            member.locally_unreachable = false;
            member.suspected_since =
                member.record.state == member_state::suspect ? std::optional(now) : std::nullopt;
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
    for (int sent_notices = 0; is_new_member && sent_notices < new_member_notices; ++sent_notices)
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
        // A suspicion that isn't in the gossiped record, such as that of a leaving node, is local,
        // so the node's acknowledgement ends the suspicion.
        if (target != m_table.end() && target->second.record.state != member_state::suspect)
            target->second.suspected_since.reset();
    }
    m_death_verifications.erase(message.sequence);
    auto const pending = m_relayed_probes.find(message.sequence);
    if (pending == m_relayed_probes.end())
        return;
    auto const requester = m_table.find(pending->second.requester);
    if (requester != m_table.end())
        send(datagram_kind::acknowledgement, requester->second.record,
             pending->second.requester_sequence, out);
    m_relayed_probes.erase(pending);
}

void failure_detector::merge_record(base::time_point now, member_record const& received)
{
    if (received.node_id == m_self.node_id)
        return refute_if_contradicted(received);
    auto const found = m_table.find(received.node_id);
    bool const is_dead = received.state == member_state::dead;
    if (found == m_table.end())
    {
        // Adding unknown dead nodes would bring back those that were already removed.
        if (is_dead)
            return;
        m_table[received.node_id].record = received;
    }
    else if (supersedes(received, found->second.record))
    {
        // After a partition has healed, each side reports the other side's nodes as dead. Accepting
        // such a report about a node that isn't even suspect here would declare every live node
        // dead for a while, so this node probes it first.
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
        auto& current = found->second.record;
        if (received.incarnation == current.incarnation &&
            received.applied_revision > current.applied_revision)
        {
            current.applied_revision = received.applied_revision;
            m_update_queue.push(received.node_id, update_priority::revision);
        }
        return;
    }
    auto& member = m_table.at(received.node_id);
    member.suspected_since =
        received.state == member_state::suspect ? std::optional(now) : std::nullopt;
    member.dead_since = is_dead ? std::optional(now) : std::nullopt;
    member.locally_unreachable = false;
    m_update_queue.push(received.node_id, update_priority::state_change);
    // Departures are gossiped immediately; a fleet of 400 has a few hundred a day.
    if (received.state >= member_state::leaving)
        m_gossip_due = true;
}

void failure_detector::refute_if_contradicted(member_record const& received)
{
    bool const contradicted = received.incarnation == m_self.incarnation &&
                              received.state != member_state::alive &&
                              received.state != m_self.state;
    if (contradicted || received.incarnation > m_self.incarnation)
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

void failure_detector::send(datagram_kind::type kind, member_record const& recipient,
                            std::int64_t sequence, std::vector<outgoing_datagram>& out,
                            std::string const& target)
{
    auto datagram = make_notice(recipient);
    datagram.message.kind = kind;
    datagram.message.sequence = sequence;
    datagram.message.sender_incarnation = m_self.incarnation;
    datagram.message.members_hash = members_hash();
    if (kind == datagram_kind::ping_request)
        datagram.message.target = target;
    add_piggybacked_records(datagram.message, recipient);
    out.push_back(std::move(datagram));
}

outgoing_datagram failure_detector::make_notice(member_record const& recipient) const
{
    outgoing_datagram datagram{recipient.host, recipient.gossip_port, {}};
    datagram.message.kind = datagram_kind::notice;
    datagram.message.sender = m_self.node_id;
    datagram.message.target = recipient.node_id;
    datagram.message.configuration_revision = m_configuration_revision;
    return datagram;
}

void failure_detector::add_piggybacked_records(gossip_datagram& message,
                                               member_record const& recipient)
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
    // A suspected or dead recipient receives its own record first, so that it can refute it.
    if (recipient.state == member_state::suspect || recipient.state == member_state::dead)
        add_member(recipient);
    // Without inbound traffic this node would not receive refutations, so it spreads no updates.
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
    for (std::size_t added = 0; added < std::min(count, m_table.size()); ++added)
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
