#include "benchmarks/replay/statistics.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::benchmarks
{
namespace
{

constexpr double minimum_milliseconds = 0.1;
double const bin_width = std::log(1.01);

} // namespace

void duration_distribution::add(double milliseconds)
{
    double const ratio = std::max(milliseconds, minimum_milliseconds) / minimum_milliseconds;
    auto const bin = static_cast<std::size_t>(std::log(ratio) / bin_width);
    if (bin >= m_bins.size())
        m_bins.resize(bin + 1);
    ++m_bins[bin];
    ++m_total;
}

void duration_distribution::merge(duration_distribution const& other)
{
    if (other.m_bins.size() > m_bins.size())
        m_bins.resize(other.m_bins.size());
    for (std::size_t bin = 0; bin < other.m_bins.size(); ++bin)
        m_bins[bin] += other.m_bins[bin];
    m_total += other.m_total;
}

void group_statistics::merge(group_statistics const& other)
{
    arrived += other.arrived;
    rejected += other.rejected;
    abandoned += other.abandoned;
    failed += other.failed;
    completed += other.completed;
    tokens += other.tokens;
    unserved_tokens += other.unserved_tokens;
    stall_seconds += other.stall_seconds;
    token_gaps.merge(other.token_gaps);
    time_to_first_token.merge(other.time_to_first_token);
}

void replay_statistics::merge(replay_statistics const& other)
{
    all.merge(other.all);
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        kinds[kind].merge(other.kinds[kind]);
    largest_customer.merge(other.largest_customer);
    smallest_customer.merge(other.smallest_customer);
    preemptions += other.preemptions;
    cold_overloads += other.cold_overloads;
    unreported_cold_overloads += other.unreported_cold_overloads;
    engine_crashes += other.engine_crashes;
    interrupted_generations += other.interrupted_generations;
}

double duration_distribution::quantile(double quantile_fraction) const
{
    auto const rank = static_cast<std::uint64_t>(quantile_fraction * static_cast<double>(m_total));
    std::uint64_t sum = 0;
    for (std::size_t bin = 0; bin < m_bins.size(); ++bin)
    {
        sum += m_bins[bin];
        if (sum > rank)
            return minimum_milliseconds * std::exp((static_cast<double>(bin) + 0.5) * bin_width);
    }
    return 0;
}

} // namespace jasminepier::benchmarks
