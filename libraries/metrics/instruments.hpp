/// Counters and histograms that many threads write without locks.
#pragma once

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

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

/// A distribution of durations over fixed upper bounds.
class alignas(64) duration_histogram
{
public:
    using microseconds = std::chrono::microseconds;

    /// `bounds` are upper bounds in seconds, in rising order.
    explicit duration_histogram(std::span<double const> bounds);

    /// Counts one observation: one search among the bounds and two relaxed atomic additions.
    void observe(microseconds value) noexcept
    {
        m_counts(static_cast<double>(value.count()));
        m_sum.fetch_add(value.count(), std::memory_order_relaxed);
    }

    /// Observations up to each bound, without those of lower bounds; the last value counts those
    /// above every bound. Writers may go on meanwhile.
    std::vector<std::uint64_t> counts() const;
    double sum_seconds() const noexcept
    {
        return static_cast<double>(m_sum.load(std::memory_order_relaxed)) / 1e6;
    }

private:
    // Bins are open below, so that a value equal to a bound belongs to the bin that it closes. The
    // values are whole microseconds; the bounds therefore lie half a microsecond higher.
    using bound_axis = boost::histogram::axis::variable<double, boost::use_default,
                                                        boost::histogram::axis::option::overflow_t>;
    using atomic_count = boost::histogram::accumulators::count<std::uint64_t, true>;
    using storage = boost::histogram::dense_storage<atomic_count>;

    static std::vector<double> edges(std::span<double const> bounds);

    boost::histogram::histogram<std::tuple<bound_axis>, storage> m_counts;
    std::atomic<std::int64_t> m_sum{0};
};

} // namespace jasminepier::metrics
