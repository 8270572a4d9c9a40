#include "decision/length_distribution.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::decision
{
namespace
{

/// Edges of all bins. They are computed once because the logarithm dominates the cost of a lookup.
std::array<double, length_distribution::bins + 1> const& bin_edges()
{
    static auto const values = []
    {
        std::array<double, length_distribution::bins + 1> computed{};
        for (int i = 0; i <= length_distribution::bins; ++i)
            computed[static_cast<std::size_t>(i)] =
                std::pow(length_distribution::maximum_output_tokens,
                         static_cast<double>(i) / static_cast<double>(length_distribution::bins));
        return computed;
    }();
    return values;
}

int bin_of(double tokens)
{
    auto const& values = bin_edges();
    auto const above = std::upper_bound(values.begin(), values.end(), tokens);
    auto const index = static_cast<int>(above - values.begin()) - 1;
    return std::clamp(index, 0, length_distribution::bins - 1);
}

} // namespace

length_distribution::length_distribution() : m_counts(axis(bins, 1.0, maximum_output_tokens)) {}

void length_distribution::add(std::int64_t tokens, float weight)
{
    auto const clamped =
        std::clamp(static_cast<double>(tokens), 1.0, std::nextafter(maximum_output_tokens, 0.0));
    m_counts(clamped, boost::histogram::weight(weight));
    if (weight == 1 && ++m_samples % samples_per_halving == 0)
        m_counts *= 0.5;
    update_tail();
}

void length_distribution::update_tail()
{
    float sum = 0;
    for (int i = bins; i-- > 0;)
    {
        sum += m_counts.at(i);
        m_tail[static_cast<std::size_t>(i)] = sum;
    }
}

double length_distribution::survival(double tokens) const
{
    if (tokens < 1 || m_tail[0] <= 0)
        return 1;
    if (tokens >= maximum_output_tokens)
        return 0;
    auto const bin = static_cast<std::size_t>(bin_of(tokens));
    double const width = bin_edges()[bin + 1] - bin_edges()[bin];
    double const above = (bin_edges()[bin + 1] - tokens) / width;
    double const inside = m_tail[bin] - m_tail[bin + 1];
    return (m_tail[bin + 1] + above * inside) / m_tail[0];
}

double length_distribution::remaining_quantile(std::int64_t produced, double fraction) const
{
    auto const start = static_cast<double>(produced);
    double const target = survival(start) * (1 - fraction);
    double low = start;
    double high = maximum_output_tokens;
    while (high - low > 0.5)
    {
        double const middle = (low + high) / 2;
        (survival(middle) > target ? low : high) = middle;
    }
    return high - start;
}

remaining_length length_distribution::remaining(std::int64_t produced) const
{
    auto const start = std::max(1.0, static_cast<double>(produced));
    double mass = 0;
    double sum = 0;
    double squares = 0;
    for (auto bin = static_cast<std::size_t>(bin_of(start)); bin < bins; ++bin)
    {
        double const low = std::max(start, bin_edges()[bin]);
        double const high = bin_edges()[bin + 1];
        double const fraction = (high - low) / (high - bin_edges()[bin]);
        double const count = fraction * (m_tail[bin] - m_tail[bin + 1]);
        double const middle = (low + high) / 2 - start;
        mass += count;
        sum += count * middle;
        squares += count * (middle * middle + (high - low) * (high - low) / 12);
    }
    // No sample is longer than `produced`: expect the length to double at most.
    if (mass <= 1e-6)
        return {start, start * start};
    double const mean = sum / mass;
    return {mean, std::max(0.0, squares / mass - mean * mean)};
}

std::size_t length_distribution::memory_bytes() const noexcept
{
    return sizeof(*this) + bins * sizeof(float);
}

} // namespace jasminepier::decision
