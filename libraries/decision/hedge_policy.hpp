/// Hedging policy: when a lookup may be sent to a second server because the first one is slow.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace jasminepier::decision
{

/// Recent latencies and the hedge budget of one service. Not synchronized.
class service_hedge_state
{
public:
    /// With fewer samples the percentile is unknown and no lookup is hedged.
    static constexpr std::size_t minimum_samples = 32;
    static constexpr std::size_t window_samples = 256;
    /// Capacity of the token bucket: the largest burst of hedges.
    static constexpr double capacity = 10;

    /// Adds `fraction` of a hedge to the budget.
    void record_lookup(double fraction) noexcept
    {
        m_tokens = std::min(capacity, m_tokens + fraction);
    }
    void record_latency(base::milliseconds latency) noexcept
    {
        m_samples[m_count++ % window_samples] = latency;
        // The percentile may lag by a few samples, so it isn't computed for each one.
        if (m_count % minimum_samples == 0)
            update_delay();
    }
    /// Returns the 95th percentile of the latencies, or nothing while it is unknown.
    std::optional<base::milliseconds> hedge_delay() const noexcept { return m_hedge_delay; }
    bool try_spend() noexcept
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    void update_delay() noexcept
    {
        auto sorted = m_samples;
        auto const size = std::min(m_count, window_samples);
        auto const rank = static_cast<std::ptrdiff_t>(size * 95 / 100);
        std::nth_element(sorted.begin(), sorted.begin() + rank,
                         sorted.begin() + static_cast<std::ptrdiff_t>(size));
        m_hedge_delay = std::max(sorted[static_cast<std::size_t>(rank)], base::milliseconds(1));
    }

    std::array<base::milliseconds, window_samples> m_samples{};
    std::size_t m_count = 0;
    std::optional<base::milliseconds> m_hedge_delay;
    // Starts empty, so hedges never exceed the configured fraction of the lookups.
    double m_tokens = 0;
};

/// Hedging state of all services. Thread-safe.
class hedge_policy
{
public:
    /// Counts a lookup, adds `fraction` of a hedge to the service's budget and returns the delay
    /// after which the lookup may be hedged, or nothing if it may not.
    std::optional<base::milliseconds> begin_lookup(std::string const& service, double fraction)
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_services[service];
        state.record_lookup(fraction);
        return state.hedge_delay();
    }
    void record_latency(std::string const& service, base::milliseconds latency)
    {
        std::lock_guard lock(m_mutex);
        m_services[service].record_latency(latency);
    }
    bool try_spend(std::string const& service)
    {
        std::lock_guard lock(m_mutex);
        return m_services[service].try_spend();
    }

private:
    base::ordered_mutex<base::lock_level::hedge_policy> m_mutex;
    std::map<std::string, service_hedge_state> m_services;
};

} // namespace jasminepier::decision
