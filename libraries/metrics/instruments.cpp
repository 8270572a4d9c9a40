#include "metrics/instruments.hpp"

namespace jasminepier::metrics
{

duration_histogram::duration_histogram(std::span<double const> bounds)
{
    for (auto& target : m_shards)
        target.counts = decltype(target.counts)(std::tuple(bound_axis(edges(bounds))));
}

std::vector<double> duration_histogram::edges(std::span<double const> bounds)
{
    // The first edge lies below every duration, negative ones from clock steps included.
    std::vector<double> edges{-1e18};
    for (double const bound : bounds)
        edges.push_back(bound * 1e6 + 0.5);
    return edges;
}

std::vector<std::uint64_t> duration_histogram::counts() const
{
    auto const bins = m_shards.front().counts.axis().size();
    std::vector<std::uint64_t> counts(static_cast<std::size_t>(bins) + 1);
    // Index `bins` is the overflow bin.
    for (auto const& source : m_shards)
        for (int i = 0; i <= bins; ++i)
            counts[static_cast<std::size_t>(i)] += source.counts.at(i).value();
    return counts;
}

double duration_histogram::sum_seconds() const noexcept
{
    std::int64_t microseconds_total = 0;
    for (auto const& source : m_shards)
        microseconds_total += source.sum.load(std::memory_order_relaxed);
    return static_cast<double>(microseconds_total) / 1e6;
}

} // namespace jasminepier::metrics
