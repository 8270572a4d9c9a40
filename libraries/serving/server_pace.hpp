/// How long work takes on the servers' VMs, as the servers state it in their responses.
#pragma once

#include "base/clock.hpp"
#include "serving/server_load.hpp"

#include <optional>
#include <unordered_map>

namespace jasminepier::serving
{

/// Pace of a server on which work takes its usual time, in percent.
constexpr double usual_pace_percent = 100;

/// What is known of a server's pace.
struct pace_estimate
{
    double percent = usual_pace_percent;
    /// Certainty from 0, for a server that has stated no pace for long or never, to 1.
    double certainty = 0;
};

/// What a response said about its server's pace.
struct pace_statement
{
    /// Time that work takes at the moment, in percent of the usual time.
    int percent = 0;
    /// When the response arrived.
    base::time_point stated{};
    /// A peer got the response and reported it.
    bool from_peer = false;
};

/// Estimates the pace of each server that states one. A statement holds for the moment, and an
/// estimate for the seconds that a stream lasts: a weighted geometric mean of the statements, which
/// moves back to the usual pace as it ages. Not synchronized.
class server_pace_table
{
public:
    /// Statements outside these limits, in percent, count as not made.
    static constexpr int minimum_percent = 5;
    static constexpr int maximum_percent = 2000;

    /// Takes over a statement unless it is invalid or older than the latest one. Peers repeat their
    /// last statement in each report, so one that is hardly newer counts as the same.
    void record(server_hash server, pace_statement const& statement);
    pace_estimate estimate(server_hash server, base::time_point now) const;
    /// Returns the server's latest statement if this node heard it itself and it is recent enough
    /// to be reported.
    std::optional<pace_report> find_report(server_hash server, base::time_point now) const;
    /// Forgets servers whose estimate has moved back to the usual pace.
    void expire(base::time_point now);
    /// True if any server has stated a pace.
    bool any() const noexcept { return !m_estimates.empty(); }
    bool knows(server_hash server) const { return m_estimates.contains(server); }

private:
    struct record_entry
    {
        pace_statement latest;
        /// Logarithm of the estimate's ratio to the usual pace at the time of the latest statement.
        double log_ratio = 0;
    };

    std::unordered_map<server_hash, record_entry> m_estimates;
};

} // namespace jasminepier::serving
