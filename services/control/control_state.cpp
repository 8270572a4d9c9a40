#include "services/control/control_state.hpp"

namespace jasminepier::control
{
namespace
{

// Observers report every second; a digest this old comes from an observer that no longer polls.
constexpr base::milliseconds digest_lifetime{5000};

} // namespace

void control_state::merge_listing(std::vector<configuration::kind_listing> const& listings)
{
    std::lock_guard lock(m_mutex);
    if (m_replica.merge_listing(listings))
        rebuild_snapshot();
}

void control_state::merge_watch(std::int64_t from_version, store::object_page const& page)
{
    std::lock_guard lock(m_mutex);
    if (m_replica.merge_watch(from_version, page))
        rebuild_snapshot();
}

void control_state::merge_peer(std::int64_t since_revision,
                               inner_protocol::configuration_page const& page)
{
    std::lock_guard lock(m_mutex);
    if (m_replica.merge_peer(since_revision, page.revision,
                             inner_protocol::from_thrift(page.objects)))
        rebuild_snapshot();
}

void control_state::rebuild_snapshot()
{
    m_snapshot = configuration::build_snapshot(m_replica.store(), m_snapshot.get());
    std::erase_if(m_loads,
                  [this](auto const& entry) { return !m_snapshot->servers.contains(entry.first); });
}

configuration::snapshot_ptr control_state::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

std::int64_t control_state::confirmed_revision() const
{
    std::lock_guard lock(m_mutex);
    return m_replica.confirmed_revision();
}

std::vector<store::object> control_state::objects_newer_than(std::int64_t revision) const
{
    std::lock_guard lock(m_mutex);
    return m_replica.objects_newer_than(revision);
}

std::int64_t control_state::complete_through() const
{
    std::lock_guard lock(m_mutex);
    return m_replica.complete_through();
}

void control_state::store_load(inner_protocol::load_digest const& digest)
{
    auto const now = base::steady_clock_source{}.now();
    std::lock_guard lock(m_mutex);
    auto& stored = m_loads[digest.server_id];
    // Sequence numbers are wall-clock times of the observer. A new observer's clock may be behind,
    // so any digest replaces an expired one.
    if (stored.sequence > 0 && digest.sequence <= stored.digest.sequence &&
        now - stored.received < digest_lifetime)
        return;
    auto received = digest;
    if (digest.description != 0 && digest.instance.empty())
    {
        // The full digest with this description was lost; the observer sends it again.
        if (stored.digest.description != digest.description)
            return;
        received.instance = stored.digest.instance;
        received.models = stored.digest.models;
        received.role = stored.digest.role;
    }
    stored = {++m_load_sequence, now - base::milliseconds(digest.age_milliseconds), received};
}

std::pair<std::int64_t, std::vector<inner_protocol::load_digest>>
control_state::loads_newer_than(std::int64_t sequence) const
{
    auto const now = base::steady_clock_source{}.now();
    std::lock_guard lock(m_mutex);
    std::vector<inner_protocol::load_digest> newer_loads;
    for (auto const& [server, stored] : m_loads)
    {
        if (stored.sequence <= sequence)
            continue;
        newer_loads.push_back(stored.digest);
        newer_loads.back().age_milliseconds = static_cast<std::int32_t>(
            std::chrono::duration_cast<base::milliseconds>(now - stored.received).count());
    }
    return {m_load_sequence, newer_loads};
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

void control_state::record_platform_contact(base::time_point now)
{
    std::lock_guard lock(m_mutex);
    m_last_platform_contact = now;
}

std::optional<base::time_point> control_state::last_platform_contact() const
{
    std::lock_guard lock(m_mutex);
    return m_last_platform_contact;
}

void control_state::set_watching_platform(bool watching)
{
    std::lock_guard lock(m_mutex);
    m_watching_platform = watching;
}

bool control_state::watching_platform() const
{
    std::lock_guard lock(m_mutex);
    return m_watching_platform;
}

} // namespace jasminepier::control
