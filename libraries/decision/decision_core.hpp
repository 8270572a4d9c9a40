/// Admission control and routing of one entry node.
#pragma once

#include "base/error.hpp"
#include "decision/admission_queue.hpp"
#include "decision/length_estimator.hpp"
#include "decision/router.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminepier::decision
{

struct core_settings
{
    /// Name of this entry node.
    std::string node;
    /// Zone of the node, used while the configuration doesn't list the node.
    std::string zone;
    std::uint64_t seed = 1;
    policy_switches switches;
};

/// A request that asks for a server.
struct submission
{
    std::string service;
    /// Empty for a plain service.
    std::string model;
    std::string customer;
    configuration::work_kind kind = configuration::work_kind::question;
    std::int64_t prompt_tokens = 0;
    /// Requested limit of output tokens; 0 selects the preset's limit.
    std::int64_t maximum_tokens = 0;
    std::uint64_t prefix_hash = 0;
    /// Maximum time in the queue; 0 selects the preset's limit for the work kind.
    base::milliseconds maximum_wait{0};
    /// Names of servers that must not be selected.
    std::vector<std::string> excluded{};
};

enum class decision_outcome
{
    dispatched,
    refused,
};

/// The result of a request's wait: a server, or a refusal. A refused request was sent nowhere.
struct decision_result
{
    std::uint64_t ticket = 0;
    decision_outcome outcome = decision_outcome::refused;
    /// Index of the selected server in the server table.
    std::uint32_t server = 0;
    int priority = 0;
    base::error_kind refusal = base::error_kind::overloaded;
    int retry_after_seconds = 0;
    /// Reason for the decision, for the log.
    std::string_view reason;
    base::milliseconds waited{0};
    std::vector<candidate> candidates{};
};

enum class generation_outcome
{
    completed,
    cancelled,
    failed,
};

/// Queues requests and dispatches them to servers by predicted KV-cache demand. A deterministic
/// state machine: its decisions depend only on its state, the calls, the passed times and the seed.
/// Not synchronized.
class decision_core
{
public:
    explicit decision_core(core_settings settings);

    void apply_configuration(configuration::snapshot const& snapshot, base::time_point now);
    void apply_report(std::string_view server, reported_load load, base::time_point measured_at,
                      base::time_point now);
    void record_cache_event(std::string_view server, std::uint64_t prefix_hash, bool stored);
    /// Excludes a server until a report arrives that was measured after `now`.
    void mark_server_lost(std::string_view server, base::time_point now);

    /// Queues a request and returns its ticket. A later `poll` returns the decision.
    std::uint64_t submit(submission const& request, base::time_point now);
    /// Cancels a request that is still queued. Returns false if it isn't queued.
    bool cancel_waiting(std::uint64_t ticket);
    /// Makes all decisions that are possible now and appends them to `decisions`.
    void poll(base::time_point now, std::vector<decision_result>& decisions);
    void record_tokens(std::uint64_t ticket, std::int64_t count, base::time_point now);
    void finish(std::uint64_t ticket, generation_outcome outcome, base::time_point now);

    server_table const& servers() const noexcept { return m_servers; }
    length_estimator const& lengths() const noexcept { return m_lengths; }
    std::size_t queued() const;
    std::size_t running() const noexcept { return m_running.size(); }

private:
    struct pool_state
    {
        std::string service;
        std::string model;
        server_pool servers;
        admission_queue queue;
        demand_profile profile;
        /// Sums over the running generations of this node.
        demand local_demand;
        double local_generation_count = 0;
        std::array<double, configuration::work_kind_count> local_demand_by_kind{};
        /// Demand dispatched since the last update of the profile, and its smoothed rate per
        /// second.
        demand dispatched_demand;
        demand dispatched_demand_rate;
        std::array<double, configuration::work_kind_count> dispatched_cost{};
        /// False if the kind's queue has been empty at any time since the last update.
        std::array<bool, configuration::work_kind_count> backlogged{};
        /// Tokens dispatched per second while the kind was backlogged, otherwise 0. Without a
        /// backlog the arrivals limit the rate, so it can't predict a wait.
        std::array<double, configuration::work_kind_count> service_rate{};
        /// Consecutive updates during which the kind has been backlogged.
        std::array<int, configuration::work_kind_count> backlog_updates{};
        base::time_point updated_at{};
    };
    struct waiting_request
    {
        std::uint32_t pool = 0;
        length_key key;
        std::int64_t prompt_tokens = 0;
        std::int64_t output_limit = 0;
        std::uint64_t prefix_hash = 0;
        std::vector<std::uint32_t> excluded;
        base::time_point submitted_at{};
        base::time_point deadline{};
        exclusion_reason last_exclusion_reason = exclusion_reason::none;
    };
    struct generation
    {
        std::uint64_t ticket = 0;
        std::uint32_t pool = 0;
        std::uint32_t server = 0;
        /// Index in the `generations` of the server's state.
        std::uint32_t index_on_server = 0;
        length_key key;
        std::int64_t prompt_tokens = 0;
        std::int64_t output_limit = 0;
        std::int64_t produced_tokens = 0;
        /// Produced tokens at which the prediction is refreshed next.
        std::int64_t next_refresh_tokens = 0;
        demand predicted;
        base::time_point dispatched_at{};
        base::time_point last_token_at{};
    };

    std::uint32_t intern(std::unordered_map<std::string, std::uint32_t>& ids,
                         std::string const& name);
    std::uint32_t find_or_add_pool(std::string const& service, std::string const& model);
    void update_pool_servers(pool_state& pool);
    void update_service_rates(pool_state& pool, double elapsed);
    void update_profile(pool_state& pool, base::time_point now);
    /// Splits the reported load of a server into this node's part and the part of other nodes.
    void subtract_local_load(std::uint32_t server);
    std::uint64_t refuse(std::uint64_t ticket, base::error_kind kind, int retry_after,
                         std::string_view reason);
    bool try_refuse_early(pool_state const& pool, queued_request const& entry,
                          base::time_point now);
    void poll_pool(std::uint32_t index, base::time_point now,
                   std::vector<decision_result>& decisions);
    void expire_requests(pool_state& pool, base::time_point now,
                         std::vector<decision_result>& decisions);
    /// Returns true if the last selection compared every server of the pool.
    bool examined_all_servers(pool_state const& pool, waiting_request const& request) const;
    /// Dispatches or refuses the first request of the kind. Returns false if it has to stay queued
    /// because no server has room for it.
    bool try_dispatch_front(pool_state& pool, configuration::work_kind kind, base::time_point now,
                            std::vector<decision_result>& decisions);
    void start_generation(std::uint64_t ticket, waiting_request const& request,
                          std::uint32_t server, demand const& predicted, base::time_point now);
    /// Returns the fraction of a server's memory up to which requests of `kind` may fill it.
    double fill_limit(pool_state const& pool, configuration::work_kind kind) const;
    demand predict_generation(length_key const& key, std::int64_t prompt_tokens,
                              std::int64_t produced_tokens, std::int64_t output_limit) const;
    void refresh_prediction(generation& active);
    /// Adds the predicted demand of a generation to all sums; subtracts it if `sign` is -1.
    void add_demand(generation const& active, double sign);
    void record_token_interval(generation& active, std::int64_t count, base::time_point now);

    core_settings m_settings;
    base::random_source m_random;
    server_table m_servers;
    router m_router;
    length_estimator m_lengths;
    configuration::preset m_preset;
    std::unordered_map<std::string, double> m_weights;
    std::unordered_map<std::string, std::uint32_t> m_customer_ids;
    std::unordered_map<std::string, std::uint32_t> m_model_ids;
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_pool_ids;
    std::vector<pool_state> m_pools;
    std::unordered_map<std::uint64_t, waiting_request> m_waiting;
    std::unordered_map<std::uint64_t, std::uint32_t> m_running;
    std::vector<generation> m_generations;
    /// Unused indexes of `m_generations`.
    std::vector<std::uint32_t> m_free_indexes;
    std::vector<decision_result> m_pending_refusals;
    std::vector<candidate> m_candidates;
    std::uint64_t m_next_ticket = 1;
};

} // namespace jasminepier::decision
