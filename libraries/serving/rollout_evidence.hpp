/// Evidence for and against a service's new version, summed over the nodes.
#pragma once

#include "base/clock.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::serving
{

/// Servers of the new version are counted in a few groups, so that one faulty server can be told
/// from a faulty version. Servers of other versions are in group 0.
struct evidence_key
{
    bool is_target = false;
    /// Short hash of the route's name.
    std::int32_t route = 0;
    std::int32_t group = 0;

    auto operator<=>(evidence_key const&) const = default;
};

/// Counts only grow.
struct outcome_counts
{
    /// Requests sent, whatever became of them.
    std::int64_t sent = 0;
    /// Answers and failures that tell something about the version.
    std::int64_t answers = 0;
    std::int64_t failures = 0;
    /// Answers that took several times as long as those of the old version usually do.
    std::int64_t slow = 0;

    outcome_counts& operator+=(outcome_counts const& other) noexcept;
    outcome_counts operator-(outcome_counts const& other) const noexcept;
};

using evidence_table = std::map<evidence_key, outcome_counts>;

/// A process that reports its evidence, or a zone that reports the sum of its nodes.
struct evidence_source
{
    std::string zone;
    /// Empty for a zone.
    std::string node;
    /// Start of the process, which counts from 0.
    std::int64_t started = 0;

    /// The node that reports for its zone, and its start. Each such node knows another sum.
    std::string reporter = {};
    std::int64_t reporter_started = 0;

    auto operator<=>(evidence_source const&) const = default;
    bool is_zone() const noexcept { return node.empty(); }
};

/// Sums of one version.
struct version_sums
{
    outcome_counts target;
    outcome_counts others;
};

enum class bad_sign
{
    failures,
    slow_answers,
};

/// Why a version is considered bad, with the counts on which this rests.
struct rollout_finding
{
    std::int32_t route = 0;
    bad_sign sign = bad_sign::failures;
    /// 0 for the whole time since the order.
    base::milliseconds span{0};
    std::int64_t target_answers = 0;
    std::int64_t target_bad = 0;
    std::int64_t other_answers = 0;
    std::int64_t other_bad = 0;
};

/// Not synchronized.
class rollout_evidence
{
public:
    static constexpr std::int32_t group_count = 4;

    /// Counts of this node.
    evidence_table const& own() const noexcept { return m_own; }
    void add(evidence_key const& key, outcome_counts const& counts);
    /// Takes over a source's counts. Older and repeated reports change nothing.
    /// Of the nodes that report for a zone one is followed, until it is silent for some time.
    void merge(evidence_source const& source, evidence_table const& counts, base::time_point now);
    /// The sum of this node and of the nodes of its zone, for the other zones.
    evidence_table zone_sum() const;
    version_sums sums() const;
    version_sums own_sums() const;
    /// True if each route has `answers` answers of the target version, or as many as can be
    /// expected of its traffic when the version gets `share` of it.
    bool has_seen_routes(std::int64_t answers, double share) const;

    /// Notes the current sums, with which later ones are compared. Called several times a second.
    void take_snapshot(base::time_point now);
    /// Returns evidence that the target version is worse than the others. `has_several_servers`
    /// tells that the version has servers of several groups in use; the evidence then has to stand
    /// without the worst group, too. `is_last_look` asks for less evidence: it is meant for one
    /// look, before the version gets all requests.
    std::optional<rollout_finding> judge(base::time_point now, bool has_several_servers,
                                         bool is_last_look = false) const;

private:
    struct snapshot
    {
        base::time_point time;
        evidence_table totals;
    };

    /// The node that is followed for a zone.
    struct zone_reporter
    {
        std::string node;
        std::int64_t started = 0;
        base::time_point heard{};
        /// Its last counts.
        evidence_table counts;
    };

    void merge_node(evidence_source const& source, evidence_table const& counts);
    void merge_zone(evidence_source const& source, evidence_table const& counts,
                    base::time_point now);

    evidence_table m_own;
    /// Counts of nodes, by their source.
    std::map<evidence_source, evidence_table> m_reported;
    /// What each zone has added to the totals.
    std::map<std::string, evidence_table> m_zone_counts;
    std::map<std::string, zone_reporter> m_zone_reporters;
    evidence_table m_totals;
    std::deque<snapshot> m_history;
};

} // namespace jasminepier::serving
