/// Selects the server for each request from the load and health of all servers.
#pragma once

#include "base/clock.hpp"
#include "serving/fleet_configuration.hpp"
#include "serving/node_retry_budget.hpp"
#include "serving/outcome_history.hpp"
#include "serving/peer_load_table.hpp"
#include "serving/rollout_table.hpp"
#include "serving/server_directory.hpp"
#include "serving/server_load.hpp"
#include "serving/server_pace.hpp"
#include "serving/server_rate_limits.hpp"
#include "serving/service_version_history.hpp"
#include "serving/version_hash.hpp"
#include "serving/waiting_table.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminepier::serving
{

/// Resources that a request is expected to use on its server.
struct request_demand
{
    std::int64_t prompt_tokens = 0;
    std::int64_t expected_output_tokens = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// Longest gap between events that the caller accepts; 0 if the response has no events.
    base::milliseconds maximum_event_gap{0};
    /// Time to the first event that the caller accepts.
    base::milliseconds latency_objective{0};
    /// The caller's limit of the output.
    std::int64_t maximum_output_tokens = 0;

    /// Output tokens for which the gaps between events are expected to count.
    std::int64_t streamed_tokens() const noexcept;
    /// True for a stream that lasts long and whose caller accepts only a bounded gap.
    bool has_bounded_gaps() const noexcept;
    /// Name of the route, by which versions of a service are compared.
    std::string route{};
};

/// Why a server cannot be selected for a request.
enum class exclusion_reason
{
    none,
    /// The server drains or was removed, or its version gets no requests during a roll-out.
    leaving,
    zone_evacuated,
    /// The last connection failed and its backoff has not ended.
    unreachable,
    /// The server was started recently and has reached its limit of requests per second.
    cold,
    /// The server wants no requests from this node for some time.
    paused,
    /// This node's share of the rate that the server accepts is used up.
    rate_limited,
    /// Every slot or all KV cache memory is in use.
    full,
    /// The request has already failed on this server.
    already_tried,
    /// No server of the service is listed, but the list may be incomplete.
    unlisted,
    /// The stream was begun by another version.
    other_version,
};

std::string_view to_string(exclusion_reason reason) noexcept;

enum class selection_purpose
{
    /// The first attempt of a request, or a retry.
    new_work,
    /// The move of a running generation to another engine.
    handover,
};

struct selection_query
{
    std::string_view service;
    request_demand demand;
    std::span<std::string const> excluded_servers;
    selection_purpose purpose = selection_purpose::new_work;
    /// The local node's zone for new work, the source server's zone for a handover.
    std::string_view preferred_zone;
    /// Whether late streams count; set for requests with a bounded gap if a server states its pace.
    bool weighs_gaps = false;
    /// The version that began the stream; versions of a service don't continue each other's.
    std::optional<version_hash> required_version = std::nullopt;
};

/// The selected server and the inputs of its score, for the log.
struct selected_server
{
    std::string id;
    std::string address;
    std::string zone;
    /// Start time of the server process; 0 if its entry states none.
    std::int64_t started_unix_milliseconds = 0;
    double score = 0;
    /// Requests that all nodes run on the server.
    int running = 0;
    /// Fraction of the KV cache that these requests are expected to use.
    double occupancy = 0;
    /// Age of the oldest peer report among the inputs.
    base::milliseconds load_age{0};
    /// Estimated time that work takes on the server's VM, in percent of the usual time.
    double pace_percent = usual_pace_percent;
    /// Streams that are expected to be late because of this selection.
    double expected_late_streams = 0;
    /// Version of the server's software.
    std::string version{};
};

/// Holds either a server or the reason why none was selected.
struct server_selection
{
    std::optional<selected_server> server;
    /// The reason that passes soonest among all servers of the service.
    exclusion_reason reason = exclusion_reason::none;
    /// With `rate_limited` and `paused`, the time until a server accepts this request after those
    /// that wait now; nothing if this node has no share of any server's limit.
    std::optional<base::milliseconds> delay = std::nullopt;
    /// `full`, `cold`, `rate_limited`, `paused` and `unlisted` pass without an operator.
    bool worth_waiting() const noexcept
    {
        return reason == exclusion_reason::full || reason == exclusion_reason::cold ||
               reason == exclusion_reason::unlisted || (depends_on_time() && delay);
    }
    /// True if `delay` tells when the reason passes.
    bool depends_on_time() const noexcept
    {
        return reason == exclusion_reason::rate_limited || reason == exclusion_reason::paused;
    }
};

/// Result of an attempt, as evidence of the server's health.
enum class attempt_outcome
{
    succeeded,
    /// The server rejected the request without running it.
    declined,
    /// The server returned an error or closed the connection early.
    failed,
    /// The connection could not be established.
    unreachable,
    /// The caller disconnected or the node cancelled the attempt; the server may be healthy.
    inconclusive,
};

using attempt_id = std::uint64_t;

/// The nodes among which limits that hold for all nodes together are divided.
struct fleet_view
{
    /// Names of the nodes that are alive and report to each other, including this node.
    std::vector<std::string> reporting_nodes;
    /// All nodes that may be alive.
    std::size_t fleet_size = 1;
    /// Set if only nodes of the same zone report to each other.
    bool reports_within_zone = false;

    friend bool operator==(fleet_view const&, fleet_view const&) = default;
};

struct dispatcher_settings
{
    std::string node;
    std::string zone;
    retry_budget_limits retry_limits;
};

/// One node's view of all servers: the store's list, the attempts of this node, the load reports of
/// its peers and the outcomes of earlier attempts. Not synchronized.
class dispatcher
{
public:
    /// Time after which the summary of a zone that has sent no newer one is dropped.
    static constexpr base::milliseconds zone_summary_timeout{3500};

    explicit dispatcher(dispatcher_settings settings) : m_settings(std::move(settings)) {}

    void set_configuration(std::shared_ptr<fleet_configuration const> configuration);
    void set_retry_budget_limits(retry_budget_limits limits) noexcept
    {
        m_settings.retry_limits = limits;
    }
    /// Servers in evacuated zones are never selected.
    void set_evacuated_zones(std::set<std::string> zones) { m_evacuated_zones = std::move(zones); }
    std::set<std::string> const& evacuated_zones() const noexcept { return m_evacuated_zones; }
    /// Replaces the view of the fleet, which shares the limits that hold for all nodes together.
    void set_fleet_view(fleet_view view);
    server_directory& directory() noexcept { return m_directory; }
    server_directory const& directory() const noexcept { return m_directory; }

    /// Picks one of the route's services at random by weight. Returns null if the weights sum to 0
    /// or the service is not configured.
    service const* select_service(route const& matched_route, base::random_source& random) const;
    server_selection select_server(selection_query const& query, base::time_point now,
                                   base::random_source& random) const;

    /// Counts an attempt against the server's load. `on_leaving` is called when the server starts
    /// to drain or is removed, on the thread that reports the change.
    attempt_id begin_attempt(std::string const& server, request_demand const& demand,
                             base::time_point now, std::function<void()> on_leaving);
    /// Expected delay from an engine's drain notice to the start of this generation's copy. The
    /// generations of all nodes are copied one after another: with parallel copies, the final copy
    /// of a generation would queue on the engine's link behind first copies of others while its
    /// stream is stalled. Every node derives the same order from the load reports, so the nodes
    /// exchange no further messages.
    base::milliseconds copy_start_delay(attempt_id id) const;
    /// True if all generations that are copied before this one have left the engine.
    bool may_start_copy(attempt_id id) const;
    /// Sets whether the generation is handed over when its server drains or is removed.
    void set_can_hand_over(attempt_id id, bool can_hand_over);
    /// Entries of the engines that run this node's requests, by server id.
    std::map<std::string, server_entry> servers_in_use() const;
    /// Records that the prompt has been read, which ends its share of the prefill backlog. With
    /// `now`, the time since the start of the attempt counts as the service's time to respond.
    void record_first_event(attempt_id id, std::optional<base::time_point> now = std::nullopt);
    void end_attempt(attempt_id id, attempt_outcome outcome, base::time_point now);
    /// Records an outcome without ending an attempt.
    void record_outcome(std::string const& server, attempt_outcome outcome, base::time_point now);
    /// Records the requests per second that the server accepts from all nodes together, as stated
    /// in a response; nothing if the response states no limit. Returns true if the limit has
    /// changed.
    bool record_rate_limit(std::string const& server, std::optional<double> requests_per_second,
                           base::time_point now)
    {
        return m_rate_limits.record(hash_server(server), {requests_per_second, now});
    }
    /// Records the pace that an engine has stated in a response, in percent of the usual time.
    void record_pace(std::string const& server, int percent, base::time_point now);
    /// Records that the server wants no requests from this node for `pause`. A shorter pause does
    /// not end a longer one.
    void record_pause(std::string const& server, base::milliseconds pause, base::time_point now);
    /// Records that the server rejected a request because it is full, without running it. It gets
    /// nothing from this node for a moment.
    void record_full(std::string const& server, base::time_point now);
    /// True if the server drains or was removed, or if a roll-out ends its work.
    bool is_leaving(std::string const& server) const;
    /// Calls `on_leaving` of every attempt whose server drains or was removed.
    void notify_leaving();

    /// Ends the grace period of expired server entries and drops the health records of servers
    /// that are no longer retained. Returns true if a server changed its phase.
    bool expire(base::time_point now);

    /// Counts a request towards the retry budget of its service.
    void add_request(std::string const& service, base::time_point now);
    /// Spends one retry of the service's budget. Returns false if none is left.
    bool try_spend_retry(std::string const& service, base::time_point now);

    /// Returns this node's load on each server, for the report to peers.
    std::vector<server_load> local_loads(base::time_point now) const;
    /// A notice from a peer's report that a server leaves.
    struct reported_departure
    {
        std::string server;
        leaving_notice notice;
        notice_effect effect = notice_effect::applied;
    };
    /// Replaces the source's earlier report. `server_revision` is the newest of the source's copies
    /// of entries; what it reports about a server that has restarted since is left out. Returns the
    /// notices that have changed something or are outdated.
    std::vector<reported_departure>
    merge_peer(load_source const& source, std::span<server_load const> loads, base::time_point now,
               std::optional<std::int64_t> server_revision = std::nullopt);
    /// Position of one datagram among those of a summary.
    struct summary_part
    {
        int index = 0;
        int count = 1;
    };
    /// Replaces a part of the zone's earlier summary.
    std::vector<reported_departure>
    merge_zone_summary(std::string const& zone, summary_part part,
                       std::span<server_load const> loads, base::time_point now,
                       std::optional<std::int64_t> server_revision = std::nullopt);
    /// Removes the report of a node that is no longer alive.
    void remove_peer(std::string const& zone, std::string const& node);
    /// Returns the load of this node and of its reporting peers on each server, for the other
    /// zones. Only meaningful if the nodes of a zone report among themselves.
    std::vector<server_load> zone_loads(base::time_point now) const;

    /// Orders to move services to other versions.
    rollout_table& rollouts() noexcept { return m_rollouts; }
    rollout_table const& rollouts() const noexcept { return m_rollouts; }
    void apply_rollout(rollout_order const& order, base::time_point now,
                       std::int64_t unix_milliseconds);
    /// Called several times a second if roll-outs are enabled. Returns what has changed.
    std::vector<rollout_step> advance_rollouts(base::time_point now);

    /// Records the versions of the servers that are listed or may still run.
    void observe_versions(base::time_point now);
    /// Returns the version that began every stream of the service which can be taken up; nothing if
    /// several may have, or if this node can't know.
    std::optional<version_hash> find_only_version(std::string_view service,
                                                  base::time_point now) const;
    /// Returns the route's service of which servers of this version are known; null if there is
    /// none.
    service const* find_service_of_version(route const& matched_route, version_hash version) const;
    /// The versions of the services that have resumable streams.
    std::map<std::string, service_version_history, std::less<>>& version_histories() noexcept
    {
        return m_version_histories;
    }

    /// The requests that wait for room, here and at other nodes.
    waiting_table& waiting() noexcept { return m_waiting; }
    waiting_table const& waiting() const noexcept { return m_waiting; }
    /// Returns whether the request may be sent now although others wait: if room is left beside
    /// those of better rank, or if requests of its kind are underserved. `own` is its place in the
    /// list of waiting requests, if it has one.
    bool may_take_room(std::string_view service, admission_request const& request,
                       std::optional<waiting_ticket> own, base::time_point now) const;
    /// Returns when room is expected for a request behind those that wait before it; nothing
    /// without observations.
    std::optional<base::milliseconds> expected_wait(std::string_view service,
                                                    admission_request const& request,
                                                    std::optional<waiting_ticket> own,
                                                    base::time_point now) const;

private:
    // An engine whose KV cache is full preempts running generations. The rest of the cache absorbs
    // outputs that are longer than expected.
    static constexpr double usable_cache_fraction = 0.92;
    // A plain server queues a few requests. With up to three for each slot the wait stays below the
    // latency objectives of plain requests (about 30 ms of work against 100 to 150 ms).
    static constexpr int maximum_plain_requests_per_slot = 3;

    struct attempt_record
    {
        std::string server;
        request_demand demand;
        base::time_point started{};
        bool first_event = false;
        bool can_hand_over = false;
        std::function<void()> on_leaving;
        std::optional<base::time_point> first_event_time = std::nullopt;
    };
    struct usage
    {
        int running = 0;
        std::int64_t reserved_tokens = 0;
        std::int64_t unread_prompt_tokens = 0;
        int gap_bounded_streams = 0;
    };
    struct server_health
    {
        outcome_history outcomes;
        base::time_point unreachable_until{};
        base::time_point paused_until{};
        base::time_point full_until{};
        int consecutive_connect_failures = 0;
        /// Start times of the attempts of the last few seconds, in order, for limits of their rate.
        std::deque<base::time_point> recent_attempt_times;
    };
    /// Load of all nodes on one server.
    struct combined_load
    {
        usage total;
        double attempts = 0;
        double failures = 0;
        int unreachable_report_count = 0;
    };

    version_admission admit_version(listed_server const& server, selection_query const& query,
                                    base::time_point now) const;
    void record_version_sent(std::string const& server, request_demand const& demand);
    /// Records the result of an attempt as evidence of its server's version.
    void record_version_answer(attempt_record const& attempt, attempt_outcome outcome,
                               base::time_point now);
    base::milliseconds estimate_copy_duration(std::string const& server, std::int64_t tokens) const;
    combined_load combine_loads(listed_server const& server, base::time_point now) const;
    /// This node's share of a number of requests that all nodes together may send to a server.
    struct request_share
    {
        int fleet_requests = 0;
        int local_requests = 0;
    };
    /// Shares for the current view of the fleet, by server id.
    using request_shares = std::unordered_map<std::string, request_share>;

    int find_share(request_shares& shares, server_entry const& server, int fleet_requests) const;
    int rate_limit_share(listed_server const& server, double requests_per_second) const;
    /// Returns when this node may send another request to the server without exceeding its share of
    /// the rate that the server accepts; nothing if it has no share.
    std::optional<base::time_point> find_next_permitted_start(listed_server const& server) const;
    base::milliseconds estimate_rate_limit_delay(std::string_view service,
                                                 base::time_point first_start, int share,
                                                 base::time_point now) const;
    /// True if the generations of `source` are copied from the server before those of this node.
    bool copies_before_this_node(listed_server const& server, load_source const& source) const;
    exclusion_reason find_exclusion_reason(listed_server const& server,
                                           service const& target_service, combined_load const& load,
                                           selection_query const& query,
                                           base::time_point now) const;
    /// Streams that are expected to be late if the query's request is placed on the server. 0 if no
    /// server states a pace or the request has no bounded gap.
    double estimate_late_streams(listed_server const& server, service const& target_service,
                                 combined_load const& load, selection_query const& query,
                                 base::time_point now) const;
    /// Requests of the given size that fit on the server beside those that run there.
    std::int64_t count_places(listed_server const& server, service const& target_service,
                              std::int64_t tokens_each, base::time_point now) const;
    std::string_view service_of(std::string const& server) const;
    /// Returns the listed server that a report names by its hash; null if there is none.
    listed_server const* find_reported(server_hash server) const;
    double score(listed_server const& server, service const& target_service,
                 combined_load const& load, selection_query const& query, double mean_failure_rate,
                 base::time_point now) const;
    bool below_cold_rate_limit(listed_server const& server, service const& target_service,
                               base::time_point now) const;

    dispatcher_settings m_settings;
    std::shared_ptr<fleet_configuration const> m_configuration =
        std::make_shared<fleet_configuration>();
    server_directory m_directory;
    std::set<std::string> m_evacuated_zones;
    fleet_view m_fleet;
    mutable request_shares m_cold_shares;
    mutable request_shares m_rate_limit_shares;
    std::unordered_map<attempt_id, attempt_record> m_attempts;
    attempt_id m_next_attempt_id = 1;
    std::unordered_map<std::string, usage> m_local_usage;
    std::unordered_map<std::string, server_health> m_server_health;
    peer_load_table m_peer_loads;
    server_rate_limits m_rate_limits;
    mutable rollout_table m_rollouts;
    server_pace_table m_paces;
    std::map<std::string, node_retry_budget> m_retry_budgets;
    std::map<std::string, service_version_history, std::less<>> m_version_histories;
    waiting_table m_waiting;
};

} // namespace jasminepier::serving
