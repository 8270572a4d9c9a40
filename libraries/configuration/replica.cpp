#include "configuration/replica.hpp"

#include <algorithm>
#include <set>

namespace jasminepier::configuration
{

bool replica::merge_listing(std::vector<kind_listing> const& listings)
{
    if (listings.empty())
        return false;
    std::vector<store::object> changes;
    std::int64_t oldest_version = listings.front().page.version;
    for (auto const& listing : listings)
    {
        oldest_version = std::min(oldest_version, listing.page.version);
        for (auto const& object : listing.page.objects)
            // A stale listing may contain objects whose deletion has already been merged.
            if (object.version > m_complete_through ||
                m_store.find(object.kind, object.name) != nullptr)
                changes.push_back(object);
        append_tombstones(listing, changes);
    }
    bool const changed = m_store.merge(changes);
    advance_complete_through(oldest_version);
    return changed;
}

void replica::append_tombstones(kind_listing const& listing,
                                std::vector<store::object>& changes) const
{
    std::set<std::string> present;
    for (auto const& object : listing.page.objects)
        present.insert(object.name);
    m_store.for_each(
        [&](store::object const& stored)
        {
            if (stored.kind != listing.kind || stored.version > listing.page.version ||
                present.contains(stored.name))
                return;
            auto tombstone = stored;
            // The version of the deletion is unknown; the listing's version is the lowest at which
            // the object is known to be deleted.
            tombstone.version = listing.page.version;
            tombstone.deleted = true;
            tombstone.value.clear();
            changes.push_back(std::move(tombstone));
        });
}

bool replica::merge_watch(std::int64_t from, store::object_page const& page)
{
    bool const changed = m_store.merge(page.objects);
    if (from <= m_complete_through)
        advance_complete_through(page.version);
    return changed;
}

bool replica::merge_peer(std::int64_t since_revision, std::int64_t peer_revision,
                         std::vector<store::object> const& objects)
{
    std::vector<store::object> accepted_objects;
    for (auto const& received : objects)
        if (received.version > m_complete_through ||
            m_store.find(received.kind, received.name) != nullptr)
            accepted_objects.push_back(received);
    bool const changed = m_store.merge(accepted_objects);
    if (since_revision <= m_complete_through)
        advance_complete_through(peer_revision);
    return changed;
}

void replica::advance_complete_through(std::int64_t version)
{
    m_complete_through = std::max(m_complete_through, version);
    if (m_store.revision() <= m_complete_through)
    {
        m_confirmed_revision = std::max(m_confirmed_revision, m_store.revision());
        return;
    }
    m_store.for_each_with_deleted(
        [&](store::object const& stored)
        {
            if (stored.version <= m_complete_through)
                m_confirmed_revision = std::max(m_confirmed_revision, stored.version);
        });
}

} // namespace jasminepier::configuration
