/// Writes the final state of claims and repeats the write in the background until it is certain.
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

template <store::object_store Store, waiting_clock Clock>
class claim_recorder
{
public:
    /// A state that an own claim must reach.
    struct task
    {
        std::string name;
        claim_record target;
        /// The version that the next write replaces; 0 creates the object, nothing reads it first.
        std::optional<std::int64_t> version{};
        /// For a release: the version that a lost claim write named. As long as the object has this
        /// version, the lost write may still take effect, so the version must change.
        std::optional<std::int64_t> lost_write_version{};
        int attempts = 0;
        base::time_point next_attempt{};
    };

    claim_recorder(Store& store, Clock& clock, claim_table& table, claim_settings const& settings)
        : m_store(store), m_clock(clock), m_table(table), m_settings(settings)
    {
    }

    /// Tries once now and leaves the rest to the background.
    void settle(task work)
    {
        if (attempt(work))
            return m_table.forget(work.target.nonce);
        postpone(std::move(work));
    }

    /// Leaves the work to the background at once.
    void postpone(task work)
    {
        if (++work.attempts > m_settings.maximum_background_attempts)
        {
            base::log_line(base::log_level::warning, "claim_not_recorded")
                .field("claim", work.name)
                .field("nonce", work.target.nonce);
            return m_table.forget(work.target.nonce);
        }
        auto const doubled = base::milliseconds(100) * (1 << std::min(work.attempts, 12));
        work.next_attempt = m_clock.now() + std::min(doubled, m_settings.longest_background_pause);
        std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(work));
    }

    /// Tries every task that is due once.
    void retry_due()
    {
        std::vector<task> due;
        {
            std::lock_guard lock(m_mutex);
            auto const now = m_clock.now();
            auto const rest = std::stable_partition(m_tasks.begin(), m_tasks.end(),
                                                    [&](task const& waiting)
                                                    { return waiting.next_attempt > now; });
            due.assign(std::make_move_iterator(rest), std::make_move_iterator(m_tasks.end()));
            m_tasks.erase(rest, m_tasks.end());
        }
        for (auto& work : due)
            settle(std::move(work));
    }

    std::size_t pending() const
    {
        std::lock_guard lock(m_mutex);
        return m_tasks.size();
    }

private:
    /// Returns true when nothing is left to do.
    bool attempt(task& work)
    {
        if (!work.version)
            return read_first(work);
        auto const value = write_claim(work.target);
        auto const wrote =
            *work.version == 0
                ? m_store.create(claim_kind, work.name, value)
                : m_store.update({claim_kind, work.name, *work.version, value, false});
        work.version.reset();
        if (wrote.status == store::write_status::applied)
            return true;
        if (wrote.status != store::write_status::conflict)
            return false;
        return !needs_write(work, wrote.current) || attempt(work);
    }

    bool read_first(task& work)
    {
        bool failed = false;
        auto const seen = base::handle([&]() -> base::result<store::object>
                                       { return m_store.get(claim_kind, work.name); },
                                       [&](base::error const& failure)
                                       {
                                           failed = failure.kind != base::error_kind::not_found;
                                           return store::object{claim_kind, work.name, 0, "", true};
                                       });
        if (failed)
            return false;
        return !needs_write(work, seen) || attempt(work);
    }

    /// Decides from the stored object whether a write is still needed, and at which version.
    bool needs_write(task& work, store::object const& seen) const
    {
        if (seen.deleted)
        {
            // A lost create may still arrive; an object under the name keeps it from taking effect.
            work.version = 0;
            return work.lost_write_version == 0;
        }
        work.version = seen.version;
        if (work.lost_write_version == seen.version)
            return true;
        return base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(held, parse_claim(seen.value));
                return held.nonce == work.target.nonce && held.state != work.target.state &&
                       held.state != claim_state::done;
            },
            [](base::error const&) { return false; });
    }

    Store& m_store;
    Clock& m_clock;
    claim_table& m_table;
    claim_settings const& m_settings;
    mutable base::ordered_mutex<base::lock_level::claim_recorder> m_mutex;
    std::vector<task> m_tasks;
};

} // namespace jasminepier::claims
