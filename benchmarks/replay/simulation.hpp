/// Discrete-event simulation of a trace: entry nodes that decide independently on delayed load
/// reports, engines, and callers with a timeout. The same trace and seed give the same statistics.
#pragma once

#include "benchmarks/replay/fleet.hpp"
#include "benchmarks/replay/statistics.hpp"
#include "decision/decision_core.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace jasminepier::benchmarks
{

/// The interface of the decision core that the simulation uses; baselines have it, too.
template <class T>
concept decision_node = requires(T node, std::vector<decision::decision_result>& decisions,
                                 base::time_point now, decision::submission request)
{
    node.submit(request, now);
    node.poll(now, decisions);
    node.record_tokens(std::uint64_t{1}, std::int64_t{1}, now);
    node.finish(std::uint64_t{1}, decision::generation_outcome::completed, now);
};

struct simulation_settings
{
    configuration::preset preset;
    std::uint64_t seed = 1;
    /// Time from the measurement of a load report until the entry nodes receive it.
    double report_lag_seconds = 1;
    /// Time from an engine's failure until it is up again.
    double engine_restart_seconds = 5;
    /// Maximum time until a configuration change reaches a node.
    double maximum_propagation_seconds = 12;
    /// Maximum attempts per request, including the first one.
    int maximum_attempts = 3;
    /// Time after the end of the trace during which running requests may complete.
    double drain_seconds = 150;
};

template <decision_node Node>
class simulation
{
public:
    using node_factory = std::function<std::unique_ptr<Node>(decision::core_settings)>;

    simulation(trace const& source, simulation_settings settings, node_factory const& factory);
    replay_statistics run();

private:
    enum class event_type
    {
        request_arrival,
        incident,
        configuration_change,
        report_measured,
        report_received,
        poll_node,
        arrival_at_engine,
        step_end,
        engine_restart,
        caller_timeout,
    };
    struct event
    {
        std::int64_t time_microseconds;
        /// Orders events of the same time by when they were scheduled.
        std::uint64_t sequence;
        event_type type;
        /// Index of the request, incident, node, engine or report.
        int subject;
        /// For an arrival at an engine, the index of the engine; for the end of a step, the
        /// instance of the engine.
        int argument;
        bool operator>(event const& other) const noexcept
        {
            return std::pair(time_microseconds, sequence) >
                   std::pair(other.time_microseconds, other.sequence);
        }
    };
    struct request_state
    {
        int node = 0;
        std::uint64_t ticket = 0;
        int engine = -1;
        int attempts = 0;
        int priority = 1;
        bool finished = false;
        bool received_first_token = false;
        bool ticket_valid = false;
        std::int64_t received_tokens = 0;
        std::int64_t counted_tokens = 0;
        double last_token_seconds = 0;
        std::vector<std::string> excluded;
    };
    struct delayed_report
    {
        int engine;
        double measured_at_seconds;
        decision::reported_load load;
    };

    double now_seconds() const noexcept { return static_cast<double>(m_now_microseconds) / 1e6; }
    static base::time_point to_time_point(double seconds)
    {
        // Subtracting delays gives times before the start of the trace, so the trace doesn't start
        // at the clock's epoch.
        return base::time_point(std::chrono::microseconds(1000000000)) +
               std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
    }
    base::time_point current_time() const { return to_time_point(now_seconds()); }
    void schedule(double delay_seconds, event_type type, int subject = 0, int argument = 0)
    {
        m_events.push({m_now_microseconds + static_cast<std::int64_t>(delay_seconds * 1e6),
                       m_sequence++, type, subject, argument});
    }
    void handle_event(event const& next);
    void submit(int request);
    void poll_node(int node);
    void apply_decision(int node, decision::decision_result const& result);
    void arrive_at_engine(int request, int engine);
    void finish_step(int engine);
    void start_step(int engine);
    void deliver_tokens(int engine);
    void fail_engine(int engine, double down_seconds);
    void fail_attempt(int request, int engine);
    void end_unserved(int request, std::int64_t group_statistics::*counter);
    void apply_incident(incident const& incident);
    void apply_configuration_change(int node);
    template <class Update>
    void update_statistics(int request, Update update);
    void schedule_initial_events();

    trace const& m_trace;
    simulation_settings m_settings;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<simulated_engine> m_engines{engine_count};
    std::vector<request_state> m_requests;
    std::vector<std::unordered_map<std::uint64_t, int>> m_requests_by_ticket{node_count};
    std::vector<std::set<int>> m_requests_on_engine{engine_count};
    std::vector<delayed_report> m_reports;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<decision::decision_result> m_decisions;
    std::vector<bool> m_poll_scheduled = std::vector<bool>(node_count);
    base::random_source m_random;
    std::int64_t m_now_microseconds = 0;
    std::uint64_t m_sequence = 0;
    int m_zone_out_of_service = -1;
    replay_statistics m_statistics;
};

} // namespace jasminepier::benchmarks

#include "benchmarks/replay/simulation_events.hpp"
#include "benchmarks/replay/simulation_requests.hpp"
