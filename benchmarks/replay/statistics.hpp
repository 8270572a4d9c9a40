/// What one replay measures.
#pragma once

#include "configuration/types.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace jasminepier::benchmarks
{

/// Counts durations in bins of 1% relative width.
class duration_distribution
{
public:
    void add(double milliseconds);
    /// Returns the duration that a share `q` does not exceed, milliseconds; 0 without durations.
    double quantile(double q) const;
    void merge(duration_distribution const& other);
    std::uint64_t total() const noexcept { return m_total; }

private:
    std::vector<std::uint64_t> m_bins;
    std::uint64_t m_total = 0;
};

/// Gaps longer than this count as stalls: four times the target between tokens.
inline constexpr double stall_threshold_milliseconds = 152;

struct group_statistics
{
    std::int64_t arrived = 0;
    std::int64_t refused = 0;
    /// The caller left because no first token came within the kind's waiting limit.
    std::int64_t abandoned = 0;
    /// All attempts failed.
    std::int64_t lost = 0;
    std::int64_t completed = 0;
    /// Tokens produced before the trace ended, without those of failed attempts.
    std::int64_t tokens = 0;
    std::int64_t unserved_tokens = 0;
    double stall_seconds = 0;
    duration_distribution token_gaps;
    duration_distribution time_to_first_token;

    void merge(group_statistics const& other);
    std::int64_t unserved() const noexcept { return refused + abandoned + lost; }
};

struct replay_statistics
{
    group_statistics all;
    std::array<group_statistics, configuration::work_kind_count> kinds;
    group_statistics largest_customer;
    group_statistics smallest_customer;
    std::int64_t preemptions = 0;
    /// Failures of engines that carried too much while cold.
    std::int64_t cold_overloads = 0;
    /// Those within 2 s of turning cold, before any report can have told it.
    std::int64_t unreported_cold_overloads = 0;
    /// Engines that a crashing request brought down.
    std::int64_t crashes = 0;
    /// Generations broken off by an engine that failed or stopped.
    std::int64_t broken = 0;

    /// Adds the figures of a replay with another seed.
    void merge(replay_statistics const& other);
};

} // namespace jasminepier::benchmarks
