/// A node's copy of all configuration objects; merging never goes back.
#pragma once

#include "store/object.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace jasminepier::configuration
{

/// Keeps, per object, the highest version seen, deletions included. Merging takes the maximum of
/// each version, so stale, repeated and reordered messages change nothing. Not synchronized.
class versioned_store
{
public:
    /// Takes over every object that is newer than the one held. Returns true when any was.
    bool merge(std::span<store::object const> objects);

    /// The highest version merged; 0 when empty.
    std::int64_t revision() const noexcept { return m_revision; }

    /// The highest version merged of one kind, deletions included; 0 when there is none.
    std::int64_t kind_revision(std::string const& kind) const;

    /// Returns all objects with a version above `revision`, deletions included.
    std::vector<store::object> objects_newer_than(std::int64_t revision) const;

    /// Returns a hash of the versions of all objects of `kind` that are not deleted.
    std::uint64_t digest(std::string const& kind) const;

    /// Returns the object, or null when it is unknown or deleted.
    store::object const* find(std::string const& kind, std::string const& name) const;

    /// Calls `visit(object const&)` for every object that is not deleted.
    template <class Visit>
    void for_each(Visit&& visit) const
    {
        for (auto const& [key, held] : m_objects)
            if (!held.deleted)
                visit(held);
    }

    /// Calls `visit(object const&)` for every object, deletions included.
    template <class Visit>
    void for_each_with_deleted(Visit&& visit) const
    {
        for (auto const& [key, held] : m_objects)
            visit(held);
    }

private:
    std::map<std::pair<std::string, std::string>, store::object> m_objects;
    std::int64_t m_revision = 0;
};

} // namespace jasminepier::configuration
