#include "http/memory_account.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <optional>

namespace jasminepier::http
{
namespace
{

using base::milliseconds;

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

account_limits make_limits()
{
    account_limits limits;
    limits.bytes = 8 * mebibyte;
    limits.reserve_bytes = mebibyte;
    limits.connections = 4;
    return limits;
}

class memory_account_test : public testing::Test
{
protected:
    memory_holder& add(std::size_t bytes, holder_stage stage)
    {
        auto& holder = m_holders.emplace_back(
            m_account, [this] { ++m_wakeups; }, m_now);
        holder.set_stage(stage);
        EXPECT_TRUE(holder.try_hold(bytes));
        return holder;
    }

    memory_account m_account{make_limits()};
    base::time_point m_now{milliseconds(100000)};
    std::deque<memory_holder> m_holders;
    int m_wakeups = 0;
};

// Guards against a request within the limits that is refused although nothing else is held.
TEST_F(memory_account_test, single_holder_always_has_room_and_returns_it)
{
    {
        memory_holder holder(m_account, {}, m_now);
        EXPECT_TRUE(holder.try_hold(20 * mebibyte));
        memory_holder other(m_account, {}, m_now);
        EXPECT_FALSE(other.try_hold(mebibyte));
    }
    EXPECT_EQ(m_account.used_bytes(), 0U);
    EXPECT_EQ(m_account.connections(), 0);
}

// Guards against large bodies that leave no room for small requests.
TEST_F(memory_account_test, reserve_is_for_small_holders)
{
    add(6 * mebibyte, holder_stage::receiving);
    auto& large = add(0, holder_stage::receiving);
    EXPECT_FALSE(large.try_hold(2 * mebibyte));
    EXPECT_TRUE(large.try_hold(mebibyte));
    EXPECT_TRUE(add(0, holder_stage::receiving).try_hold(60000));
}

// Guards against refusing a complete request, or one that arrives, before one that has stalled.
TEST_F(memory_account_test, stalled_holders_are_evicted_at_once_and_largest_after_patience)
{
    auto& serving = add(4 * mebibyte, holder_stage::serving);
    auto& stalled = add(mebibyte, holder_stage::receiving);
    m_now += make_limits().stall;
    auto& arriving = add(2 * mebibyte, holder_stage::receiving);
    arriving.record_progress(m_now);
    auto& newest = add(0, holder_stage::receiving);
    EXPECT_FALSE(newest.try_hold_or_evict(mebibyte, m_now));
    EXPECT_TRUE(stalled.evicted());
    EXPECT_EQ(m_wakeups, 1);
    // Its bytes will come back, so nobody else is evicted.
    EXPECT_FALSE(newest.try_hold_or_evict(mebibyte, m_now));
    EXPECT_EQ(m_wakeups, 1);
    stalled.try_hold(0);
    EXPECT_TRUE(newest.try_hold_or_evict(mebibyte, m_now));
    arriving.record_progress(m_now);
    newest.record_progress(m_now);
    EXPECT_FALSE(newest.try_hold_or_evict(2 * mebibyte, m_now));
    EXPECT_FALSE(arriving.evicted());
    m_now += make_limits().patience;
    arriving.record_progress(m_now);
    EXPECT_FALSE(newest.try_hold_or_evict(2 * mebibyte, m_now));
    EXPECT_TRUE(arriving.evicted());
    EXPECT_FALSE(serving.evicted());
    EXPECT_EQ(m_account.evictions(eviction_cause::memory), 2U);
}

// Guards against open connections that take all descriptors.
TEST_F(memory_account_test, connection_over_the_bound_closes_the_one_that_owes_progress)
{
    auto& idle = add(0, holder_stage::idle);
    auto& receiving = add(0, holder_stage::receiving);
    add(0, holder_stage::serving);
    add(0, holder_stage::serving);
    m_now += 2 * make_limits().stall;
    add(0, holder_stage::serving);
    EXPECT_TRUE(receiving.evicted());
    EXPECT_FALSE(idle.evicted());
    add(0, holder_stage::serving);
    EXPECT_TRUE(idle.evicted());
    EXPECT_TRUE(add(0, holder_stage::idle).evicted());
    EXPECT_EQ(receiving.cause(), eviction_cause::connections);
}

// Guards against a newcomer that is closed because all others wait for room.
TEST_F(memory_account_test, holders_that_wait_for_room_are_closed_last)
{
    add(8 * mebibyte, holder_stage::serving);
    auto& waiting = add(0, holder_stage::receiving);
    EXPECT_FALSE(waiting.try_hold_or_evict(2 * mebibyte, m_now));
    auto& idle = add(0, holder_stage::idle);
    add(0, holder_stage::serving);
    add(0, holder_stage::serving);
    EXPECT_TRUE(idle.evicted());
    EXPECT_FALSE(waiting.evicted());
    EXPECT_FALSE(add(0, holder_stage::serving).evicted());
    EXPECT_TRUE(waiting.evicted());
}

// Guards against silent newcomers that displace the kept connections of ordinary callers.
TEST_F(memory_account_test, connections_without_a_request_are_closed_before_kept_ones)
{
    auto& kept = add(0, holder_stage::serving);
    kept.set_stage(holder_stage::idle);
    m_now += milliseconds(1);
    auto& silent = add(0, holder_stage::idle);
    add(0, holder_stage::serving);
    add(0, holder_stage::serving);
    m_now += make_limits().stall;
    add(0, holder_stage::serving);
    EXPECT_TRUE(silent.evicted());
    EXPECT_FALSE(kept.evicted());
}

// Guards against responses that all hold a part and wait for the rest.
TEST_F(memory_account_test, one_of_many_waiting_responses_gets_room_beyond_the_limit)
{
    auto& first = add(3 * mebibyte, holder_stage::serving);
    auto& second = add(3 * mebibyte, holder_stage::serving);
    EXPECT_FALSE(first.try_hold_or_evict(5 * mebibyte, m_now));
    EXPECT_FALSE(second.try_hold_or_evict(5 * mebibyte, m_now));
    m_now += make_limits().patience;
    EXPECT_FALSE(first.try_hold_or_evict(5 * mebibyte, m_now));
    EXPECT_FALSE(second.try_hold_or_evict(5 * mebibyte, m_now));
    EXPECT_TRUE(first.try_hold_or_evict(5 * mebibyte, m_now));
    EXPECT_FALSE(second.try_hold_or_evict(5 * mebibyte, m_now));
    first.try_hold(0);
    first.set_stage(holder_stage::idle);
    EXPECT_TRUE(second.try_hold_or_evict(5 * mebibyte, m_now));
    EXPECT_FALSE(first.try_hold(8 * mebibyte));
}

// Guards against limits that callers inside the stated limits meet on the VMs in use.
TEST(account_limits, leave_room_for_large_bodies_and_many_connections)
{
    auto const limits = derive_account_limits({88 * mebibyte, 3900, 1024});
    EXPECT_GE(limits.bytes - limits.reserve_bytes, 12 * mebibyte);
    EXPECT_GE(limits.connections, 700);
    auto const unknown = derive_account_limits({0, 0, 1024});
    EXPECT_EQ(unknown.connections, 1024);
    EXPECT_EQ(unknown.queued_connections, 1024);
    EXPECT_GT(unknown.bytes, std::size_t{1} << 60U);
}

} // namespace
} // namespace jasminepier::http
