/// Counters and histograms that many threads update without locks.
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

/// A monotonically increasing counter. Aligned to a cache line to avoid false sharing.
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

/// Shards per histogram. Each thread writes to one shard, so that threads rarely share a cache
/// line. 16 shards cover the cores that an entry process uses.
inline constexpr std::size_t histogram_shards = 16;

/// Returns the shard index of the calling thread.
inline std::size_t current_shard() noexcept
{
    static std::atomic<std::size_t> next{0};
    thread_local std::size_t const shard = next++ % histogram_shards;
    return shard;
}

/// A histogram of durations with fixed bucket bounds.
class duration_histogram
{
public:
    using microseconds = std::chrono::microseconds;

    /// `upper_bounds` are the buckets' inclusive upper bounds in seconds, in ascending order.
    explicit duration_histogram(std::span<double const> upper_bounds);

    /// Records one observation: a search for the bucket and two relaxed atomic additions.
    void observe(microseconds value) noexcept
    {
        auto& shard_data = m_shards[current_shard()];
        shard_data.counts(static_cast<double>(value.count()));
        shard_data.sum_microseconds.fetch_add(value.count(), std::memory_order_relaxed);
    }

    /// Returns the non-cumulative count of each bucket; the last value counts the observations
    /// above all bounds. Other threads may keep observing.
    std::vector<std::uint64_t> counts() const;
    double sum_seconds() const noexcept;

private:
    // Boost's bins include their lower edge, but a value equal to an upper bound belongs to the
    // bucket of that bound. Values are whole microseconds, so each edge is half a microsecond above
    // its bound.
    using bucket_axis =
        boost::histogram::axis::variable<double, boost::use_default,
                                         boost::histogram::axis::option::overflow_t>;
    using atomic_count = boost::histogram::accumulators::count<std::uint64_t, true>;
    using storage = boost::histogram::dense_storage<atomic_count>;

    struct alignas(64) shard
    {
        boost::histogram::histogram<std::tuple<bucket_axis>, storage> counts;
        std::atomic<std::int64_t> sum_microseconds{0};
    };

    static std::vector<double> bin_edges(std::span<double const> upper_bounds);

    std::array<shard, histogram_shards> m_shards;
};

} // namespace jasminepier::metrics
