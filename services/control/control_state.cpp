#include "services/control/control_state.hpp"

namespace jasminepier::control
{

void control_state::merge(std::span<platform::object const> objects)
{
    std::lock_guard lock(m_mutex);
    if (m_store.merge(objects))
        m_snapshot = configuration::build_snapshot(m_store, m_snapshot.get());
}

configuration::snapshot_ptr control_state::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

std::int64_t control_state::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_store.revision();
}

std::vector<platform::object> control_state::objects_since(std::int64_t revision) const
{
    std::lock_guard lock(m_mutex);
    return m_store.since(revision);
}

void control_state::set_load(inner_protocol::load_digest const& digest)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_loads[digest.server_id];
    entry = {++m_load_sequence, digest};
}

std::pair<std::int64_t, std::vector<inner_protocol::load_digest>>
control_state::loads_since(std::int64_t sequence) const
{
    std::lock_guard lock(m_mutex);
    std::vector<inner_protocol::load_digest> newer;
    for (auto const& [server, entry] : m_loads)
        if (entry.first > sequence)
            newer.push_back(entry.second);
    return {m_load_sequence, newer};
}

void control_state::set_applied_revision(std::int64_t revision)
{
    std::lock_guard lock(m_mutex);
    m_applied_revision = revision;
}

std::int64_t control_state::applied_revision() const
{
    std::lock_guard lock(m_mutex);
    return m_applied_revision;
}

} // namespace jasminepier::control
