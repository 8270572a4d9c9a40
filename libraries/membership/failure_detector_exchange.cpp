#include "base/hash.hpp"
#include "membership/failure_detector.hpp"

namespace jasminepier::membership
{
namespace
{

// Applies after the start and after a dead node has returned, while the lists differ.
constexpr base::milliseconds short_push_pull_interval{1500};
// Later, most differences are updates still in dissemination. An asymmetric partition can keep
// lists different for long, and a push-pull exchange of 400 records transfers about 60 KB.
constexpr base::milliseconds long_push_pull_interval{60000};
constexpr base::milliseconds difference_tolerance{15000};
// After a partition between two halves of a fleet of 400, each node has about 200 reported deaths
// to verify and shares the work with all others.
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
    for (int probes_sent = 0; probes_sent < verifications_per_tick && !m_unverified_deaths.empty();)
    {
        auto const id = *m_unverified_deaths.begin();
        m_unverified_deaths.erase(m_unverified_deaths.begin());
        auto const found = m_table.find(id);
        if (found == m_table.end() || found->second.is_dead() || found->second.suspected_since)
            continue;
        // The ping carries the report of its death, which the node refutes with its
        // acknowledgement.
        auto reported = found->second.record;
        reported.state = member_state::dead;
        send(datagram_kind::ping, reported, ++m_sequence, out);
        m_death_verifications[m_sequence] = {id, now + m_settings.probe_interval};
        ++probes_sent;
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
    for (auto const& [id, member] : m_table)
        if (!member.is_dead())
            sum += hash(member.record);
    // Six bytes distinguish lists well enough and keep the encoded value short.
    return static_cast<std::int64_t>(sum >> 16U) | 1;
}

void failure_detector::compare_member_lists(base::time_point now, gossip_datagram const& message)
{
    // Notices that carry only loads omit the hash, since they make up most of the traffic.
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
    bool const frequent = now < m_frequent_push_pull_until;
    bool const is_due =
        m_returned_member ||
        (m_lists_differ_since && (frequent || now - *m_lists_differ_since > difference_tolerance));
    if (!is_due)
        return std::nullopt;
    // Preferring a returned member carries the lists across a healed partition.
    auto const selected_ids = m_returned_member ? std::vector<std::string>{*m_returned_member}
                                                : random_live_members(1, {});
    m_returned_member.reset();
    auto const interval = frequent ? short_push_pull_interval : long_push_pull_interval;
    m_next_push_pull =
        now + interval +
        base::milliseconds(m_random() % static_cast<std::uint64_t>(interval.count()));
    if (selected_ids.empty() || !m_table.contains(selected_ids.front()))
        return std::nullopt;
    return m_table.at(selected_ids.front()).record;
}

std::vector<member_record> failure_detector::push_pull(base::time_point now,
                                                       std::vector<member_record> const& received)
{
    for (auto const& record : received)
        merge_record(now, record);
    std::vector<member_record> local_records{m_self};
    local_records.reserve(m_table.size() + 1);
    for (auto const& [id, member] : m_table)
        local_records.push_back(member.record);
    return local_records;
}

} // namespace jasminepier::membership
