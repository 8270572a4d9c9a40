#include "configuration/versioned_store.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::configuration
{

bool versioned_store::merge(std::span<store::object const> objects)
{
    bool changed = false;
    for (auto const& received : objects)
    {
        auto& stored = m_objects[{received.kind, received.name}];
        if (stored.version >= received.version)
            continue;
        stored = received;
        m_revision = std::max(m_revision, received.version);
        changed = true;
    }
    return changed;
}

std::int64_t versioned_store::kind_revision(std::string const& kind) const
{
    std::int64_t newest = 0;
    for (auto const& [key, stored] : m_objects)
        if (stored.kind == kind)
            newest = std::max(newest, stored.version);
    return newest;
}

void versioned_store::record_complete(std::string const& kind, std::int64_t revision)
{
    auto& recorded = m_complete_revisions[kind];
    recorded = std::max(recorded, revision);
}

std::int64_t versioned_store::complete_revision(std::string const& kind) const
{
    auto const found = m_complete_revisions.find(kind);
    return found == m_complete_revisions.end() ? 0 : found->second;
}

std::vector<store::object> versioned_store::objects_newer_than(std::int64_t revision) const
{
    std::vector<store::object> newer;
    for (auto const& [key, stored] : m_objects)
        if (stored.version > revision)
            newer.push_back(stored);
    return newer;
}

std::uint64_t versioned_store::digest(std::string const& kind) const
{
    std::uint64_t value = 0;
    for (auto const& [key, stored] : m_objects)
        if (stored.kind == kind && !stored.deleted)
            value ^= base::stable_hash(stored.name, static_cast<std::uint64_t>(stored.version));
    return value;
}

store::object const* versioned_store::find(std::string const& kind, std::string const& name) const
{
    auto const found = m_objects.find({kind, name});
    if (found == m_objects.end() || found->second.deleted)
        return nullptr;
    return &found->second;
}

} // namespace jasminepier::configuration
