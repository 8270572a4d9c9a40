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

/// Parts of the policy that the benchmark and tests switch off one by one. Production uses the
/// defaults.
struct policy_switches
{
    /// Requests wait in the queue until they fit; otherwise they are sent at once.
    toggle admission = toggle::on;
    /// Lengths are learned; otherwise the priors are used.
    toggle learned_lengths = toggle::on;
    /// Demand is predicted ahead; otherwise only memory held now counts.
    toggle growth = toggle::on;
    /// Sends of other nodes since the last report are estimated.
    toggle peer_dispatches = toggle::on;
    toggle margin = toggle::on;
    toggle reserves = toggle::on;
    toggle fair_queuing = toggle::on;
    toggle prefix_affinity = toggle::on;
    toggle zone_distance = toggle::on;
    toggle cold_slots = toggle::on;
    toggle early_refusal = toggle::on;
};

/// Latency targets of the product, section 1.3 of the design page.
inline constexpr double first_token_target_milliseconds = 1100;
inline constexpr double between_token_target_milliseconds = 38;
/// A token time this many times the target counts as slow.
inline constexpr double slow_factor = 4;
/// A between-token time this many times the server's usual one counts as slow. A cold engine is
/// several times slower, yet may stay below the absolute limit when its batch is small.
inline constexpr double slow_factor_of_usual = 3;

/// Score added for a server in another zone or region, in parts of a server's memory. A hop between
/// zones costs 1.5 ms one way, which is worth less than a few generations in the batch.
inline constexpr double other_zone_score = 0.02;
inline constexpr double other_region_score = 0.30;
inline constexpr double cold_score = 0.20;
/// Score added after a failed attempt until a later report, so that a dead server is not the least
/// loaded one. It is no exclusion, because a slow call fails as well.
inline constexpr double failure_score = 0.50;
/// Score taken off for a server that is expected to hold the prompt prefix.
inline constexpr double prefix_score = 0.10;
/// Servers looked at per decision for each candidate wanted; the rest of the fleet is not read.
inline constexpr int samples_per_candidate = 4;

} // namespace jasminepier::decision
