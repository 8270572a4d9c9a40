#include "membership/failure_detector.hpp"

#include <algorithm>

namespace jasminepier::membership
{
namespace
{

// Records of other nodes that ride along in spare room, in turn through the whole table. They
// repair what loss or a partition kept from a node after the updates themselves have stopped
// travelling.
constexpr std::size_t rotation_records = 3;
// Notices that a newcomer receives with the first acknowledgement.
constexpr int newcomer_notices = 4;
constexpr std::size_t newcomer_records = 12;
// Time of frequent list exchanges after a dead node has returned.
constexpr base::milliseconds catching_up{30000};
// Relayed pings remembered; each lives for one ping interval.
constexpr std::size_t maximum_relays = 256;
// Prefix that keeps crash records apart from members in the update queue.
constexpr char crash_prefix = '!';

} // namespace

std::vector<outgoing> failure_detector::receive(base::time_point now,
                                                gossip_datagram const& message)
{
    std::vector<outgoing> out;
    observe_time(now);
    bool const for_other = message.kind != datagram_kind::ping_request && !message.target.empty() &&
                           message.target != m_self.node_id;
    // An address may have passed on to a new node; answering for the old one would keep it alive.
    if (for_other || message.sender.empty() || message.sender == m_self.node_id)
        return out;
    if (deaf(now))
        for (auto& [id, known] : m_table)
        {
            known.unreachable_here = false;
            known.suspected =
                known.record.state == member_state::suspect ? std::optional(now) : std::nullopt;
        }
    m_last_heard = now;
    bool const newcomer = !m_table.contains(message.sender);
    for (auto const& record : message.members)
        merge(now, record);
    add_crashes(now, message.crashes);
    compare_members(now, message);
    if (!m_table.contains(message.sender))
        return out;
    if (message.kind == datagram_kind::ping)
        handle_ping(message, newcomer, out);
    if (message.kind == datagram_kind::ping_request)
        handle_ping_request(now, message, out);
    if (message.kind == datagram_kind::acknowledgement)
        handle_acknowledgement(now, message, out);
    return out;
}

void failure_detector::handle_ping(gossip_datagram const& message, bool newcomer,
                                   std::vector<outgoing>& out)
{
    auto const& sender = m_table.at(message.sender).record;
    send(datagram_kind::acknowledgement, sender, message.sequence, out);
    for (int i = 0; newcomer && i < newcomer_notices; ++i)
    {
        send(datagram_kind::notice, sender, 0, out);
        auto& notice = out.back().message;
        notice.members.resize(1);
        std::size_t room = maximum_datagram_bytes - header_size(notice) - wire_size(m_self);
        fill_rotation(notice, room, newcomer_records);
    }
}

void failure_detector::handle_ping_request(base::time_point now, gossip_datagram const& message,
                                           std::vector<outgoing>& out)
{
    auto const target = m_table.find(message.target);
    if (target == m_table.end() || m_relays.size() >= maximum_relays)
        return;
    m_relays[++m_sequence] = {message.sender, message.sequence, now + m_settings.ping_interval};
    send(datagram_kind::ping, target->second.record, m_sequence, out);
}

void failure_detector::handle_acknowledgement(base::time_point now, gossip_datagram const& message,
                                              std::vector<outgoing>& out)
{
    m_last_contact = now;
    m_live_at_contact = static_cast<std::size_t>(std::count_if(
        m_table.begin(), m_table.end(), [](auto const& entry) { return !entry.second.dead(); }));
    if (m_probe && m_probe->sequence == message.sequence)
    {
        m_probe->answered = true;
        m_recovering = false;
        auto const target = m_table.find(m_probe->target);
        // A leaving node is suspected only here, so its answer ends the suspicion here.
        if (target != m_table.end() && target->second.record.state != member_state::suspect)
            target->second.suspected.reset();
    }
    m_claim_checks.erase(message.sequence);
    auto const relayed = m_relays.find(message.sequence);
    if (relayed == m_relays.end())
        return;
    auto const requester = m_table.find(relayed->second.requester);
    if (requester != m_table.end())
        send(datagram_kind::acknowledgement, requester->second.record,
             relayed->second.requester_sequence, out);
    m_relays.erase(relayed);
}

void failure_detector::merge(base::time_point now, member_record const& received)
{
    if (received.node_id == m_self.node_id)
        return merge_self(received);
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
        if (m_settings.use_claim_checks && is_dead && !found->second.suspected &&
            !found->second.dead() && received.incarnation == found->second.record.incarnation)
        {
            m_claims.insert(received.node_id);
            return;
        }
        if (found->second.dead() && !is_dead)
        {
            m_returned = received.node_id;
            m_catching_up_until = std::max(m_catching_up_until, now + catching_up);
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
            m_queue.push(received.node_id, update_urgency::revision);
        }
        return;
    }
    auto& known = m_table.at(received.node_id);
    known.suspected = received.state == member_state::suspect ? std::optional(now) : std::nullopt;
    known.died = is_dead ? std::optional(now) : std::nullopt;
    known.unreachable_here = false;
    m_queue.push(received.node_id, update_urgency::state_change);
    // Departures are passed on at once; there are a few hundred a day in a fleet of 400.
    if (received.state >= member_state::leaving)
        m_announce = true;
}

void failure_detector::merge_self(member_record const& received)
{
    bool const accused = received.incarnation == m_self.incarnation &&
                         received.state != member_state::alive && received.state != m_self.state;
    if (accused || received.incarnation > m_self.incarnation)
        raise_incarnation(received.incarnation);
}

void failure_detector::add_crashes(base::time_point now, std::vector<crash_record> const& records)
{
    for (auto const& record : records)
    {
        if (!m_crashes.merge(now, record))
            continue;
        m_queue.push(crash_prefix + crash_set::key_of(record), update_urgency::state_change);
        m_announce = true;
    }
}

void failure_detector::send(datagram_kind::type kind, member_record const& to,
                            std::int64_t sequence, std::vector<outgoing>& out,
                            std::string const& target)
{
    auto sent = make_notice(to);
    sent.message.kind = kind;
    sent.message.sequence = sequence;
    if (kind == datagram_kind::ping_request)
        sent.message.target = target;
    fill(sent.message, to);
    out.push_back(std::move(sent));
}

outgoing failure_detector::make_notice(member_record const& to) const
{
    outgoing made{to.host, to.gossip_port, {}};
    made.message.kind = datagram_kind::notice;
    made.message.sender = m_self.node_id;
    made.message.target = to.node_id;
    made.message.configuration_revision = m_configuration_revision;
    made.message.sender_incarnation = m_self.incarnation;
    made.message.members_hash = members_hash();
    return made;
}

void failure_detector::fill(gossip_datagram& message, member_record const& to)
{
    std::size_t room = maximum_datagram_bytes - header_size(message);
    auto add_member = [&](member_record const& record)
    {
        auto const bytes = wire_size(record);
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
    if (m_last_time && deaf(*m_last_time))
        return;
    m_queue.take(send_limit(),
                 [&](std::string const& key)
                 {
                     if (key.front() != crash_prefix)
                         return add_member(m_table.at(key).record);
                     auto const record = m_crashes.find(*m_last_time, key.substr(1));
                     if (!record)
                         return offer_result::sent;
                     auto const bytes = wire_size(*record);
                     if (bytes > room)
                         return offer_result::full;
                     room -= bytes;
                     message.crashes.push_back(*record);
                     return offer_result::sent;
                 });
    if (message.members.size() <= rotation_records)
        fill_rotation(message, room, rotation_records);
}

void failure_detector::fill_rotation(gossip_datagram& message, std::size_t& room, std::size_t count)
{
    auto position = m_table.upper_bound(m_rotation);
    for (std::size_t i = 0; i < std::min(count, m_table.size()); ++i)
    {
        if (position == m_table.end())
            position = m_table.begin();
        auto const bytes = wire_size(position->second.record);
        if (bytes > room)
            return;
        room -= bytes;
        message.members.push_back(position->second.record);
        m_rotation = position->first;
        ++position;
    }
}

} // namespace jasminepier::membership
