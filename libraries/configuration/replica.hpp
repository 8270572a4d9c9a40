/// A node's copy of the configuration, with what it knows to be complete.
#pragma once

#include "configuration/versioned_store.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::configuration
{

/// The answer of a listing of one kind.
struct kind_listing
{
    std::string kind;
    store::object_page page;
};

/// Merges listings, watch pages and pages of peers so that nothing is missed and nothing reverts.
///
/// The highest version merged says nothing about gaps: a listing of several kinds takes several
/// reads, and a change between them is missing. The replica therefore keeps the version through
/// which it is complete and advertises only revisions up to it. Not synchronized.
class replica
{
public:
    /// Merges a listing of all kinds. Objects that a listing no longer contains were deleted.
    /// Returns true when anything changed.
    bool merge_listing(std::vector<kind_listing> const& listings);

    /// Merges the answer to a watch that began at `from`.
    bool merge_watch(std::int64_t from, store::object_page const& page);

    /// Merges a peer's objects since `since`; `revision` is the peer's confirmed revision. An
    /// object that is unknown here although this replica is complete beyond its version was
    /// deleted, and the peer does not know it yet.
    bool merge_peer(std::int64_t since, std::int64_t revision,
                    std::vector<store::object> const& objects);

    /// The highest version of an object up to which this replica is complete; 0 when it has none.
    std::int64_t confirmed_revision() const noexcept { return m_confirmed; }
    /// The version through which this replica is complete; a watch may start here.
    std::int64_t complete_through() const noexcept { return m_complete; }

    std::vector<store::object> objects_newer_than(std::int64_t revision) const
    {
        return m_store.objects_newer_than(revision);
    }
    versioned_store const& store() const noexcept { return m_store; }

private:
    void complete(std::int64_t version);
    void delete_absent(kind_listing const& listing, std::vector<store::object>& changes) const;

    versioned_store m_store;
    std::int64_t m_complete = 0;
    std::int64_t m_confirmed = 0;
};

} // namespace jasminepier::configuration
