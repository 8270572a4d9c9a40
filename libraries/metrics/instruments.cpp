#include "metrics/instruments.hpp"

namespace jasminepier::metrics
{

duration_histogram::duration_histogram(std::span<double const> upper_bounds)
{
    for (auto& shard_data : m_shards)
        shard_data.counts =
            decltype(shard_data.counts)(std::tuple(bucket_axis(bin_edges(upper_bounds))));
}

std::vector<double> duration_histogram::bin_edges(std::span<double const> upper_bounds)
{
    // Below all durations, including negative ones from clock steps.
    std::vector<double> edges{-1e18};
    for (double const bound : upper_bounds)
        edges.push_back(bound * 1e6 + 0.5);
    return edges;
}

std::vector<std::uint64_t> duration_histogram::counts() const
{
    auto const bins = m_shards.front().counts.axis().size();
    std::vector<std::uint64_t> counts(static_cast<std::size_t>(bins) + 1);
    // Index `bins` is the overflow bin.
    for (auto const& shard_data : m_shards)
        for (int i = 0; i <= bins; ++i)
            counts[static_cast<std::size_t>(i)] += shard_data.counts.at(i).value();
    return counts;
}

double duration_histogram::sum_seconds() const noexcept
{
    std::int64_t microseconds_total = 0;
    for (auto const& shard_data : m_shards)
        microseconds_total += shard_data.sum_microseconds.load(std::memory_order_relaxed);
    return static_cast<double>(microseconds_total) / 1e6;
}

} // namespace jasminepier::metrics
