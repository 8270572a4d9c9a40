/// Counters and histograms that many threads write without locks.
#pragma once

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace jasminepier::metrics
{

/// A number that only grows. Aligned to a cache line, so that neighbours do not slow each other.
class alignas(64) counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// Shards per histogram. Each thread writes to one of them, so that threads rarely share a cache
/// line; 16 covers the cores that an entry process keeps busy.
inline constexpr std::size_t histogram_shards = 16;

/// Returns the shard of the calling thread.
inline std::size_t current_shard() noexcept
{
    static std::atomic<std::size_t> next{0};
    thread_local std::size_t const shard = next++ % histogram_shards;
    return shard;
}

/// A distribution of durations over fixed upper bounds.
class duration_histogram
{
public:
    using microseconds = std::chrono::microseconds;

    /// `bounds` are upper bounds in seconds, in rising order.
    explicit duration_histogram(std::span<double const> bounds);

    /// Counts one observation: one search among the bounds and two relaxed atomic additions.
    void observe(microseconds value) noexcept
    {
        auto& target = m_shards[current_shard()];
        target.counts(static_cast<double>(value.count()));
        target.sum.fetch_add(value.count(), std::memory_order_relaxed);
    }

    /// Observations up to each bound, without those of lower bounds; the last value counts those
    /// above every bound. Writers may go on meanwhile.
    std::vector<std::uint64_t> counts() const;
    double sum_seconds() const noexcept;

private:
    // Bins are open below, so that a value equal to a bound belongs to the bin that it closes. The
    // values are whole microseconds; the bounds therefore lie half a microsecond higher.
    using bound_axis = boost::histogram::axis::variable<double, boost::use_default,
                                                        boost::histogram::axis::option::overflow_t>;
    using atomic_count = boost::histogram::accumulators::count<std::uint64_t, true>;
    using storage = boost::histogram::dense_storage<atomic_count>;

    struct alignas(64) shard
    {
        boost::histogram::histogram<std::tuple<bound_axis>, storage> counts;
        std::atomic<std::int64_t> sum{0};
    };

    static std::vector<double> edges(std::span<double const> bounds);

    std::array<shard, histogram_shards> m_shards;
};

} // namespace jasminepier::metrics
