/// Mutexes with a fixed order, so that a deadlock shows as an error in the first test that runs
/// into it, not as a standstill under load.
#pragma once

#include <mutex>
#include <system_error>

namespace jasminepier::base
{

/// The tables of the processes, outermost lock first. A thread that holds a lock may take only
/// locks further down; two tables of the same level are never locked together.
enum class lock_level
{
    none,
    control_link,
    node_agent,
    control_state,
    node_state,
    connection_pool,
    server_table,
    poison_request_detector,
    retry_budgets,
    hedge_policy,
    claim_table,
    claim_recorder,
    request_log,
    metrics,
};

/// A mutex that checks the order. `lock` throws std::system_error with
/// resource_deadlock_would_occur when the calling thread holds a lock of the same or a later level;
/// the request then fails with internal and no lock is taken.
template <lock_level Level>
class ordered_mutex
{
public:
    ordered_mutex() = default;
    ordered_mutex(ordered_mutex const&) = delete;
    ordered_mutex& operator=(ordered_mutex const&) = delete;

    void lock()
    {
        if (held_level() >= Level)
            throw std::system_error(std::make_error_code(std::errc::resource_deadlock_would_occur),
                                    "locks were taken against their order");
        m_mutex.lock();
        m_previous = held_level();
        held_level() = Level;
    }

    void unlock() noexcept
    {
        held_level() = m_previous;
        m_mutex.unlock();
    }

private:
    /// The level of the innermost lock that the calling thread holds.
    static lock_level& held_level() noexcept;

    std::mutex m_mutex;
    lock_level m_previous = lock_level::none;
};

/// The one variable per thread that all levels share.
inline lock_level& innermost_lock_level() noexcept
{
    thread_local lock_level level = lock_level::none;
    return level;
}

template <lock_level Level>
lock_level& ordered_mutex<Level>::held_level() noexcept
{
    return innermost_lock_level();
}

} // namespace jasminepier::base
