/// The measurements of a replay.
#pragma once

#include "configuration/types.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace jasminepier::benchmarks
{

/// A histogram of durations whose bins are 1% wide.
class duration_distribution
{
public:
    void add(double milliseconds);
    /// Returns a quantile in milliseconds, with `quantile_fraction` from 0 to 1; 0 if there are no
    /// durations.
    double quantile(double quantile_fraction) const;
    void merge(duration_distribution const& other);
    std::uint64_t total() const noexcept { return m_total; }

private:
    std::vector<std::uint64_t> m_bins;
    std::uint64_t m_total = 0;
};

/// Gaps between tokens above this threshold are stalls; it is four times the target of 38 ms.
inline constexpr double stall_threshold_milliseconds = 152;

/// Statistics of a group of requests.
struct group_statistics
{
    std::int64_t arrived = 0;
    std::int64_t rejected = 0;
    /// The caller disconnected, since no token arrived within the kind's maximum wait.
    std::int64_t abandoned = 0;
    /// All attempts failed.
    std::int64_t failed = 0;
    std::int64_t completed = 0;
    /// Tokens produced before the trace ended, without those of failed attempts.
    std::int64_t tokens = 0;
    std::int64_t unserved_tokens = 0;
    double stall_seconds = 0;
    duration_distribution token_gaps;
    duration_distribution time_to_first_token;

    void merge(group_statistics const& other);
    std::int64_t unserved() const noexcept { return rejected + abandoned + failed; }
};

struct replay_statistics
{
    group_statistics all;
    std::array<group_statistics, configuration::work_kind_count> kinds;
    group_statistics largest_customer;
    group_statistics smallest_customer;
    std::int64_t preemptions = 0;
    /// Engine failures caused by too much load on a cold engine.
    std::int64_t cold_overloads = 0;
    /// Cold overloads within 2 s of turning cold, before the reports can have shown it.
    std::int64_t unreported_cold_overloads = 0;
    /// Engine failures caused by a request that crashes engines.
    std::int64_t engine_crashes = 0;
    /// Generations interrupted by an engine that failed or stopped.
    std::int64_t interrupted_generations = 0;

    /// Adds the statistics of another replay.
    void merge(replay_statistics const& other);
};

} // namespace jasminepier::benchmarks
