#include "decision/length_distribution.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::decision
{
namespace
{

/// Edges of all bins, computed once because the logarithm dominates the cost of a look-up.
std::array<double, length_distribution::bins + 1> const& edges()
{
    static auto const values = []
    {
        std::array<double, length_distribution::bins + 1> computed{};
        for (int i = 0; i <= length_distribution::bins; ++i)
            computed[static_cast<std::size_t>(i)] =
                std::pow(length_distribution::longest_output,
                         static_cast<double>(i) / static_cast<double>(length_distribution::bins));
        return computed;
    }();
    return values;
}

int bin_of(double tokens)
{
    auto const& values = edges();
    auto const above = std::upper_bound(values.begin(), values.end(), tokens);
    auto const index = static_cast<int>(above - values.begin()) - 1;
    return std::clamp(index, 0, length_distribution::bins - 1);
}

} // namespace

length_distribution::length_distribution() : m_counts(axis(bins, 1.0, longest_output)) {}

void length_distribution::add(std::int64_t tokens, float weight)
{
    auto const clamped =
        std::clamp(static_cast<double>(tokens), 1.0, std::nextafter(longest_output, 0.0));
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
    if (tokens >= longest_output)
        return 0;
    auto const bin = static_cast<std::size_t>(bin_of(tokens));
    double const width = edges()[bin + 1] - edges()[bin];
    double const above = (edges()[bin + 1] - tokens) / width;
    double const inside = m_tail[bin] - m_tail[bin + 1];
    return (m_tail[bin + 1] + above * inside) / m_tail[0];
}

double length_distribution::remaining_quantile(std::int64_t produced, double q) const
{
    auto const start = static_cast<double>(produced);
    double const target = survival(start) * (1 - q);
    double low = start;
    double high = longest_output;
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
        double const low = std::max(start, edges()[bin]);
        double const high = edges()[bin + 1];
        double const share = (high - low) / (high - edges()[bin]);
        double const count = share * (m_tail[bin] - m_tail[bin + 1]);
        double const middle = (low + high) / 2 - start;
        mass += count;
        sum += count * middle;
        squares += count * (middle * middle + (high - low) * (high - low) / 12);
    }
    // Beyond every sample seen, a generation is expected to double at most.
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
