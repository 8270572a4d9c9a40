#include "base/hash.hpp"
#include "membership/failure_detector.hpp"

namespace jasminepier::membership
{
namespace
{

// While catching up, lists are exchanged this often as long as they differ.
constexpr base::milliseconds short_push_pull_interval{1500};
// Later, differences mostly come from updates still on their way; an asymmetric cut may keep lists
// different for long, and an exchange of 400 records takes about 60 KB.
constexpr base::milliseconds long_push_pull_interval{60000};
constexpr base::milliseconds difference_tolerance{15000};
// Claims checked per tick; after a partition between halves of a fleet of 400, each node has about
// 200 to check and shares the work with all others.
constexpr int verifications_per_tick = 1;

} // namespace

void failure_detector::verify_reported_deaths(base::time_point now,
                                              std::vector<outgoing_datagram>& out)
{
    for (auto position = m_death_verifications.begin(); position != m_death_verifications.end();)
    {
        if (position->second.expires > now)
        {
            ++position;
            continue;
        }
        start_suspicion(now, position->second.target, out);
        position = m_death_verifications.erase(position);
    }
    for (int checked = 0; checked < verifications_per_tick && !m_unverified_deaths.empty();)
    {
        auto const id = *m_unverified_deaths.begin();
        m_unverified_deaths.erase(m_unverified_deaths.begin());
        auto const found = m_table.find(id);
        if (found == m_table.end() || found->second.is_dead() || found->second.suspected_since)
            continue;
        // The node learns that it is taken for dead and refutes with its acknowledgement.
        auto claimed = found->second.record;
        claimed.state = member_state::dead;
        send(datagram_kind::ping, claimed, ++m_sequence, out);
        m_death_verifications[m_sequence] = {id, now + m_settings.probe_interval};
        ++checked;
    }
}

std::int64_t failure_detector::members_hash() const
{
    auto const hash = [](member_record const& record)
    {
        return base::mix64(base::stable_hash(record.node_id) +
                           static_cast<std::uint64_t>(record.incarnation));
    };
    std::uint64_t sum = hash(m_self);
    for (auto const& [id, known] : m_table)
        if (!known.is_dead())
            sum += hash(known.record);
    // Six bytes tell lists apart well enough and keep the encoded value short.
    return static_cast<std::int64_t>(sum >> 16U) | 1;
}

void failure_detector::compare_member_lists(base::time_point now, gossip_datagram const& message)
{
    // Notices that carry only loads leave the hash out, since they make up most of the traffic.
    if (message.members_hash == 0)
        return;
    if (message.members_hash == members_hash())
        m_lists_differ_since.reset();
    else if (!m_lists_differ_since)
        m_lists_differ_since = now;
}

std::optional<member_record> failure_detector::next_push_pull_peer(base::time_point now)
{
    if (!m_settings.use_push_pull || now < m_next_push_pull || m_table.empty())
        return std::nullopt;
    bool const fast = now < m_frequent_push_pull_until;
    bool const wanted =
        m_returned_member ||
        (m_lists_differ_since && (fast || now - *m_lists_differ_since > difference_tolerance));
    if (!wanted)
        return std::nullopt;
    // Preference for a returned node carries the lists across a healed partition.
    auto const chosen = m_returned_member ? std::vector<std::string>{*m_returned_member}
                                          : random_live_members(1, {});
    m_returned_member.reset();
    auto const interval = fast ? short_push_pull_interval : long_push_pull_interval;
    m_next_push_pull =
        now + interval +
        base::milliseconds(m_random() % static_cast<std::uint64_t>(interval.count()));
    if (chosen.empty() || !m_table.contains(chosen.front()))
        return std::nullopt;
    return m_table.at(chosen.front()).record;
}

std::vector<member_record> failure_detector::push_pull(base::time_point now,
                                                       std::vector<member_record> const& received)
{
    for (auto const& record : received)
        merge_record(now, record);
    std::vector<member_record> known{m_self};
    known.reserve(m_table.size() + 1);
    for (auto const& [id, held] : m_table)
        known.push_back(held.record);
    return known;
}

} // namespace jasminepier::membership
