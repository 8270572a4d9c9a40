/// Prediction of KV-cache demand.
#pragma once

#include "decision/length_distribution.hpp"

#include <array>
#include <cstdint>

namespace jasminepier::decision
{

/// Horizons at which demand is predicted: further tokens that each running generation produces.
/// Memory use peaks at one of them. A sum of the final lengths would overestimate the demand,
/// because short generations end while long ones grow.
inline constexpr std::array<double, 6> horizons{0, 64, 256, 1024, 4096, 16384};

/// Expected KV-cache demand in tokens and its variance at each horizon. Demands of independent
/// generations add up.
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

/// Returns the demand of a generation that has `kv_tokens` in the KV cache, of which `produced` are
/// output, and that produces at most `limit` output tokens.
demand predict_demand(length_distribution const& lengths, std::int64_t kv_tokens,
                      std::int64_t produced, std::int64_t limit);

/// Returns the maximum over all horizons of the mean plus `deviations` standard deviations.
double peak_demand(demand const& total, double deviations) noexcept;

} // namespace jasminepier::decision
