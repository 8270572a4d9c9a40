/// Writes the final state of claims and retries in the background until the write is confirmed.
#pragma once

#include "base/log.hpp"
#include "base/ordered_mutex.hpp"
#include "claims/claim_types.hpp"
#include "store/object.hpp"

#include <algorithm>
#include <mutex>
#include <optional>
#include <vector>

namespace jasminepier::claims
{

template <store::object_store Store, claim_clock Clock>
class claim_recorder
{
public:
    /// A write that brings a claim of this process to its final state.
    struct pending_write
    {
        std::string name;
        claim_record target;
        /// The version that the next write replaces. 0 creates the object; unset reads the stored
        /// version first.
        std::optional<std::int64_t> version{};
        /// For an abandoned claim: the version that its last claim write was to replace, if that
        /// write got no response. While the object has this version, the write may still take
        /// effect, so a new version must be written.
        std::optional<std::int64_t> unconfirmed_write_version{};
        int attempts = 0;
        base::time_point next_attempt{};
    };

    claim_recorder(Store& store, Clock& clock, claim_table& table, claim_settings const& settings)
        : m_store(store), m_clock(clock), m_table(table), m_settings(settings)
    {
    }

    /// Tries the write once. If its effect is uncertain, schedules a retry.
    void submit(pending_write pending)
    {
        if (try_write(pending))
            return m_table.remove(pending.target.nonce);
        schedule_retry(std::move(pending));
    }

    /// Schedules the write for the background without trying it now. Drops it and logs a warning
    /// after the maximum number of attempts.
    void schedule_retry(pending_write pending)
    {
        if (++pending.attempts > m_settings.maximum_background_attempts)
        {
            base::log_line(base::log_level::warning, "claim_not_recorded")
                .field("claim", pending.name)
                .field("nonce", pending.target.nonce);
            return m_table.remove(pending.target.nonce);
        }
        auto const doubled = base::milliseconds(100) * (1 << std::min(pending.attempts, 12));
        pending.next_attempt =
            m_clock.now() + std::min(doubled, m_settings.maximum_background_delay);
        std::lock_guard lock(m_mutex);
        m_pending_writes.push_back(std::move(pending));
    }

    /// Tries every due write once.
    void retry_due()
    {
        std::vector<pending_write> due;
        {
            std::lock_guard lock(m_mutex);
            auto const now = m_clock.now();
            auto const rest = std::stable_partition(
                m_pending_writes.begin(), m_pending_writes.end(),
                [&](pending_write const& waiting) { return waiting.next_attempt > now; });
            due.assign(std::make_move_iterator(rest),
                       std::make_move_iterator(m_pending_writes.end()));
            m_pending_writes.erase(rest, m_pending_writes.end());
        }
        for (auto& pending : due)
            submit(std::move(pending));
    }

    std::size_t pending_count() const
    {
        std::lock_guard lock(m_mutex);
        return m_pending_writes.size();
    }

private:
    /// Returns true if the platform has confirmed the write or the write is no longer needed.
    bool try_write(pending_write& pending)
    {
        if (!pending.version)
            return read_then_write(pending);
        auto const value = write_claim(pending.target);
        auto const outcome =
            *pending.version == 0
                ? m_store.create(claim_kind, pending.name, value)
                : m_store.update({claim_kind, pending.name, *pending.version, value, false});
        pending.version.reset();
        if (outcome.status == store::write_status::applied)
            return true;
        if (outcome.status != store::write_status::conflict)
            return false;
        return !needs_write(pending, outcome.current) || try_write(pending);
    }

    bool read_then_write(pending_write& pending)
    {
        bool failed = false;
        auto const stored = base::handle(
            [&]() -> base::result<store::object> { return m_store.get(claim_kind, pending.name); },
            [&](base::error const& failure)
            {
                failed = failure.kind != base::error_kind::not_found;
                return store::object{claim_kind, pending.name, 0, "", true};
            });
        if (failed)
            return false;
        return !needs_write(pending, stored) || try_write(pending);
    }

    /// Decides from the stored object whether a write is still needed, and sets its version.
    bool needs_write(pending_write& pending, store::object const& stored) const
    {
        if (stored.deleted)
        {
            // If the claim write without a response was a create, it may still take effect; writing
            // the object makes it fail.
            pending.version = 0;
            return pending.unconfirmed_write_version == 0;
        }
        pending.version = stored.version;
        if (pending.unconfirmed_write_version == stored.version)
            return true;
        return base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(record, parse_claim(stored.value));
                return record.nonce == pending.target.nonce &&
                       record.state != pending.target.state && record.state != claim_state::done;
            },
            [](base::error const&) { return false; });
    }

    Store& m_store;
    Clock& m_clock;
    claim_table& m_table;
    claim_settings const& m_settings;
    mutable base::ordered_mutex<base::lock_level::claim_recorder> m_mutex;
    std::vector<pending_write> m_pending_writes;
};

} // namespace jasminepier::claims
