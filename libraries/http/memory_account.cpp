#include "http/memory_account.hpp"

#include <algorithm>
#include <limits>
#include <malloc.h>
#include <sys/resource.h>
#include <tuple>
#include <unistd.h>

namespace jasminepier::http
{
namespace
{

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
// The program, its configuration and the bookkeeping of a fleet.
constexpr std::size_t process_bytes = 28 * mebibyte;
// The rest is divided: a half for the account, a half for what the allocator can't give back, for
// connections and for what the kernel holds.
constexpr std::size_t account_fraction = 2;
// A body of 4 MiB in chunks and its copy while its memory grows.
constexpr std::size_t minimum_account_bytes = 10 * mebibyte;
constexpr std::size_t reserve_fraction = 8;
// A quarter of the memory is left for connections: stack, header and buffers.
constexpr std::size_t connection_fraction = 4;
constexpr std::size_t connection_bytes = std::size_t{32} * 1024;
// Descriptors for servers that are probed, peers and the store, and for the threads and queues of
// three small endpoints (addresses, readiness, metrics) with 272 connections each at most.
constexpr int maximum_reserved_sockets = 1000;
constexpr int reserved_sockets_fraction = 4;
// A connection, its wakeup and a connection to a server; as many again may wait for a worker.
constexpr int sockets_per_connection = 4;
constexpr int minimum_connections = 16;
// The allocator's default, which becomes fixed when it is set.
constexpr int mapped_block_bytes = 128 * 1024;
// Interval at which a holder that waits for room asks again, and at which a victim is looked for.
constexpr base::milliseconds minimum_poll_interval{20};
constexpr base::milliseconds maximum_poll_interval{200};
// The interval is the minimum for up to this many holders that wait.
constexpr int waiting_per_interval = 16;

} // namespace

account_limits derive_account_limits(process_limits const& process)
{
    account_limits limits;
    limits.bytes = std::numeric_limits<std::size_t>::max() / 2;
    limits.connections = process.workers;
    limits.queued_connections = process.workers;
    if (process.memory_bytes > 0)
    {
        auto const rest = process.memory_bytes - std::min(process.memory_bytes, process_bytes);
        limits.bytes = std::max(rest / account_fraction, minimum_account_bytes);
        limits.reserve_bytes = limits.bytes / reserve_fraction;
        limits.connections = static_cast<int>(
            std::min(static_cast<std::size_t>(limits.connections),
                     process.memory_bytes / connection_fraction / connection_bytes));
    }
    if (process.sockets > 0)
    {
        auto const reserved =
            std::min(maximum_reserved_sockets, process.sockets / reserved_sockets_fraction);
        auto const share = (process.sockets - reserved) / sockets_per_connection;
        limits.connections = std::min(limits.connections, share);
        limits.queued_connections = std::min(limits.queued_connections, share);
    }
    limits.connections = std::max(limits.connections, minimum_connections);
    limits.queued_connections = std::max(limits.queued_connections, minimum_connections);
    return limits;
}

process_limits read_process_limits()
{
    process_limits limits;
    auto const pages = ::sysconf(_SC_PHYS_PAGES);
    auto const page_bytes = ::sysconf(_SC_PAGESIZE);
    if (pages > 0 && page_bytes > 0)
        limits.memory_bytes =
            static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
    rlimit descriptors{};
    constexpr rlim_t most = std::numeric_limits<int>::max();
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY)
        limits.sockets = static_cast<int>(std::min(descriptors.rlim_cur, most));
    return limits;
}

void return_freed_memory()
{
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, mapped_block_bytes);
}

std::string_view to_string(eviction_cause cause) noexcept
{
    return cause == eviction_cause::memory ? "memory" : "connections";
}

bool memory_account::try_add(memory_holder const& holder, std::size_t bytes)
{
    auto const total = holder.m_held + bytes;
    auto const limit =
        total <= m_limits.small_bytes ? m_limits.bytes : m_limits.bytes - m_limits.reserve_bytes;
    auto used = m_used.load();
    while (true)
    {
        // A single request always has room.
        if (used + bytes > limit && used != holder.m_held && m_overdraft != &holder)
            return false;
        if (m_used.compare_exchange_weak(used, used + bytes))
            return true;
    }
}

void memory_account::add(memory_holder& holder, base::time_point now)
{
    std::lock_guard lock(m_mutex);
    m_holders.insert(&holder);
    if (++m_connections > m_limits.connections)
        make_connection_room(holder, now);
}

void memory_account::remove(memory_holder& holder)
{
    std::lock_guard lock(m_mutex);
    m_holders.erase(&holder);
    m_used -= holder.m_held;
    --m_connections;
    m_leaving_connections -= holder.m_evicted ? 1 : 0;
    end_overdraft(holder);
}

void memory_account::end_overdraft(memory_holder const& holder) noexcept
{
    auto const* expected = &holder;
    m_overdraft.compare_exchange_strong(expected, nullptr);
}

base::milliseconds memory_account::poll_interval() const noexcept
{
    return std::min(minimum_poll_interval * (1 + m_waiting / waiting_per_interval),
                    maximum_poll_interval);
}

void memory_account::make_connection_room(memory_holder& newest, base::time_point now)
{
    if (m_connections - m_leaving_connections <= m_limits.connections)
        return;
    memory_holder* victim = nullptr;
    auto const order = [&](memory_holder const& holder)
    {
        auto const silence = now - holder.m_last_progress.load();
        bool const silent = silence >= m_limits.stall;
        bool const owes_rest = silent && holder.m_stage == holder_stage::receiving;
        bool const owes_first = silent && !holder.m_served;
        // A holder that waits for room isn't to blame, but it may not block the others either.
        return std::tuple(!holder.m_waits, owes_rest, owes_first, silence);
    };
    for (auto* holder : m_holders)
    {
        bool const eligible =
            holder != &newest && !holder->m_evicted && holder->m_stage != holder_stage::serving;
        if (eligible && (victim == nullptr || order(*holder) > order(*victim)))
            victim = holder;
    }
    evict(victim == nullptr ? newest : *victim, eviction_cause::connections);
}

void memory_account::make_memory_room(memory_holder& requester, std::size_t bytes,
                                      base::time_point now)
{
    bool const is_small = bytes <= m_limits.small_bytes;
    bool const impatient = now - *requester.m_waiting_since >= m_limits.patience;
    auto& next_search = m_next_search[(is_small ? 1U : 0U) + (impatient ? 2U : 0U)];
    auto due = next_search.load();
    if (now < due || !next_search.compare_exchange_strong(due, now + minimum_poll_interval))
        return;
    std::lock_guard lock(m_mutex);
    memory_holder* victim = nullptr;
    auto const order = [&](memory_holder const& holder)
    {
        bool const stalled =
            !holder.m_waits && now - holder.m_last_progress.load() >= m_limits.stall;
        return std::tuple(stalled, holder.m_held.load());
    };
    for (auto* holder : m_holders)
    {
        // What an evicted holder has will be returned soon.
        if (holder->m_evicted && holder->m_held > 0 && holder->m_stage != holder_stage::serving)
            return;
        bool const eligible = holder->m_stage == holder_stage::receiving && !holder->m_evicted &&
                              (holder->m_held > 0 || holder == &requester);
        if (eligible && (victim == nullptr || order(*holder) > order(*victim)))
            victim = holder;
    }
    if (victim == nullptr)
    {
        // Only running requests are left, whose responses may all wait for room. One of them goes
        // on, so that its bytes come back.
        memory_holder const* none = nullptr;
        if (impatient && requester.m_stage == holder_stage::serving)
            m_overdraft.compare_exchange_strong(none, &requester);
        return;
    }
    bool const stalled = std::get<0>(order(*victim));
    if (stalled || impatient || (is_small && victim != &requester))
        evict(*victim, eviction_cause::memory);
}

void memory_account::evict(memory_holder& victim, eviction_cause cause)
{
    victim.m_cause = cause;
    victim.m_evicted = true;
    ++m_leaving_connections;
    ++m_evictions[static_cast<std::size_t>(cause)];
    if (victim.m_on_eviction)
        victim.m_on_eviction();
}

memory_holder::memory_holder(memory_account& account, std::function<void()> on_eviction,
                             base::time_point now)
    : m_account(account), m_on_eviction(std::move(on_eviction)), m_last_progress(now)
{
    m_account.add(*this, now);
}

memory_holder::~memory_holder()
{
    set_waits(false);
    m_account.remove(*this);
}

bool memory_holder::try_hold(std::size_t bytes)
{
    if (bytes <= uncharged_bytes)
        bytes = 0;
    if (bytes > m_held && !m_account.try_add(*this, bytes - m_held))
        return false;
    if (bytes < m_held)
        m_account.m_used -= m_held - bytes;
    if (bytes != m_held)
        m_held = bytes;
    if (m_waiting_since)
    {
        m_waiting_since.reset();
        set_waits(false);
    }
    return true;
}

void memory_holder::set_stage(holder_stage stage) noexcept
{
    m_stage = stage;
    if (stage == holder_stage::serving)
        m_served = true;
    else if (m_account.m_overdraft == this)
        m_account.end_overdraft(*this);
}

void memory_holder::set_waits(bool waits) noexcept
{
    if (m_waits.exchange(waits) != waits)
        m_account.m_waiting += waits ? 1 : -1;
}

bool memory_holder::try_hold_or_evict(std::size_t bytes, base::time_point now)
{
    if (try_hold(bytes))
        return true;
    if (!m_waiting_since)
        m_waiting_since = now;
    set_waits(true);
    m_account.make_memory_room(*this, bytes, now);
    return false;
}

void memory_holder::hold(std::size_t bytes)
{
    if (try_hold(bytes))
        return;
    m_account.m_used += bytes - m_held;
    m_held = bytes;
}

std::string write_account_metrics(memory_account const& account)
{
    auto const write = [](std::string const& name, std::string_view type, std::string_view help)
    {
        return std::string("# HELP ").append(name).append(" ").append(help) + "\n# TYPE " + name +
               " " + std::string(type) + "\n";
    };
    std::string const bytes = "jasminepier_caller_bytes";
    std::string const connections = "jasminepier_caller_connections";
    std::string const evictions = "jasminepier_caller_evictions_total";
    auto out = write(bytes, "gauge", "Bytes that callers make this process hold.") + bytes + " " +
               std::to_string(account.used_bytes()) + "\n" +
               write(connections, "gauge", "Open connections of callers.") + connections + " " +
               std::to_string(account.connections()) + "\n" +
               write(evictions, "counter", "Connections that were closed to make room.");
    for (auto const cause : {eviction_cause::memory, eviction_cause::connections})
        out += evictions + "{cause=\"" + std::string(to_string(cause)) + "\"} " +
               std::to_string(account.evictions(cause)) + "\n";
    return out;
}

} // namespace jasminepier::http
