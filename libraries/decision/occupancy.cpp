#include "decision/occupancy.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::decision
{

demand predict_demand(length_distribution const& lengths, std::int64_t held, std::int64_t produced,
                      std::int64_t limit)
{
    demand predicted;
    auto const start = static_cast<double>(produced);
    double const alive = std::max(lengths.survival(start), 1e-9);
    for (std::size_t i = 0; i < horizons.size(); ++i)
    {
        double const ahead = horizons[i];
        if (ahead > 0 && start + ahead >= static_cast<double>(limit))
            break;
        // A generation beyond all samples is taken to go on through the next horizon only.
        double const share = alive <= 1e-6 ? (i <= 1 ? 1.0 : 0.0)
                                           : std::min(1.0, lengths.survival(start + ahead) / alive);
        double const size = static_cast<double>(held) + ahead;
        predicted.mean[i] = share * size;
        predicted.variance[i] = share * (1 - share) * size * size;
    }
    return predicted;
}

double peak_demand(demand const& total, double deviations) noexcept
{
    double peak = 0;
    for (std::size_t i = 0; i < horizons.size(); ++i)
        peak = std::max(peak,
                        total.mean[i] + deviations * std::sqrt(std::max(0.0, total.variance[i])));
    return peak;
}

} // namespace jasminepier::decision
