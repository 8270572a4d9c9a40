/// Tables of the control process, shared by its threads.
#pragma once

#include "configuration/snapshot.hpp"
#include "inner_protocol/conversion.hpp"

#include <map>
#include <mutex>

namespace jasminepier::control
{

/// Holds the configuration and the latest load of each server. Every function takes the one lock
/// for a short time and does no I/O.
class control_state
{
public:
    /// Merges objects; the snapshot is rebuilt when any was newer.
    void merge(std::span<platform::object const> objects);
    configuration::snapshot_ptr snapshot() const;
    std::int64_t revision() const;
    std::vector<platform::object> objects_since(std::int64_t revision) const;

    void set_load(inner_protocol::load_digest const& digest);
    /// Returns the digests stored after `sequence`, and the latest sequence.
    std::pair<std::int64_t, std::vector<inner_protocol::load_digest>>
    loads_since(std::int64_t sequence) const;

    void set_applied_revision(std::int64_t revision);
    std::int64_t applied_revision() const;

private:
    mutable std::mutex m_mutex;
    configuration::versioned_store m_store;
    configuration::snapshot_ptr m_snapshot = std::make_shared<configuration::snapshot>();
    std::map<std::string, std::pair<std::int64_t, inner_protocol::load_digest>> m_loads;
    std::int64_t m_load_sequence = 0;
    std::int64_t m_applied_revision = 0;
};

} // namespace jasminepier::control
