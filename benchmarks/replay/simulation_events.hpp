/// The part of the simulation that handles time, load reports, incidents and engine steps.
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
        decision::core_settings core_settings;
        core_settings.node = node_name(i);
        core_settings.zone = zone_name(zone_of(i));
        core_settings.seed = m_settings.seed * 1000 + static_cast<std::uint64_t>(i);
        m_nodes.push_back(factory(core_settings));
        // All servers have been known for a long time when the trace starts.
        m_nodes.back()->apply_configuration(
            make_configuration(m_settings.preset, engine_count, node_count, -1),
            to_time_point(-100));
    }
    schedule_initial_events();
}

template <decision_node Node>
void simulation<Node>::schedule_initial_events()
{
    for (int engine = 0; engine < engine_count; ++engine)
    {
        for (auto& node : m_nodes)
            node->apply_report(engine_name(engine),
                               m_engines[static_cast<std::size_t>(engine)].report(),
                               to_time_point(-1), to_time_point(0));
        schedule(engine / static_cast<double>(engine_count), event_type::report_measured, engine);
    }
    for (std::size_t i = 0; i < m_trace.arrivals.size(); ++i)
        schedule(m_trace.arrivals[i].time_seconds, event_type::request_arrival,
                 static_cast<int>(i));
    for (std::size_t i = 0; i < m_trace.incidents.size(); ++i)
        schedule(m_trace.incidents[i].time_seconds, event_type::incident, static_cast<int>(i));
}

template <decision_node Node>
replay_statistics simulation<Node>::run()
{
    auto const end_microseconds =
        static_cast<std::int64_t>((m_trace.duration_seconds + m_settings.drain_seconds) * 1e6);
    while (!m_events.empty() && m_events.top().time_microseconds <= end_microseconds)
    {
        auto const next = m_events.top();
        m_events.pop();
        m_now_microseconds = next.time_microseconds;
        handle_event(next);
    }
    for (auto const& engine : m_engines)
        m_statistics.preemptions +=
            engine.preemptions_of_previous_instances + engine.model.preemptions();
    return m_statistics;
}

template <decision_node Node>
void simulation<Node>::handle_event(event const& next)
{
    switch (next.type)
    {
    case event_type::request_arrival:
        update_statistics(next.subject, [](group_statistics& group) { ++group.arrived; });
        schedule(
            m_settings.preset.limits(m_trace.arrivals[static_cast<std::size_t>(next.subject)].kind)
                    .maximum_wait_milliseconds /
                1000.0,
            event_type::caller_timeout, next.subject);
        return submit(next.subject);
    case event_type::incident:
        return apply_incident(m_trace.incidents[static_cast<std::size_t>(next.subject)]);
    case event_type::configuration_change:
        return apply_configuration_change(next.subject);
    case event_type::report_measured:
        m_reports.push_back({next.subject, now_seconds(),
                             m_engines[static_cast<std::size_t>(next.subject)].report()});
        schedule(m_settings.report_lag_seconds, event_type::report_received,
                 static_cast<int>(m_reports.size()) - 1);
        return schedule(1, event_type::report_measured, next.subject);
    case event_type::report_received:
    {
        auto const& report = m_reports[static_cast<std::size_t>(next.subject)];
        for (int node = 0; node < node_count; ++node)
        {
            m_nodes[static_cast<std::size_t>(node)]->apply_report(
                engine_name(report.engine), report.load, to_time_point(report.measured_at_seconds),
                current_time());
            poll_node(node);
        }
        return;
    }
    case event_type::poll_node:
        m_poll_scheduled[static_cast<std::size_t>(next.subject)] = false;
        return poll_node(next.subject);
    case event_type::arrival_at_engine:
        return arrive_at_engine(next.subject, next.argument);
    case event_type::step_end:
        return finish_step(next.subject);
    case event_type::engine_restart:
        return m_engines[static_cast<std::size_t>(next.subject)].restart(now_seconds());
    case event_type::caller_timeout:
        if (!m_requests[static_cast<std::size_t>(next.subject)].received_first_token)
            end_unserved(next.subject, &group_statistics::abandoned);
        return;
    }
}

template <decision_node Node>
void simulation<Node>::apply_incident(incident const& incident)
{
    if (incident.kind == incident_kind::engine_turns_cold)
    {
        auto& engine = m_engines[static_cast<std::size_t>(incident.index)];
        engine.model.turn_cold();
        engine.cold_since_seconds = now_seconds();
        return;
    }
    bool const back_in_service = incident.kind == incident_kind::zone_engines_restart ||
                                 incident.kind == incident_kind::zone_back_in_service;
    m_zone_out_of_service = back_in_service ? -1 : incident.index;
    for (int engine = 0; engine < engine_count; ++engine)
    {
        if (zone_of(engine) != incident.index)
            continue;
        if (incident.kind == incident_kind::zone_engines_stop)
            fail_engine(engine, 0);
        else if (incident.kind == incident_kind::zone_engines_restart)
            m_engines[static_cast<std::size_t>(engine)].restart(now_seconds());
    }
    if (incident.kind == incident_kind::zone_engines_stop)
        return;
    for (int node = 0; node < node_count; ++node)
        schedule(m_settings.maximum_propagation_seconds * static_cast<double>(m_random() % 1000) /
                     1000,
                 event_type::configuration_change, node);
}

template <decision_node Node>
void simulation<Node>::apply_configuration_change(int node)
{
    m_nodes[static_cast<std::size_t>(node)]->apply_configuration(
        make_configuration(m_settings.preset, engine_count, node_count, m_zone_out_of_service),
        current_time());
    poll_node(node);
}

template <decision_node Node>
void simulation<Node>::start_step(int index)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    engine.step_in_progress = false;
    if (engine.model.is_idle())
        return;
    engine.step = engine.model.step();
    if (engine.step.failed)
    {
        // Reports can't yet show that an engine has turned cold within the last 2 s.
        ++m_statistics.cold_overloads;
        if (engine.instance == 1 && now_seconds() - engine.cold_since_seconds < 2)
            ++m_statistics.unreported_cold_overloads;
        return fail_engine(index, m_settings.engine_restart_seconds);
    }
    engine.step_in_progress = true;
    schedule(engine.step.milliseconds / 1000, event_type::step_end, index, engine.instance);
}

template <decision_node Node>
void simulation<Node>::finish_step(int index)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    if (!engine.is_up || !engine.step_in_progress)
        return;
    deliver_tokens(index);
    // A request that crashes its engine does so when its first token is delivered.
    if (engine.is_up)
        start_step(index);
}

template <decision_node Node>
void simulation<Node>::fail_engine(int index, double down_seconds)
{
    m_engines[static_cast<std::size_t>(index)].shut_down();
    if (down_seconds > 0)
        schedule(down_seconds, event_type::engine_restart, index);
    auto const requests = m_requests_on_engine[static_cast<std::size_t>(index)];
    m_requests_on_engine[static_cast<std::size_t>(index)].clear();
    for (int const request : requests)
        fail_attempt(request, index);
}

} // namespace jasminepier::benchmarks
