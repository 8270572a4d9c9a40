/// Mutexes with a lock hierarchy: locking against the order throws in any test that does it, even
/// if no other thread happens to cause the deadlock.
#pragma once

#include <mutex>
#include <system_error>

namespace jasminepier::base
{

/// The lock hierarchy of all processes, outermost lock first. A thread that holds a lock may only
/// acquire locks that are listed after it; it never holds two locks of the same level.
enum class lock_level
{
    none,
    control_link,
    membership_agent,
    control_state,
    node_state,
    connection_pool,
    compressed_values,
    memory_account,
    server_table,
    poison_request_detector,
    live_nodes,
    retry_budgets,
    hedge_policy,
    claim_table,
    claim_recorder,
    request_log,
    metrics,
};

/// A mutex that enforces the lock hierarchy. `lock` throws std::system_error with
/// resource_deadlock_would_occur, and doesn't lock, if the calling thread holds a lock of the same
/// or a later level; the request then fails with error_kind::internal.
template <lock_level Level>
class ordered_mutex
{
public:
    ordered_mutex() = default;
    ordered_mutex(ordered_mutex const&) = delete;
    ordered_mutex& operator=(ordered_mutex const&) = delete;

    void lock()
    {
        if (innermost_level() >= Level)
            throw std::system_error(std::make_error_code(std::errc::resource_deadlock_would_occur),
                                    "lock acquired against the lock hierarchy");
        m_mutex.lock();
        m_previous_level = innermost_level();
        innermost_level() = Level;
    }

    void unlock() noexcept
    {
        innermost_level() = m_previous_level;
        m_mutex.unlock();
    }

private:
    static lock_level& innermost_level() noexcept;

    std::mutex m_mutex;
    lock_level m_previous_level = lock_level::none;
};

/// The level of the innermost lock that the calling thread holds. All instances of ordered_mutex
/// share this variable.
inline lock_level& innermost_lock_level() noexcept
{
    thread_local lock_level level = lock_level::none;
    return level;
}

template <lock_level Level>
lock_level& ordered_mutex<Level>::innermost_level() noexcept
{
    return innermost_lock_level();
}

} // namespace jasminepier::base
