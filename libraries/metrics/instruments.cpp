#include "metrics/instruments.hpp"

namespace jasminepier::metrics
{

duration_histogram::duration_histogram(std::span<double const> bounds)
    : m_counts(std::tuple(bound_axis(edges(bounds))))
{
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
    std::vector<std::uint64_t> counts;
    auto const bins = m_counts.axis().size();
    counts.reserve(static_cast<std::size_t>(bins) + 1);
    // Index `bins` is the overflow bin.
    for (int i = 0; i <= bins; ++i)
        counts.push_back(m_counts.at(i).value());
    return counts;
}

} // namespace jasminepier::metrics
