/// Periodic cleanup of stored claims.
#pragma once

#include "base/json.hpp"
#include "base/log.hpp"
#include "claims/claim_types.hpp"
#include "store/object.hpp"

namespace jasminepier::claims
{

struct sweep_settings
{
    std::string node;
    /// Outcomes are kept for 24 h, plus ten minutes for clock skew between nodes.
    std::int64_t retention_seconds = 24 * 3600 + 600;
    /// Age at which a claim without an outcome is older than any request, so its owner must be
    /// dead.
    std::int64_t maximum_open_seconds = 3600;
    /// Interval between sweeps, all nodes together.
    std::int64_t interval_seconds = 3600;
    /// Maximum writes of a sweep. Together with the pause it keeps a sweep from using up the
    /// platform's write rate.
    int maximum_writes = 20000;
    base::milliseconds pause_between_writes{20};
};

/// Deletes claims whose retention time has passed, and marks claims whose owner died without
/// recording an outcome as unknown.
///
/// The sweeping nodes coordinate through a lease object, so the number of requests to the platform
/// does not grow with the number of nodes. Every deletion is conditional on the listed version:
/// neither a claim that was taken over after it was listed nor one from a stale list is deleted.
template <store::object_store Store, claim_clock Clock>
class claim_sweep
{
public:
    claim_sweep(Store& store, Clock& clock, sweep_settings settings)
        : m_store(store), m_clock(clock), m_settings(std::move(settings))
    {
    }

    /// Sweeps if the interval has passed and this node obtains the lease. Returns the number of
    /// claims that it tried to update or delete.
    int sweep_if_due()
    {
        if (!try_acquire_lease())
            return 0;
        return base::handle([this]() -> base::result<int> { return sweep(); },
                            [](base::error const& failure)
                            {
                                base::log_line(base::log_level::warning, "claim_sweep_failed")
                                    .field("reason", failure.message);
                                return 0;
                            });
    }

private:
    static constexpr char const* lease_kind = "lease";
    static constexpr char const* lease_name = "claim-sweep";

    bool try_acquire_lease()
    {
        auto const now = m_clock.unix_seconds();
        base::json_object lease = new Poco::JSON::Object;
        lease->set("node", m_settings.node);
        lease->set("time", now);
        auto const value = base::write_json(lease);
        return base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(current, m_store.get(lease_kind, lease_name));
                BOOST_LEAF_AUTO(document, base::parse_json_object(current.value));
                BOOST_LEAF_AUTO(last, base::read_integer(document, "time"));
                // A time in the future comes from a wrong clock and must not prevent sweeps.
                if (last <= now && now - last < m_settings.interval_seconds)
                    return false;
                current.value = value;
                return m_store.update(current).status == store::write_status::applied;
            },
            [&](base::error const& failure)
            {
                return failure.kind == base::error_kind::not_found &&
                       m_store.create(lease_kind, lease_name, value).status ==
                           store::write_status::applied;
            });
    }

    base::result<int> sweep()
    {
        BOOST_LEAF_AUTO(page, m_store.list(claim_kind));
        int writes = 0;
        for (auto const& listed : page.objects)
        {
            if (writes >= m_settings.maximum_writes)
                break;
            if (!sweep_claim(listed))
                continue;
            ++writes;
            m_clock.sleep_for(m_settings.pause_between_writes);
        }
        base::log_line(base::log_level::info, "claim_sweep")
            .field("listed", page.objects.size())
            .field("changed", writes);
        return writes;
    }

    /// Marks an orphaned claim as unknown or deletes an expired one. Returns true if it wrote.
    bool sweep_claim(store::object const& listed)
    {
        return base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(record, parse_claim(listed.value));
                auto const now = m_clock.unix_seconds();
                auto const age = now - record.time;
                if (record.state == claim_state::claimed)
                {
                    if (age < m_settings.maximum_open_seconds)
                        return false;
                    // The claim gets an outcome first, which is kept for the full retention time.
                    record.state = claim_state::unknown;
                    record.time = now;
                    auto changed = listed;
                    changed.value = write_claim(record);
                    m_store.update(changed);
                    return true;
                }
                if (age < m_settings.retention_seconds)
                    return false;
                m_store.remove(listed);
                return true;
            },
            [](base::error const&) { return false; });
    }

    Store& m_store;
    Clock& m_clock;
    sweep_settings m_settings;
};

} // namespace jasminepier::claims
