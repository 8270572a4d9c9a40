#include "base/hash.hpp"
#include "membership/failure_detector.hpp"

namespace jasminepier::membership
{
namespace
{

// While catching up, lists are exchanged this often as long as they differ.
constexpr base::milliseconds fast_exchange_interval{1500};
// Later, differences mostly come from updates still on their way; an asymmetric cut may keep lists
// different for long, and an exchange of 400 records takes about 60 KB.
constexpr base::milliseconds slow_exchange_interval{60000};
constexpr base::milliseconds difference_tolerated{15000};
// Claims checked per tick; after a partition between halves of a fleet of 400, each node has about
// 200 to check and shares the work with all others.
constexpr int checks_per_tick = 1;

} // namespace

void failure_detector::check_claims(base::time_point now, std::vector<outgoing>& out)
{
    for (auto position = m_claim_checks.begin(); position != m_claim_checks.end();)
    {
        if (position->second.expires > now)
        {
            ++position;
            continue;
        }
        accuse(now, position->second.target, out);
        position = m_claim_checks.erase(position);
    }
    for (int checked = 0; checked < checks_per_tick && !m_claims.empty();)
    {
        auto const id = *m_claims.begin();
        m_claims.erase(m_claims.begin());
        auto const found = m_table.find(id);
        if (found == m_table.end() || found->second.dead() || found->second.suspected)
            continue;
        // The node learns that it is taken for dead and refutes with its acknowledgement.
        auto claimed = found->second.record;
        claimed.state = member_state::dead;
        send(datagram_kind::ping, claimed, ++m_sequence, out);
        m_claim_checks[m_sequence] = {id, now + m_settings.ping_interval};
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
        if (!known.dead())
            sum += hash(known.record);
    // Six bytes tell lists apart well enough and keep the encoded value short.
    return static_cast<std::int64_t>(sum >> 16U);
}

void failure_detector::compare_members(base::time_point now, gossip_datagram const& message)
{
    if (message.members_hash == members_hash())
        m_differs_since.reset();
    else if (!m_differs_since)
        m_differs_since = now;
}

std::optional<member_record> failure_detector::next_exchange(base::time_point now)
{
    if (!m_settings.use_exchanges || now < m_next_exchange || m_table.empty())
        return std::nullopt;
    bool const fast = now < m_catching_up_until;
    bool const wanted =
        m_returned || (m_differs_since && (fast || now - *m_differs_since > difference_tolerated));
    if (!wanted)
        return std::nullopt;
    // Preference for a returned node carries the lists across a healed partition.
    auto const chosen = m_returned ? std::vector<std::string>{*m_returned} : random_live(1, {});
    m_returned.reset();
    auto const interval = fast ? fast_exchange_interval : slow_exchange_interval;
    m_next_exchange = now + interval +
                      base::milliseconds(m_random() % static_cast<std::uint64_t>(interval.count()));
    if (chosen.empty() || !m_table.contains(chosen.front()))
        return std::nullopt;
    return m_table.at(chosen.front()).record;
}

std::vector<member_record> failure_detector::exchange(base::time_point now,
                                                      std::vector<member_record> const& received)
{
    for (auto const& record : received)
        merge(now, record);
    std::vector<member_record> known{m_self};
    known.reserve(m_table.size() + 1);
    for (auto const& [id, held] : m_table)
        known.push_back(held.record);
    return known;
}

} // namespace jasminepier::membership
