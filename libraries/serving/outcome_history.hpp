/// Decayed counts of attempts and failures.
#pragma once

#include "base/clock.hpp"

#include <cmath>

namespace jasminepier::serving
{

/// Counts that halve every `half_life`. Not synchronized.
class outcome_history
{
public:
    /// Long enough to hold a few requests of a quiet node, short against a fault of some seconds.
    static constexpr std::chrono::milliseconds half_life{3000};

    void add(bool failed, base::time_point now)
    {
        decay(now);
        m_attempts += 1;
        m_failures += failed ? 1 : 0;
    }
    double attempts(base::time_point now) const { return m_attempts * factor(now); }
    double failures(base::time_point now) const { return m_failures * factor(now); }

private:
    double factor(base::time_point now) const
    {
        auto const age = std::chrono::duration<double>(now - m_updated);
        return std::exp2(-age / std::chrono::duration<double>(half_life));
    }
    void decay(base::time_point now)
    {
        auto const kept = factor(now);
        m_attempts *= kept;
        m_failures *= kept;
        m_updated = now;
    }

    double m_attempts = 0;
    double m_failures = 0;
    base::time_point m_updated{};
};

} // namespace jasminepier::serving
