/// What callers make a process hold: an account of bytes and a bound on open connections.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jasminepier::http
{

/// The limits of the VM or of its platform for one process.
struct process_limits
{
    /// Resident memory, bytes; 0 if not known.
    std::size_t memory_bytes = 0;
    /// Sockets and other descriptors that are not files; 0 if not known.
    int sockets = 0;
    /// Maximum number of connections served at once.
    int workers = 1024;
};

struct account_limits
{
    /// Bytes that bodies, long headers and responses may occupy in all.
    std::size_t bytes = 0;
    /// The part of `bytes` that only holders of at most `small_bytes` get.
    std::size_t reserve_bytes = 0;
    std::size_t small_bytes = std::size_t{64} * 1024;
    /// Callers' connections that are open at once.
    int connections = 0;
    /// Accepted connections that wait for a worker.
    int queued_connections = 0;
    /// A holder waits for this long for room before another one is evicted.
    base::milliseconds patience{1000};
    /// A caller that has sent nothing for this long makes room at once.
    base::milliseconds stall{1000};
};

/// Returns the limits of the account of a process. Unknown limits bound nothing.
account_limits derive_account_limits(process_limits const& process);

/// Returns the limits that the operating system states for this process and its VM, bytes and
/// descriptors.
process_limits read_process_limits();

/// Makes the allocator return large blocks to the operating system when they are freed. By default
/// it raises its threshold with the blocks that it has seen, and keeps them. Call it once, first.
void return_freed_memory();

/// What the owner of a holder is doing.
enum class holder_stage
{
    /// The connection waits for a request.
    idle,
    /// A request has arrived in part.
    receiving,
    /// The request is complete. It is not evicted.
    serving,
};

enum class eviction_cause
{
    memory,
    connections,
};

std::string_view to_string(eviction_cause cause) noexcept;

class memory_holder;

/// Thread-safe. Must outlive its holders.
class memory_account
{
public:
    explicit memory_account(account_limits limits) : m_limits(limits) {}

    account_limits const& limits() const noexcept { return m_limits; }
    std::size_t used_bytes() const noexcept { return m_used; }
    int connections() const noexcept { return m_connections; }
    /// Returns the interval at which a holder that waits for room asks again. It grows with the
    /// number of those that wait, so that they cost a bounded part of a processor.
    base::milliseconds poll_interval() const noexcept;
    /// Returns how many holders were evicted so far.
    std::uint64_t evictions(eviction_cause cause) const noexcept
    {
        return m_evictions[static_cast<std::size_t>(cause)];
    }

private:
    friend class memory_holder;
    using mutex = base::ordered_mutex<base::lock_level::memory_account>;

    bool try_add(memory_holder const& holder, std::size_t bytes);
    void add(memory_holder& holder, base::time_point now);
    void remove(memory_holder& holder);
    void make_connection_room(memory_holder& newest, base::time_point now);
    void make_memory_room(memory_holder& requester, std::size_t bytes, base::time_point now);
    void evict(memory_holder& victim, eviction_cause cause);
    void end_overdraft(memory_holder const& holder) noexcept;

    account_limits m_limits;
    std::atomic<std::size_t> m_used{0};
    std::atomic<int> m_connections{0};
    std::array<std::atomic<std::uint64_t>, 2> m_evictions{};
    std::atomic<int> m_waiting{0};
    /// Time of the next search for a victim, for requesters that may evict alike: patient and
    /// impatient ones, with few bytes and with many.
    std::array<std::atomic<base::time_point>, 4> m_next_search{};
    /// A running request that gets room beyond the limit, since all wait for each other.
    std::atomic<memory_holder const*> m_overdraft{nullptr};
    mutex m_mutex;
    std::set<memory_holder*> m_holders;
    /// Evicted connections that are still open.
    int m_leaving_connections = 0;
};

/// The bytes that one connection holds. Its destructor returns them. Not thread-safe, except that
/// the account may evict it at any time.
class memory_holder
{
public:
    /// Bytes up to this amount are not charged: the limits leave room for them at each connection.
    static constexpr std::size_t uncharged_bytes = std::size_t{32} * 1024;

    /// `on_eviction` wakes the owner's thread; it is called with a lock held and must not call the
    /// account. A connection over the bound evicts another one, or itself.
    memory_holder(memory_account& account, std::function<void()> on_eviction, base::time_point now);
    memory_holder(memory_holder const&) = delete;
    memory_holder& operator=(memory_holder const&) = delete;
    ~memory_holder();

    /// Changes what this holder has to `bytes`. Returns false, and changes nothing, if the account
    /// has no room.
    bool try_hold(std::size_t bytes);
    /// Like `try_hold`; if there is no room, evicts the holder that costs callers least, first
    /// those that have stalled. Call it again until it succeeds or this holder is evicted.
    bool try_hold_or_evict(std::size_t bytes, base::time_point now);
    /// Adds bytes without asking, for what is held already. Evicts nobody.
    void hold(std::size_t bytes);
    void set_stage(holder_stage stage) noexcept;
    /// Records that bytes have arrived.
    void record_progress(base::time_point now) noexcept { m_last_progress = now; }

    std::size_t held_bytes() const noexcept { return m_held; }
    std::optional<base::time_point> waiting_since() const noexcept { return m_waiting_since; }
    bool evicted() const noexcept { return m_evicted; }
    eviction_cause cause() const noexcept { return m_cause; }

    /// See `memory_account::poll_interval`.
    base::milliseconds poll_interval() const noexcept { return m_account.poll_interval(); }

private:
    friend class memory_account;
    void set_waits(bool waits) noexcept;

    memory_account& m_account;
    std::function<void()> m_on_eviction;
    std::atomic<std::size_t> m_held{0};
    std::atomic<holder_stage> m_stage{holder_stage::idle};
    std::atomic<base::time_point> m_last_progress;
    std::optional<base::time_point> m_waiting_since;
    std::atomic<bool> m_waits{false};
    /// A request of this connection was complete.
    std::atomic<bool> m_served{false};
    std::atomic<bool> m_evicted{false};
    std::atomic<eviction_cause> m_cause{eviction_cause::memory};
};

/// Returns the account in the Prometheus text format.
std::string write_account_metrics(memory_account const& account);

} // namespace jasminepier::http
