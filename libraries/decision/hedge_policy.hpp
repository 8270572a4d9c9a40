/// When a lookup may be sent to a second server because the first is slow.
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

/// The latest latencies of one service and the hedges it may still send. Not synchronized.
class service_hedging
{
public:
    /// With fewer samples the percentile is not known and no lookup is hedged.
    static constexpr std::size_t minimum_samples = 32;
    static constexpr std::size_t kept_samples = 256;
    /// A burst of slow lookups may send this many hedges at once.
    static constexpr double capacity = 10;

    void add_lookup(double share) noexcept { m_level = std::min(capacity, m_level + share); }
    void record_latency(base::milliseconds latency) noexcept
    {
        m_samples[m_count++ % kept_samples] = latency;
        // The order of the samples only matters for the percentile, which may lag a little.
        if (m_count % minimum_samples == 0)
            update();
    }
    std::optional<base::milliseconds> delay() const noexcept { return m_delay; }
    bool try_spend() noexcept
    {
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    void update() noexcept
    {
        auto sorted = m_samples;
        auto const size = std::min(m_count, kept_samples);
        auto const rank = static_cast<std::ptrdiff_t>(size * 95 / 100);
        std::nth_element(sorted.begin(), sorted.begin() + rank,
                         sorted.begin() + static_cast<std::ptrdiff_t>(size));
        m_delay = std::max(sorted[static_cast<std::size_t>(rank)], base::milliseconds(1));
    }

    std::array<base::milliseconds, kept_samples> m_samples{};
    std::size_t m_count = 0;
    std::optional<base::milliseconds> m_delay;
    // Starts empty, so that hedges never exceed the share of the lookups sent.
    double m_level = 0;
};

/// The hedging of all services; synchronized.
class hedge_policy
{
public:
    /// Counts a lookup and returns the latency after which it may be hedged.
    std::optional<base::milliseconds> begin_lookup(std::string const& service, double share)
    {
        std::lock_guard lock(m_mutex);
        auto& hedging = m_services[service];
        hedging.add_lookup(share);
        return hedging.delay();
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
    std::map<std::string, service_hedging> m_services;
};

} // namespace jasminepier::decision
