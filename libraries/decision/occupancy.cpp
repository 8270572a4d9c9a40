#include "decision/occupancy.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::decision
{

demand predict_demand(length_distribution const& lengths, std::int64_t kv_tokens,
                      std::int64_t produced, std::int64_t limit)
{
    demand predicted;
    auto const start = static_cast<double>(produced);
    double const current_survival = std::max(lengths.survival(start), 1e-9);
    for (std::size_t i = 0; i < horizons.size(); ++i)
    {
        double const ahead = horizons[i];
        if (ahead > 0 && start + ahead >= static_cast<double>(limit))
            break;
        // A generation longer than all samples is assumed to end after the next horizon.
        double const fraction =
            current_survival <= 1e-6
                ? (i <= 1 ? 1.0 : 0.0)
                : std::min(1.0, lengths.survival(start + ahead) / current_survival);
        double const size = static_cast<double>(kv_tokens) + ahead;
        predicted.mean[i] = fraction * size;
        predicted.variance[i] = fraction * (1 - fraction) * size * size;
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
