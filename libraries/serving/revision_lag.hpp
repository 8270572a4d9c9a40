/// Since when a node lacks the newest version of some objects, and when it reads them from the
/// store.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::serving
{

/// Compares the revision that a node holds of a kind of object with the newest one that it has
/// heard of. A revision counts as missing until the node holds it or has read the store after it
/// heard of it, whether or not the peer that reported it is still alive. Not synchronized.
class revision_lag
{
public:
    /// Time without a missing revision after which a node reads the store itself. Pulls from peers
    /// usually end within 0.8 s, and a read takes up to 0.3 s more, so both fit into the 2 s in
    /// which a configuration must be applied.
    static constexpr base::milliseconds store_read_delay{1200};
    static constexpr base::milliseconds initial_store_read_interval{500};
    static constexpr base::milliseconds maximum_store_read_interval{2000};

    /// Records that the node holds all changes up to `held`, and has heard of `known`.
    void update(std::int64_t held, std::int64_t known, base::time_point now)
    {
        m_held = std::max(m_held, held);
        m_known = std::max(m_known, known);
        auto const newest_recorded = m_missing.empty() ? m_held : m_missing.back().revision;
        if (m_known > std::max({newest_recorded, m_held, m_confirmed}))
        {
            if (m_missing.size() < maximum_recorded_revisions)
                m_missing.push_back({m_known, now});
            else
                m_missing.back().revision = m_known;
        }
        drop_obtained();
    }

    bool is_behind() const noexcept { return !m_missing.empty(); }
    std::int64_t held() const noexcept { return m_held; }
    std::int64_t known() const noexcept { return m_known; }
    /// Revisions up to this one are not missing, since the node holds them or has read the store.
    std::int64_t checked() const noexcept { return std::max(m_held, m_confirmed); }
    /// Time at which the node heard of the oldest missing revision; nothing if none is missing.
    std::optional<base::time_point> behind_since() const noexcept
    {
        return m_missing.empty() ? std::nullopt : std::optional(m_missing.front().heard);
    }

    /// True if the node should read the objects from the store.
    bool store_read_due(base::time_point now) const noexcept
    {
        return !m_missing.empty() && now >= m_missing.front().heard + store_read_delay &&
               now >= m_next_store_read;
    }
    void record_store_read_start(base::time_point now) noexcept
    {
        m_known_at_read_start = m_known;
        m_next_store_read = now + m_store_read_interval;
        m_store_read_interval = std::min(m_store_read_interval * 2, maximum_store_read_interval);
    }
    /// Records that the last read succeeded, so that nothing heard of before it is missing.
    void record_store_read_success() noexcept
    {
        m_confirmed = std::max(m_confirmed, m_known_at_read_start);
        drop_obtained();
    }

    void record_asked_peer(std::string const& name)
    {
        if (std::find(m_asked_peers.begin(), m_asked_peers.end(), name) == m_asked_peers.end() &&
            m_asked_peers.size() < maximum_recorded_peers)
            m_asked_peers.push_back(name);
    }
    /// The peers asked since the node fell behind, at most 8.
    std::vector<std::string> const& asked_peers() const noexcept { return m_asked_peers; }

private:
    static constexpr std::size_t maximum_recorded_revisions = 64;
    static constexpr std::size_t maximum_recorded_peers = 8;

    struct missing_revision
    {
        std::int64_t revision;
        base::time_point heard;
    };

    void drop_obtained() noexcept
    {
        while (!m_missing.empty() && m_missing.front().revision <= std::max(m_held, m_confirmed))
            m_missing.pop_front();
        if (!m_missing.empty())
            return;
        m_asked_peers.clear();
        m_store_read_interval = initial_store_read_interval;
    }

    std::deque<missing_revision> m_missing;
    std::int64_t m_held = 0;
    std::int64_t m_known = 0;
    /// Revisions up to this one are known not to be missing, since the store was read after them.
    std::int64_t m_confirmed = 0;
    std::int64_t m_known_at_read_start = 0;
    base::time_point m_next_store_read{};
    base::milliseconds m_store_read_interval = initial_store_read_interval;
    std::vector<std::string> m_asked_peers;
};

} // namespace jasminepier::serving
