#include "benchmarks/replay/figures.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::benchmarks
{
namespace
{

constexpr double smallest_milliseconds = 0.1;
double const bin_width = std::log(1.01);

} // namespace

void duration_counts::add(double milliseconds)
{
    double const ratio = std::max(milliseconds, smallest_milliseconds) / smallest_milliseconds;
    auto const bin = static_cast<std::size_t>(std::log(ratio) / bin_width);
    if (bin >= m_bins.size())
        m_bins.resize(bin + 1);
    ++m_bins[bin];
    ++m_total;
}

double duration_counts::quantile(double q) const
{
    auto const wanted = static_cast<std::uint64_t>(q * static_cast<double>(m_total));
    std::uint64_t sum = 0;
    for (std::size_t bin = 0; bin < m_bins.size(); ++bin)
    {
        sum += m_bins[bin];
        if (sum > wanted)
            return smallest_milliseconds * std::exp((static_cast<double>(bin) + 0.5) * bin_width);
    }
    return 0;
}

} // namespace jasminepier::benchmarks
