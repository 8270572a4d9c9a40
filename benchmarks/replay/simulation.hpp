/// Replays a trace in virtual time: entry nodes that decide alone on late reports, engines, and the
/// callers' patience. The same trace and seed give the same figures.
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

/// What a replay drives: the decision core or a baseline.
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
    /// Time from measuring a load report to its arrival at the entry nodes.
    double report_lag_seconds = 1;
    /// Time that an engine needs to start again after it failed.
    double restart_seconds = 5;
    /// The longest time in which a change of configuration reaches a node.
    double propagation_seconds = 12;
    /// Attempts for one request, the first included.
    int attempts = 3;
    /// Longest time after the trace's end in which running work is completed.
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
        arrive,
        incident,
        configure,
        poll_engine,
        report,
        poll_node,
        reach_engine,
        step,
        restart,
        patience,
    };
    struct event
    {
        std::int64_t at;
        std::uint64_t sequence;
        event_type type;
        int first;
        int second;
        bool operator>(event const& other) const noexcept
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };
    struct request_state
    {
        int node = 0;
        std::uint64_t ticket = 0;
        int engine = -1;
        int attempts = 0;
        int priority = 1;
        bool done = false;
        bool has_first = false;
        bool ticket_valid = false;
        std::int64_t tokens = 0;
        std::int64_t counted = 0;
        double last_token_at = 0;
        std::vector<std::string> excluded;
    };
    struct delayed_report
    {
        int engine;
        double measured_at;
        decision::reported_load load;
    };

    double now() const noexcept { return static_cast<double>(m_now) / 1e6; }
    static base::time_point at(double seconds)
    {
        // Times before the start of the clock occur when delays are subtracted.
        return base::time_point(std::chrono::microseconds(1000000000)) +
               std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
    }
    base::time_point time() const { return at(now()); }
    void schedule(double delay, event_type type, int first = 0, int second = 0)
    {
        m_events.push(
            {m_now + static_cast<std::int64_t>(delay * 1e6), m_sequence++, type, first, second});
    }
    void handle(event const& next);
    void submit(int request);
    void poll_node(int node);
    void apply(int node, decision::decision_result const& decided);
    void reach_engine(int request, int engine);
    void step_engine(int engine);
    void start_step(int engine);
    void deliver(int engine);
    void fail_engine(int engine, double down_seconds);
    void break_off(int request, int engine);
    void give_up(int request, std::int64_t group_statistics::*counter);
    void happen(incident const& one);
    void configure(int node);
    template <class Change>
    void count(int request, Change change);
    void schedule_start();

    trace const& m_trace;
    simulation_settings m_settings;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<simulated_engine> m_engines{engine_count};
    std::vector<request_state> m_requests;
    std::vector<std::unordered_map<std::uint64_t, int>> m_by_ticket{node_count};
    std::vector<std::set<int>> m_on_engine{engine_count};
    std::vector<delayed_report> m_reports;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<decision::decision_result> m_decisions;
    std::vector<bool> m_poll_scheduled = std::vector<bool>(node_count);
    base::random_source m_random;
    std::int64_t m_now = 0;
    std::uint64_t m_sequence = 0;
    int m_zone_out = -1;
    replay_statistics m_statistics;
};

} // namespace jasminepier::benchmarks

#include "benchmarks/replay/simulation_events.hpp"
#include "benchmarks/replay/simulation_requests.hpp"
