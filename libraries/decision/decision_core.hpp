/// Admission and routing as one deterministic state machine: a function of its tables, an event,
/// the current time and a seeded random source.
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
    /// Its zone, used while the configuration does not list the node.
    std::string zone;
    std::uint64_t seed = 1;
    policy_switches switches;
};

/// A request as it is submitted.
struct submission
{
    std::string service;
    /// Empty for a plain service.
    std::string model;
    std::string customer;
    configuration::work_kind kind = configuration::work_kind::question;
    std::int64_t prompt_tokens = 0;
    /// 0 leaves the preset's limit.
    std::int64_t maximum_tokens = 0;
    std::uint64_t prefix_hash = 0;
    /// 0 leaves the preset's limit for the kind.
    base::milliseconds maximum_wait{0};
    std::vector<std::string> excluded{};
};

enum class decision_outcome
{
    dispatched,
    refused,
};

/// The end of a request's wait. In a refusal nothing was sent.
struct decision_result
{
    std::uint64_t ticket = 0;
    decision_outcome outcome = decision_outcome::refused;
    /// Index of the server in the core's table.
    std::uint32_t server = 0;
    int priority = 0;
    base::error_kind refusal = base::error_kind::overloaded;
    int retry_after_seconds = 0;
    /// Why the decision is as it is, for the log.
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

class decision_core
{
public:
    explicit decision_core(core_settings settings);

    void apply_configuration(configuration::snapshot const& snapshot, base::time_point now);
    void apply_report(std::string_view server, reported_load load, base::time_point measured_at,
                      base::time_point now);
    void record_cache_event(std::string_view server, std::uint64_t prefix_hash, bool stored);
    /// Excludes a server until a report measured later arrives.
    void mark_server_lost(std::string_view server, base::time_point now);

    /// Queues a request and returns its ticket. Its decision comes with a later `poll`.
    std::uint64_t submit(submission const& request, base::time_point now);
    /// Takes back a request that still waits. Returns false when it does not wait.
    bool cancel_waiting(std::uint64_t ticket);
    /// Decides what can be decided now and appends the decisions.
    void poll(base::time_point now, std::vector<decision_result>& decisions);
    void record_tokens(std::uint64_t ticket, std::int64_t count, base::time_point now);
    void finish(std::uint64_t ticket, generation_outcome end, base::time_point now);

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
        /// Sums over this node's running generations.
        demand own;
        double own_count = 0;
        std::array<double, configuration::work_kind_count> own_by_kind{};
        /// Demand sent since the last update of the profile, and its smoothed rate per second.
        demand sent;
        demand sent_rate;
        std::array<double, configuration::work_kind_count> dispatched_cost{};
        /// False when the kind's queue was empty at some time since the last update.
        std::array<bool, configuration::work_kind_count> backlogged{};
        /// Tokens dispatched per second while the kind was backlogged; 0 when it was not. A rate
        /// that arrivals limit says nothing about the wait.
        std::array<double, configuration::work_kind_count> service_rate{};
        /// Updates for which the kind has been backlogged without a break.
        std::array<int, configuration::work_kind_count> backlog_updates{};
        base::time_point updated_at{};
    };
    struct waiting_request
    {
        std::uint32_t pool = 0;
        length_key key;
        std::int64_t prompt = 0;
        std::int64_t limit = 0;
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
        /// Position in the server's list.
        std::uint32_t position = 0;
        length_key key;
        std::int64_t prompt = 0;
        std::int64_t limit = 0;
        std::int64_t produced = 0;
        std::int64_t refresh_at = 0;
        demand predicted;
        base::time_point sent_at{};
        base::time_point last_token_at{};
    };

    std::uint32_t intern(std::unordered_map<std::string, std::uint32_t>& ids,
                         std::string const& name);
    std::uint32_t pool_of(std::string const& service, std::string const& model);
    void fill_pool(pool_state& pool);
    void update_service_rates(pool_state& pool, double elapsed);
    void update_profile(pool_state& pool, base::time_point now);
    void subtract_own_part(std::uint32_t server);
    std::uint64_t refuse(std::uint64_t ticket, base::error_kind kind, int retry_after,
                         std::string_view reason);
    bool refuse_early(pool_state const& pool, queued_request const& entry, base::time_point now);
    void poll_pool(std::uint32_t index, base::time_point now,
                   std::vector<decision_result>& decisions);
    void expire(pool_state& pool, base::time_point now, std::vector<decision_result>& decisions);
    /// Returns true when the last choice has looked at every server of the pool.
    bool examined_all_servers(pool_state const& pool, waiting_request const& request) const;
    /// Returns false when the first request of the kind fits on no server.
    bool dispatch_front(pool_state& pool, configuration::work_kind kind, base::time_point now,
                        std::vector<decision_result>& decisions);
    void start(std::uint64_t ticket, waiting_request const& request, std::uint32_t server,
               demand const& predicted, base::time_point now);
    double fill_limit(pool_state const& pool, configuration::work_kind kind) const;
    demand predict(length_key const& key, std::int64_t prompt, std::int64_t produced,
                   std::int64_t limit) const;
    void refresh(generation& one);
    void add_demand(generation const& one, double sign);
    void note_gap(generation& one, std::int64_t count, base::time_point now);

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
    std::vector<std::uint32_t> m_free;
    std::vector<decision_result> m_refusals;
    std::vector<candidate> m_candidates;
    std::uint64_t m_next_ticket = 1;
};

} // namespace jasminepier::decision
