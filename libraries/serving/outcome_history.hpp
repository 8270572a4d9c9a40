/// Exponentially decayed counts of attempts and failures.
#pragma once

#include "base/clock.hpp"

#include <cmath>

namespace jasminepier::serving
{

/// Counts attempts and failures; both counts halve every `half_life`. Not synchronized.
class outcome_history
{
public:
    /// Long enough to cover a few requests of a node with little traffic, and short compared to a
    /// fault of several seconds.
    static constexpr std::chrono::milliseconds half_life{3000};

    void add(bool failed, base::time_point now)
    {
        decay(now);
        m_attempts += 1;
        m_failures += failed ? 1 : 0;
    }
    double attempts(base::time_point now) const { return m_attempts * decay_factor(now); }
    double failures(base::time_point now) const { return m_failures * decay_factor(now); }

private:
    double decay_factor(base::time_point now) const
    {
        auto const age = std::chrono::duration<double>(now - m_updated);
        return std::exp2(-age / std::chrono::duration<double>(half_life));
    }
    void decay(base::time_point now)
    {
        auto const remaining_fraction = decay_factor(now);
        m_attempts *= remaining_fraction;
        m_failures *= remaining_fraction;
        m_updated = now;
    }

    double m_attempts = 0;
    double m_failures = 0;
    base::time_point m_updated{};
};

} // namespace jasminepier::serving
