/// KV-cache demand of generations at several points ahead.
#pragma once

#include "decision/length_distribution.hpp"

#include <array>
#include <cstdint>

namespace jasminepier::decision
{

/// Points at which demand is predicted, in tokens that each running generation will have produced.
/// Memory is fullest at one of them; a sum of final lengths would overstate the demand, because
/// short generations end while long ones grow.
inline constexpr std::array<double, 6> horizons{0, 64, 256, 1024, 4096, 16384};

/// Expected demand and its variance at each horizon, in tokens. Demands of independent generations
/// add up.
struct demand
{
    std::array<double, horizons.size()> mean{};
    std::array<double, horizons.size()> variance{};

    demand& operator+=(demand const& other) noexcept
    {
        add_scaled(other, 1);
        return *this;
    }
    demand& operator-=(demand const& other) noexcept
    {
        add_scaled(other, -1);
        return *this;
    }
    void add_scaled(demand const& other, double factor) noexcept
    {
        for (std::size_t i = 0; i < horizons.size(); ++i)
        {
            mean[i] += factor * other.mean[i];
            variance[i] += factor * other.variance[i];
        }
    }
    void scale(double factor) noexcept
    {
        for (std::size_t i = 0; i < horizons.size(); ++i)
        {
            mean[i] *= factor;
            variance[i] *= factor;
        }
    }
};

/// Returns the demand of one generation with `held` tokens in memory, `produced` of which are
/// output; `limit` is the most output it may produce.
demand predict_demand(length_distribution const& lengths, std::int64_t held, std::int64_t produced,
                      std::int64_t limit);

/// Returns the highest demand over all horizons with `deviations` standard deviations added.
double peak_demand(demand const& total, double deviations) noexcept;

} // namespace jasminepier::decision
