/// Queue of updates to piggyback on datagrams; updates with the fewest transmissions come first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace jasminepier::membership
{

enum class update_priority
{
    /// A change of state or a new crash record. It starts with a transmission count of 0, so
    /// it precedes all updates that have been sent before.
    state_change,
    /// Only a new applied revision. At 2,600 configuration changes a day, 400 nodes produce 12 of
    /// these a second, so they must not delay state changes.
    revision,
};

/// Result of offering an update for transmission.
enum class offer_result
{
    sent,
    skipped,
    /// The datagram has no room for this update; the offers end.
    full,
};

/// Keeps one update per key. A new update of the same key restarts its transmission count.
class update_queue
{
public:
    void push(std::string const& key, update_priority priority);
    void erase(std::string const& key);

    /// Calls `offer(key)` in order until it returns `full`. Drops an update after
    /// `maximum_transmissions` transmissions.
    template <class Offer>
    void offer_updates(int maximum_transmissions, Offer&& offer)
    {
        std::set<entry> transmitted;
        for (auto position = m_updates.begin(); position != m_updates.end();)
        {
            auto const outcome = offer(std::get<2>(*position));
            if (outcome == offer_result::full)
                break;
            if (outcome == offer_result::skipped)
            {
                ++position;
                continue;
            }
            auto node = m_updates.extract(position++);
            ++std::get<0>(node.value());
            transmitted.insert(std::move(node));
        }
        for (auto& update : transmitted)
            reinsert(update, maximum_transmissions);
    }

    std::size_t size() const noexcept { return m_updates.size(); }

private:
    /// Transmissions (including the initial count of low-priority updates), sequence number, key.
    using entry = std::tuple<int, std::uint64_t, std::string>;
    void reinsert(entry const& update, int maximum_transmissions);

    std::set<entry> m_updates;
    std::map<std::string, std::pair<int, std::uint64_t>> m_positions;
    std::uint64_t m_last_sequence = 0;
};

} // namespace jasminepier::membership
