/// Order and schedule of a roll-out, which moves a service to the servers of another version.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepier::serving
{

/// State of a roll-out, as written to the store. The last two are ends.
enum class rollout_state
{
    in_progress,
    completed,
    rolled_back,
};

/// An operator's order, with the state that has been written for it.
struct rollout_order
{
    std::string service;
    /// The version to which the service moves.
    std::string target;
    /// Time from the order to its deadline.
    base::milliseconds duration{0};
    /// Tells this order from every other one, also from an equal one that was deleted.
    std::uint64_t id = 0;
    /// The store's revision of the order and its state.
    std::int64_t revision = 0;
    std::optional<rollout_state> written = std::nullopt;
    /// When the node that wrote the state first knew the order, by its wall clock.
    std::optional<std::int64_t> started_unix_milliseconds = std::nullopt;

    bool has_ended() const noexcept { return written && *written != rollout_state::in_progress; }
};

/// Limits of a deployment that allows roll-outs.
struct rollout_limits
{
    /// Fraction of a service's requests between the order and its deadline that a bad version may
    /// receive, and the number of requests above it.
    double maximum_share = 0;
    double tolerated_requests = 0;
    /// Time after the 50th bad answer within which the last request to the version is sent.
    base::milliseconds rollback_delay{5000};

    friend bool operator==(rollout_limits const&, rollout_limits const&) = default;
};

enum class rollout_stage
{
    /// No server of the target version is listed.
    waiting,
    canary,
    ramp,
    /// New work goes to the target version; running work ends at the old servers.
    drain,
    /// Running generations leave the old servers.
    retire,
    completed,
    rolled_back,
};

std::string_view to_string(rollout_stage stage) noexcept;
std::string_view to_string(rollout_state state) noexcept;

/// Ends of the stages, as times after the order.
struct rollout_schedule
{
    base::milliseconds canary_end{0};
    base::milliseconds ramp_end{0};
    base::milliseconds drain_end{0};
    /// When the end is written even if requests still run on the old servers.
    base::milliseconds retire_end{0};
};

/// Generations of a service with engines take seconds, so its old servers need longer to drain. A
/// version that turns bad late is found before the ramp only if the canary lasts long, so the other
/// stages are short.
rollout_schedule make_rollout_schedule(base::milliseconds duration, bool has_engines);

/// The stage of a roll-out that has not ended.
rollout_stage find_rollout_stage(rollout_schedule const& schedule, base::milliseconds age) noexcept;

/// What decides the target version's share of the requests.
struct exposure_view
{
    rollout_stage stage = rollout_stage::waiting;
    base::milliseconds age{0};
    base::milliseconds duration{0};
    rollout_schedule schedule;
    /// Requests sent since the order, to the target version and to all versions.
    double target_requests = 0;
    double all_requests = 0;
    /// Every route that has traffic has answers of the target version.
    bool all_routes_seen = false;
};

/// Returns the target version's share of new requests. Before the drain, its requests so far and
/// those of the time in which the nodes notice a bad version stay below the permitted number for
/// the whole duration.
double find_maximum_share(rollout_limits const& limits, exposure_view const& view) noexcept;

} // namespace jasminepier::serving
