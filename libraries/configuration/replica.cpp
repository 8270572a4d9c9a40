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
    std::int64_t oldest = listings.front().page.version;
    for (auto const& listing : listings)
    {
        oldest = std::min(oldest, listing.page.version);
        for (auto const& listed : listing.page.objects)
            // A stale listing may contain objects whose deletion this replica has seen.
            if (listed.version > m_complete || m_store.find(listed.kind, listed.name) != nullptr)
                changes.push_back(listed);
        delete_absent(listing, changes);
    }
    bool const changed = m_store.merge(changes);
    complete(oldest);
    return changed;
}

void replica::delete_absent(kind_listing const& listing, std::vector<store::object>& changes) const
{
    std::set<std::string> present;
    for (auto const& listed : listing.page.objects)
        present.insert(listed.name);
    m_store.for_each(
        [&](store::object const& held)
        {
            if (held.kind != listing.kind || held.version > listing.page.version ||
                present.contains(held.name))
                return;
            auto tombstone = held;
            // The version of the deletion is unknown; the listing's is the first that is certain.
            tombstone.version = listing.page.version;
            tombstone.deleted = true;
            tombstone.value.clear();
            changes.push_back(std::move(tombstone));
        });
}

bool replica::merge_watch(std::int64_t from, store::object_page const& page)
{
    bool const changed = m_store.merge(page.objects);
    if (from <= m_complete)
        complete(page.version);
    return changed;
}

bool replica::merge_peer(std::int64_t since, std::int64_t revision,
                         std::vector<store::object> const& objects)
{
    std::vector<store::object> accepted;
    for (auto const& received : objects)
        if (received.version > m_complete || m_store.find(received.kind, received.name) != nullptr)
            accepted.push_back(received);
    bool const changed = m_store.merge(accepted);
    if (since <= m_complete)
        complete(revision);
    return changed;
}

void replica::complete(std::int64_t version)
{
    m_complete = std::max(m_complete, version);
    if (m_store.revision() <= m_complete)
    {
        m_confirmed = std::max(m_confirmed, m_store.revision());
        return;
    }
    m_store.for_each_with_deleted(
        [&](store::object const& held)
        {
            if (held.version <= m_complete)
                m_confirmed = std::max(m_confirmed, held.version);
        });
}

} // namespace jasminepier::configuration
