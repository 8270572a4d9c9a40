/// The outside world of a replay: time, reports, incidents and engine steps.
#pragma once

#include "benchmarks/replay/simulation.hpp"

#include <charconv>

namespace jasminepier::benchmarks
{

template <decision_node Node>
simulation<Node>::simulation(trace const& source, simulation_settings settings,
                             node_factory const& factory)
    : m_trace(source), m_settings(std::move(settings)), m_requests(source.arrivals.size()),
      m_random(m_settings.seed)
{
    for (int i = 0; i < node_count; ++i)
    {
        decision::core_settings core;
        core.node = node_name(i);
        core.zone = zone_name(zone_of(i));
        core.seed = m_settings.seed * 1000 + static_cast<std::uint64_t>(i);
        m_nodes.push_back(factory(core));
        // The fleet has been configured for long when the trace starts.
        m_nodes.back()->apply_configuration(
            make_configuration(m_settings.preset, engine_count, node_count, -1), at(-100));
    }
    schedule_start();
}

template <decision_node Node>
void simulation<Node>::schedule_start()
{
    for (int engine = 0; engine < engine_count; ++engine)
    {
        for (auto& node : m_nodes)
            node->apply_report(engine_name(engine),
                               m_engines[static_cast<std::size_t>(engine)].report(), at(-1), at(0));
        schedule(engine / static_cast<double>(engine_count), event_type::poll_engine, engine);
    }
    for (std::size_t i = 0; i < m_trace.arrivals.size(); ++i)
        schedule(m_trace.arrivals[i].at_seconds, event_type::arrive, static_cast<int>(i));
    for (std::size_t i = 0; i < m_trace.incidents.size(); ++i)
        schedule(m_trace.incidents[i].at_seconds, event_type::incident, static_cast<int>(i));
}

template <decision_node Node>
replay_statistics simulation<Node>::run()
{
    auto const end =
        static_cast<std::int64_t>((m_trace.duration_seconds + m_settings.drain_seconds) * 1e6);
    while (!m_events.empty() && m_events.top().at <= end)
    {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.at;
        handle(next);
    }
    for (auto const& engine : m_engines)
        m_statistics.preemptions += engine.earlier_preemptions + engine.model.preemptions();
    return m_statistics;
}

template <decision_node Node>
void simulation<Node>::handle(event const& next)
{
    switch (next.type)
    {
    case event_type::arrive:
        count(next.first, [](group_statistics& group) { ++group.arrived; });
        schedule(
            m_settings.preset.limits(m_trace.arrivals[static_cast<std::size_t>(next.first)].kind)
                    .maximum_wait_milliseconds /
                1000.0,
            event_type::patience, next.first);
        return submit(next.first);
    case event_type::incident:
        return happen(m_trace.incidents[static_cast<std::size_t>(next.first)]);
    case event_type::configure:
        return configure(next.first);
    case event_type::poll_engine:
        m_reports.push_back(
            {next.first, now(), m_engines[static_cast<std::size_t>(next.first)].report()});
        schedule(m_settings.report_lag_seconds, event_type::report,
                 static_cast<int>(m_reports.size()) - 1);
        return schedule(1, event_type::poll_engine, next.first);
    case event_type::report:
    {
        auto const& report = m_reports[static_cast<std::size_t>(next.first)];
        for (int node = 0; node < node_count; ++node)
        {
            m_nodes[static_cast<std::size_t>(node)]->apply_report(
                engine_name(report.engine), report.load, at(report.measured_at), time());
            poll_node(node);
        }
        return;
    }
    case event_type::poll_node:
        m_poll_scheduled[static_cast<std::size_t>(next.first)] = false;
        return poll_node(next.first);
    case event_type::reach_engine:
        return reach_engine(next.first, next.second);
    case event_type::step:
        return step_engine(next.first);
    case event_type::restart:
        return m_engines[static_cast<std::size_t>(next.first)].restart(now());
    case event_type::patience:
        if (!m_requests[static_cast<std::size_t>(next.first)].has_first)
            give_up(next.first, &group_statistics::abandoned);
        return;
    }
}

template <decision_node Node>
void simulation<Node>::happen(incident const& one)
{
    if (one.kind == incident_kind::engine_turns_cold)
    {
        auto& engine = m_engines[static_cast<std::size_t>(one.index)];
        engine.model.turn_cold();
        engine.cold_since = now();
        return;
    }
    bool const returns =
        one.kind == incident_kind::zone_returns || one.kind == incident_kind::zone_back;
    m_zone_out = returns ? -1 : one.index;
    for (int engine = 0; engine < engine_count; ++engine)
    {
        if (zone_of(engine) != one.index)
            continue;
        if (one.kind == incident_kind::zone_stops)
            fail_engine(engine, 0);
        else if (one.kind == incident_kind::zone_returns)
            m_engines[static_cast<std::size_t>(engine)].restart(now());
    }
    if (one.kind == incident_kind::zone_stops)
        return;
    for (int node = 0; node < node_count; ++node)
        schedule(m_settings.propagation_seconds * static_cast<double>(m_random() % 1000) / 1000,
                 event_type::configure, node);
}

template <decision_node Node>
void simulation<Node>::configure(int node)
{
    m_nodes[static_cast<std::size_t>(node)]->apply_configuration(
        make_configuration(m_settings.preset, engine_count, node_count, m_zone_out), time());
    poll_node(node);
}

template <decision_node Node>
void simulation<Node>::start_step(int index)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    engine.stepping = false;
    if (engine.model.is_idle())
        return;
    engine.step = engine.model.step();
    if (engine.step.failed)
    {
        // An engine that turned cold within the last 2 s cannot have been known as cold.
        ++m_statistics.cold_overloads;
        if (engine.instance == 1 && now() - engine.cold_since < 2)
            ++m_statistics.unreported_cold_overloads;
        return fail_engine(index, m_settings.restart_seconds);
    }
    engine.stepping = true;
    schedule(engine.step.milliseconds / 1000, event_type::step, index, engine.instance);
}

template <decision_node Node>
void simulation<Node>::step_engine(int index)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    if (!engine.up || !engine.stepping)
        return;
    deliver(index);
    // A crashing request brings the engine down while its tokens are delivered.
    if (engine.up)
        start_step(index);
}

template <decision_node Node>
void simulation<Node>::fail_engine(int index, double down_seconds)
{
    m_engines[static_cast<std::size_t>(index)].stop();
    if (down_seconds > 0)
        schedule(down_seconds, event_type::restart, index);
    auto const broken = m_on_engine[static_cast<std::size_t>(index)];
    m_on_engine[static_cast<std::size_t>(index)].clear();
    for (int const request : broken)
        break_off(request, index);
}

} // namespace jasminepier::benchmarks
