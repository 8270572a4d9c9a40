/// The roll-outs of all services at one node: which versions it selects, and what it reports.
#pragma once

#include "serving/rollout.hpp"
#include "serving/rollout_evidence.hpp"
#include "serving/usual_times.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// How a server's version affects its selection. Servers of the highest rank that can take a
/// request are selected.
enum class version_admission
{
    /// Also for a version listed a moment ago, whose order may still be on its way.
    excluded,
    normal,
    preferred,
};

/// Removes the candidates whose member `admission` is below the highest one.
template <class Candidate>
void keep_highest_admission(std::vector<Candidate>& candidates)
{
    auto highest = version_admission::excluded;
    for (auto const& item : candidates)
        highest = std::max(highest, item.admission);
    std::erase_if(candidates, [&](auto const& item) { return item.admission < highest; });
}

/// What the table knows of a listed server.
struct rollout_server
{
    std::string_view id;
    std::string_view service;
    std::string_view version;
    bool usable = true;
    bool cold = false;
    int slots = 1;
    /// Requests that all nodes run on the server.
    int running = 0;
};

/// Times of one request at a server.
struct answer_times
{
    base::time_point sent{};
    std::optional<base::time_point> first_event;
    base::time_point ended{};
    std::int64_t expected_output_tokens = 0;
};

enum class answer_evidence
{
    good,
    /// Good from a server that is still cold, so the time says nothing.
    good_but_cold,
    /// Ended early by the caller or the node: evidence only if it was slow until then.
    slow_only,
    failed,
    /// Says nothing about the version.
    none,
};

/// What a node or a zone reports about one roll-out.
struct rollout_report
{
    std::int32_t service_hash = 0;
    std::uint64_t order = 0;
    /// Time since the order, if the reporter knows it.
    std::optional<base::milliseconds> age;
    /// The reporter no longer selects the target version.
    bool stopped = false;
    evidence_table counts;
};

/// A change of a roll-out, with the evidence at that time, for the log.
struct rollout_step
{
    std::string service;
    std::string target;
    rollout_stage stage = rollout_stage::waiting;
    /// Why the version was taken back; empty otherwise.
    std::string_view reason;
    std::optional<rollout_finding> finding;
    std::string route;
    base::milliseconds age{0};
    double share = 0;
    version_sums sums;
};

/// A state to write to the store. Only the deciding node writes it.
struct rollout_write
{
    std::string service;
    std::string target;
    std::uint64_t order = 0;
    rollout_state state = rollout_state::in_progress;
    base::milliseconds age{0};
    /// As in the state that is replaced.
    std::optional<std::int64_t> started_unix_milliseconds = std::nullopt;
    /// That of the order; tells its state from that of an order with the same target.
    base::milliseconds duration{0};
};

/// Does nothing until limits are set. Not synchronized.
class rollout_table
{
public:
    /// How long servers of a new version wait for their order.
    static constexpr base::milliseconds order_grace_period{3000};
    /// How long an ended roll-out is reported.
    static constexpr base::milliseconds ended_report_duration{30000};

    /// The reason for a stop that a peer has reported.
    static constexpr std::string_view stopped_by_peer = "peer";

    /// `seed` is different at each node.
    void enable(rollout_limits const& limits, std::uint64_t seed);
    bool enabled() const noexcept { return m_limits.has_value(); }

    /// How long a node that learns of a running roll-out waits for its peers' reports before it
    /// relies on the wall clock.
    static constexpr base::milliseconds start_report_period{3000};

    /// Applies an order read from the store. `unix_milliseconds` is the wall clock's time, from
    /// which the start of a roll-out that is already in progress is estimated until a peer reports
    /// its age.
    void apply_order(rollout_order const& order, bool has_engines, base::time_point now,
                     std::optional<std::int64_t> unix_milliseconds = std::nullopt);
    /// `revision` is the store's one of the removal, if it is known. A version whose roll-out was
    /// rolled back or has not ended stays excluded while its servers are listed.
    void remove_order(std::string const& service,
                      std::optional<std::int64_t> revision = std::nullopt);
    /// Returns null without an order.
    rollout_order const* find_order(std::string_view service) const;

    /// `is_handover` is set for a generation that moves away from a server.
    version_admission admit(std::string const& service, std::string const& version,
                            std::string const& server, bool is_handover, base::time_point now);
    /// True if running work has to leave a server of this version.
    bool retires(std::string const& service, std::string const& version) const;

    /// Counts a request for the service, whatever becomes of it.
    void add_request(std::string const& service);
    void record_sent(std::string const& service, std::string const& version,
                     std::string const& server, std::string const& route);
    /// A failure counts when `advance` finds its server still usable some time later.
    void record_answer(std::string const& service, std::string const& version,
                       std::string const& server, std::string const& route,
                       answer_evidence evidence, answer_times const& times);

    /// `has_engines` returns whether a service has engines, or nothing for an unknown one.
    template <class HasEngines>
    void update_schedules(HasEngines has_engines)
    {
        for (auto& [service, item] : m_rollouts)
            if (std::optional<bool> const known = has_engines(service))
                item.schedule = make_rollout_schedule(item.order.duration, *known);
    }
    /// Called several times a second with all listed servers. Returns what has changed.
    std::vector<rollout_step> advance(std::span<rollout_server const> servers,
                                      base::time_point now);
    std::vector<rollout_write> pending_writes(base::time_point now) const;

    /// `of_zone` selects the sums of this node's zone, for nodes of other zones.
    std::vector<rollout_report> reports(bool of_zone, base::time_point now) const;
    void apply_report(evidence_source const& source, rollout_report const& report,
                      base::time_point now);
    /// What this node has counted since the last call, by service, for its metrics.
    std::map<std::string, version_sums> take_own_counts();
    /// When a peer first reported an order that this node doesn't know.
    std::optional<base::time_point> unknown_order_since() const noexcept { return m_unknown_since; }
    /// `was_read` tells that the store's orders have been applied since. Those still unknown are
    /// not looked for again for a time that doubles.
    void forget_unknown_orders(base::time_point now, bool was_read);

private:
    struct pending_failure
    {
        std::string server;
        evidence_key key;
        base::time_point time;
    };
    struct rollout
    {
        rollout_order order;
        /// The state that the store holds. `order.written` keeps an end that was known before.
        std::optional<rollout_state> stored;
        rollout_schedule schedule;
        base::time_point start{};
        /// The start was computed from a wall clock.
        bool start_is_uncertain = false;
        base::time_point learned{};
        bool was_learned_ended = false;
        rollout_stage stage = rollout_stage::waiting;
        /// The stage at the last look.
        rollout_stage logged_stage = rollout_stage::waiting;
        double share = 0;
        /// Requests that the target version may receive from this node.
        double credit = 0;
        std::string_view stop_reason;
        std::optional<rollout_finding> finding;
        /// The version has evidence and servers enough to take all requests.
        bool may_drain = false;
        bool had_last_look = false;
        bool may_complete = false;
        std::optional<base::time_point> idle_since;
        std::optional<base::time_point> ended;
        rollout_evidence evidence;
        std::vector<pending_failure> pending;
        std::map<std::string, std::int32_t, std::less<>> target_groups;
        std::set<std::string, std::less<>> selected_targets;
        int maximum_old_servers = 0;
        int maximum_old_slots = 0;
        bool has_several_groups = false;
        /// Versions that were listed during the order.
        std::set<std::string, std::less<>> replaced;
        version_sums taken;

        /// Without a list of servers, every other version.
        bool is_replaced(std::string const& version) const
        {
            return version != order.target && (replaced.empty() || replaced.contains(version));
        }
    };
    struct listed_version
    {
        base::time_point first_listed{};
        bool usable = true;

        listed_version(base::time_point first, bool is_usable)
            : first_listed(first), usable(is_usable)
        {
        }
    };
    struct known_end
    {
        std::uint64_t order = 0;
        std::string target;
        base::milliseconds duration{0};
        rollout_state state = rollout_state::completed;
        std::int64_t epoch = 0;
        base::time_point learned{};
    };

    /// For a version that no order names. `target` is that of the service's order, if it has one.
    version_admission admit_unordered(std::string const& service, std::string const& version,
                                      std::string const* target, base::time_point now);
    void refuse_unfinished(rollout const& item);
    void forget_unlisted_refusals();
    void note_replaced_versions(rollout& item, base::time_point now);
    void update_servers(rollout& item, std::span<rollout_server const> servers, double share);
    void settle_failures(rollout& item, std::span<rollout_server const> servers,
                         base::time_point now);
    void decide_end(rollout& item, std::span<rollout_server const> servers, base::time_point now);
    rollout_stage find_stage(rollout const& item, base::time_point now) const;
    evidence_key make_key(rollout const& item, std::string const& version,
                          std::string const& server, std::string const& route);
    rollout_step make_step(rollout const& item, base::time_point now) const;

    std::optional<rollout_limits> m_limits;
    base::random_source m_random;
    std::map<std::string, rollout, std::less<>> m_rollouts;
    std::map<std::string, known_end> m_known_ends;
    usual_times m_usual_times;
    std::map<std::int32_t, std::string> m_route_names;
    /// Versions of each service.
    std::map<std::string, std::map<std::string, listed_version>, std::less<>> m_versions;
    /// Versions of each service that a roll-out has left unfinished or rolled back.
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_refused;
    std::optional<base::time_point> m_unknown_since;
    struct absent_order
    {
        base::time_point until{};
        base::milliseconds delay{0};
    };
    std::set<std::uint64_t> m_unknown_orders;
    std::map<std::uint64_t, absent_order> m_absent_orders;
};

} // namespace jasminepier::serving
