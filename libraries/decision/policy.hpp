/// Constants and switches of the decision policy.
#pragma once

#include "base/clock.hpp"

namespace jasminepier::decision
{

enum class toggle
{
    off,
    on,
};

/// Features of the policy that the benchmark and tests disable one by one. Production uses the
/// defaults.
struct policy_switches
{
    /// Requests wait in the queue until they fit; when off, they are dispatched at once.
    toggle admission = toggle::on;
    /// Output lengths are learned; when off, the priors are used.
    toggle learned_lengths = toggle::on;
    /// Future demand is predicted; when off, only the current KV-cache use counts.
    toggle growth = toggle::on;
    /// Dispatches of other nodes since the last load report are estimated.
    toggle peer_dispatches = toggle::on;
    toggle margin = toggle::on;
    toggle reserves = toggle::on;
    toggle fair_queuing = toggle::on;
    toggle prefix_affinity = toggle::on;
    toggle zone_distance = toggle::on;
    toggle cold_slots = toggle::on;
    toggle early_refusal = toggle::on;
};

/// Latency targets; see section 1.3 of the design page.
inline constexpr double first_token_target_milliseconds = 1100;
inline constexpr double between_token_target_milliseconds = 38;
/// A token time of this multiple of its target counts as slow.
inline constexpr double slow_factor_of_target = 4;
/// A between-token time of this multiple of the server's mean counts as slow. A cold engine is
/// several times slower but may stay below the absolute limit while its batch is small.
inline constexpr double slow_factor_of_mean = 3;

/// Penalties for a server in another zone or region, as fractions of a server's memory. A hop
/// between zones takes 1.5 ms one way, which matters less than a few more generations in the batch.
inline constexpr double other_zone_score = 0.02;
inline constexpr double other_region_score = 0.30;
inline constexpr double cold_score = 0.20;
/// Penalty after a failed attempt until a later report arrives. Without it, a dead server would
/// look like the least loaded one. The server isn't excluded, because slow requests fail, too.
inline constexpr double failure_score = 0.50;
/// Bonus for a server that is expected to have the prompt prefix cached.
inline constexpr double prefix_score = 0.10;
/// Servers sampled per decision and requested candidate. Bounds the cost of a decision in a large
/// fleet.
inline constexpr int samples_per_candidate = 4;

} // namespace jasminepier::decision
