/// State shared by the threads of the control process.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "configuration/replica.hpp"
#include "configuration/snapshot.hpp"
#include "inner_protocol/conversion.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>

namespace jasminepier::control
{

/// The configuration and the latest load digest of each server. Thread-safe: every function locks
/// one mutex for a short time and does no I/O.
class control_state
{
public:
    /// Merge new configuration and rebuild the snapshot if anything changed.
    void merge_listing(std::vector<configuration::kind_listing> const& listings);
    void merge_watch(std::int64_t from_version, store::object_page const& page);
    void merge_peer(std::int64_t since_revision, inner_protocol::configuration_page const& page);
    configuration::snapshot_ptr snapshot() const;
    /// The revision through which the configuration is complete. Peers compare this revision to
    /// decide whether to pull.
    std::int64_t confirmed_revision() const;
    /// The version from which a watch of the platform may start.
    std::int64_t complete_through() const;
    std::vector<store::object> objects_newer_than(std::int64_t revision) const;

    /// Stores a digest unless a newer one of the same server is stored.
    void store_load(inner_protocol::load_digest const& digest);
    /// Returns the latest sequence number, and the digests stored after `sequence` with their
    /// current age.
    std::pair<std::int64_t, std::vector<inner_protocol::load_digest>>
    loads_newer_than(std::int64_t sequence) const;

    /// The revision that the entry process last reported as applied.
    void set_applied_revision(std::int64_t revision);
    std::int64_t applied_revision() const;
    void record_platform_contact(base::time_point now);
    std::optional<base::time_point> last_platform_contact() const;
    void set_watching_platform(bool watching);
    bool watching_platform() const;

    /// The fencing number of the placement lease if this node holds the lease, else 0.
    void set_lease_fencing_number(std::int64_t number) noexcept { m_lease_fencing_number = number; }
    std::int64_t lease_fencing_number() const noexcept { return m_lease_fencing_number; }

private:
    struct stored_load
    {
        std::int64_t sequence = 0;
        base::time_point received;
        inner_protocol::load_digest digest;
    };
    void rebuild_snapshot();

    mutable base::ordered_mutex<base::lock_level::control_state> m_mutex;
    configuration::replica m_replica;
    configuration::snapshot_ptr m_snapshot = std::make_shared<configuration::snapshot>();
    std::map<std::string, stored_load> m_loads;
    std::int64_t m_load_sequence = 0;
    std::int64_t m_applied_revision = 0;
    std::optional<base::time_point> m_last_platform_contact;
    bool m_watching_platform = false;
    std::atomic<std::int64_t> m_lease_fencing_number{0};
};

} // namespace jasminepier::control
