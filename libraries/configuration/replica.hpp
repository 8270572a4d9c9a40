/// A node's copy of the configuration that tracks the revision up to which it has no gaps.
#pragma once

#include "configuration/versioned_store.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::configuration
{

/// The objects of one kind, as the platform listed them.
struct kind_listing
{
    std::string kind;
    store::object_page page;
};

/// Merges listings, watch pages and peers' pages without missing a change or reverting one.
///
/// The highest merged version says nothing about gaps: a listing of several kinds takes several
/// reads, and a change between two reads can be missing. The replica therefore tracks the version
/// through which it is complete and advertises only revisions up to it. Not thread-safe.
class replica
{
public:
    /// Merges a listing of all kinds. Objects that a listing no longer contains are marked as
    /// deleted. Returns true if anything changed.
    bool merge_listing(std::vector<kind_listing> const& listings);

    /// Merges the response to a watch that started at version `from`. Returns true if anything
    /// changed.
    bool merge_watch(std::int64_t from, store::object_page const& page);

    /// Merges a peer's objects that are newer than `since_revision`; `peer_revision` is the peer's
    /// confirmed revision. Skips objects that are missing here although this replica is complete
    /// through their version: they were deleted, and the peer hasn't received the deletion yet.
    /// Returns true if anything changed.
    bool merge_peer(std::int64_t since_revision, std::int64_t peer_revision,
                    std::vector<store::object> const& objects);

    /// The highest version of a stored object that is at most complete_through(); 0 if there is
    /// none.
    std::int64_t confirmed_revision() const noexcept { return m_confirmed_revision; }
    /// The version through which this replica is complete; a watch may start from it.
    std::int64_t complete_through() const noexcept { return m_complete_through; }

    std::vector<store::object> objects_newer_than(std::int64_t revision) const
    {
        return m_store.objects_newer_than(revision);
    }
    versioned_store const& store() const noexcept { return m_store; }

private:
    void advance_complete_through(std::int64_t version);
    void append_tombstones(kind_listing const& listing, std::vector<store::object>& changes) const;

    versioned_store m_store;
    std::int64_t m_complete_through = 0;
    std::int64_t m_confirmed_revision = 0;
};

} // namespace jasminepier::configuration
