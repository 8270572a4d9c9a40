/// A node's copy of the configuration objects, merged by version.
#pragma once

#include "store/object.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace jasminepier::configuration
{

/// Keeps the newest received version of each object; deletions stay as tombstones. Merging keeps
/// the higher version of each object, so stale, repeated and reordered messages never revert
/// anything. Not thread-safe.
class versioned_store
{
public:
    /// Stores every object whose version is higher than the stored one. Returns true if any was.
    bool merge(std::span<store::object const> objects);

    /// The highest version of all objects, tombstones included; 0 if the store is empty.
    std::int64_t revision() const noexcept { return m_revision; }

    /// The highest version of the objects of `kind`, tombstones included; 0 if there are none.
    std::int64_t kind_revision(std::string const& kind) const;

    /// Records that the store holds every object of `kind` as of `revision`, as after a list.
    void record_complete(std::string const& kind, std::int64_t revision);

    /// The revision up to which no change of `kind` is missing; 0 if it was never listed. Objects
    /// that peers send may be newer.
    std::int64_t complete_revision(std::string const& kind) const;

    /// Returns all objects with a version above `revision`, tombstones included.
    std::vector<store::object> objects_newer_than(std::int64_t revision) const;

    /// Returns a hash of the names and versions of all objects of `kind` that are not deleted. The
    /// hash doesn't depend on the order in which they were merged.
    std::uint64_t digest(std::string const& kind) const;

    /// Returns null if the object is unknown or deleted.
    store::object const* find(std::string const& kind, std::string const& name) const;

    /// Calls `visit(object const&)` for every object that is not deleted.
    template <class Visit>
    void for_each(Visit&& visit) const
    {
        for (auto const& [key, stored] : m_objects)
            if (!stored.deleted)
                visit(stored);
    }

    /// Calls `visit(object const&)` for every object, tombstones included.
    template <class Visit>
    void for_each_with_deleted(Visit&& visit) const
    {
        for (auto const& [key, stored] : m_objects)
            visit(stored);
    }

private:
    std::map<std::pair<std::string, std::string>, store::object> m_objects;
    std::map<std::string, std::int64_t> m_complete_revisions;
    std::int64_t m_revision = 0;
};

} // namespace jasminepier::configuration
