/// Which software versions may have begun a service's streams that can still be taken up.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jasminepier::serving
{

/// The versions of one service that a node has seen within a window, in which every stream ends
/// that one of them began. A node that has just started hasn't seen the versions that have left
/// before, so it needs the record in the store, or its own observation of a whole window. Not
/// synchronized.
class service_version_history
{
public:
    /// Lower limit of the window, since callers' deadlines may exceed a route's timeout that was
    /// shortened.
    static constexpr base::milliseconds minimum_window{30000};

    /// Extends the window; it never becomes shorter, since streams of earlier configurations may
    /// still run.
    void extend_window(base::milliseconds window) noexcept
    {
        m_window = std::max(m_window, window);
    }
    base::milliseconds window() const noexcept { return m_window; }

    /// Records that a server of this version is listed.
    void record_listed(std::string_view version, base::time_point now)
    {
        if (!m_observed_since)
            m_observed_since = now;
        record_seen(version, now);
    }
    /// Records the versions that the store names.
    void record_stored(std::set<std::string> const& versions, base::time_point now)
    {
        for (auto const& version : versions)
            if (!m_last_seen.contains(version))
                record_seen(version, now);
        m_stored = versions;
    }
    /// Records that the store may no longer name what it did.
    void forget_stored() noexcept { m_stored.reset(); }
    std::optional<std::set<std::string>> const& stored() const noexcept { return m_stored; }

    /// Forgets versions that have not been seen within the window.
    void expire(base::time_point now)
    {
        std::erase_if(m_last_seen, [&](auto const& item) { return now >= item.second + m_window; });
    }
    /// The versions that the store should name; call `expire` before.
    std::set<std::string> versions() const
    {
        std::set<std::string> names;
        for (auto const& [version, time] : m_last_seen)
            names.insert(version);
        return names;
    }
    /// Returns the version that began every stream which can be taken up; nothing if several may
    /// have, or if the node can't know.
    std::optional<std::string_view> find_only_version(base::time_point now) const
    {
        bool const observed_window = m_observed_since && now >= *m_observed_since + m_window;
        if (!m_observed_since || !(m_stored || observed_window))
            return std::nullopt;
        std::optional<std::string_view> only;
        for (auto const& [version, time] : m_last_seen)
        {
            if (now >= time + m_window)
                continue;
            if (only)
                return std::nullopt;
            only = version;
        }
        return only;
    }

private:
    void record_seen(std::string_view version, base::time_point now)
    {
        auto const [found, added] = m_last_seen.try_emplace(std::string(version), now);
        found->second = now;
    }

    base::milliseconds m_window = minimum_window;
    std::map<std::string, base::time_point, std::less<>> m_last_seen;
    std::optional<base::time_point> m_observed_since;
    /// What the store named when this node last read or wrote it; nothing if it named none.
    std::optional<std::set<std::string>> m_stored;
};

} // namespace jasminepier::serving
