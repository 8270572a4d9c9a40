/// The part of the simulation that handles requests and their attempts.
#pragma once

#include "benchmarks/replay/simulation.hpp"

namespace jasminepier::benchmarks
{

template <decision_node Node>
template <class Update>
void simulation<Node>::update_statistics(int request, Update update)
{
    auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
    update(m_statistics.all);
    update(m_statistics.kinds[static_cast<std::size_t>(source.kind)]);
    if (source.customer == 0)
        update(m_statistics.largest_customer);
    if (source.customer == customer_count - 1)
        update(m_statistics.smallest_customer);
}

template <decision_node Node>
void simulation<Node>::submit(int request)
{
    auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
    auto& state = m_requests[static_cast<std::size_t>(request)];
    state.node = source.node;
    ++state.attempts;
    decision::submission submission;
    submission.service = service_name;
    submission.model = model_name;
    submission.customer = customer_name(source.customer);
    submission.kind = source.kind;
    submission.prompt_tokens = source.prompt_tokens;
    submission.prefix_hash = source.prefix_hash;
    submission.excluded = state.excluded;
    auto const node = static_cast<std::size_t>(state.node);
    state.ticket = m_nodes[node]->submit(submission, current_time());
    state.ticket_valid = true;
    m_requests_by_ticket[node][state.ticket] = request;
    poll_node(state.node);
}

template <decision_node Node>
void simulation<Node>::poll_node(int node)
{
    auto const index = static_cast<std::size_t>(node);
    std::vector<decision::decision_result> decisions;
    m_nodes[index]->poll(current_time(), decisions);
    for (auto const& result : decisions)
        apply_decision(node, result);
    constexpr double poll_interval_seconds = 0.02;
    if (m_nodes[index]->queued() > 0 && !m_poll_scheduled[index])
    {
        m_poll_scheduled[index] = true;
        schedule(poll_interval_seconds, event_type::poll_node, node);
    }
}

template <decision_node Node>
void simulation<Node>::apply_decision(int node, decision::decision_result const& result)
{
    auto& tickets = m_requests_by_ticket[static_cast<std::size_t>(node)];
    auto const found = tickets.find(result.ticket);
    if (found == tickets.end())
        return;
    int const request = found->second;
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (result.outcome == decision::decision_outcome::refused)
        return end_unserved(request, &group_statistics::rejected);
    auto const& name = m_nodes[static_cast<std::size_t>(node)]->servers().at(result.server).name;
    int const engine = std::stoi(name.substr(name.find('-') + 1));
    state.engine = engine;
    state.priority = result.priority;
    m_requests_on_engine[static_cast<std::size_t>(engine)].insert(request);
    constexpr double same_zone_delay_seconds = 0.0005;
    constexpr double other_zone_delay_seconds = 0.0015;
    schedule(zone_of(engine) == zone_of(node) ? same_zone_delay_seconds : other_zone_delay_seconds,
             event_type::arrival_at_engine, request, engine);
}

template <decision_node Node>
void simulation<Node>::arrive_at_engine(int request, int index)
{
    auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (state.finished || state.engine != index)
        return;
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    if (!engine.is_up)
        return fail_attempt(request, index);
    engine.model.submit({std::to_string(request), source.prompt_tokens, source.output_tokens,
                         state.priority, source.prefix_hash, source.prefix_tokens});
    if (!engine.step_in_progress)
        start_step(index);
}

template <decision_node Node>
void simulation<Node>::deliver_tokens(int index)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    auto const tokens = std::move(engine.step.tokens);
    for (auto const& token : tokens)
    {
        int const request = std::stoi(token.id);
        auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
        auto& state = m_requests[static_cast<std::size_t>(request)];
        if (state.finished || state.engine != index)
            continue;
        if (source.crashes_engine)
        {
            ++m_statistics.engine_crashes;
            return fail_engine(index, m_settings.engine_restart_seconds);
        }
        auto& node = *m_nodes[static_cast<std::size_t>(state.node)];
        node.record_tokens(state.ticket, 1, current_time());
        double const gap_milliseconds = (now_seconds() - state.last_token_seconds) * 1000;
        bool const first_token = state.received_tokens == 0;
        bool const within_trace = now_seconds() <= m_trace.duration_seconds;
        update_statistics(request,
                          [&](group_statistics& group)
                          {
                              if (within_trace)
                                  ++group.tokens;
                              if (first_token && !state.received_first_token)
                                  group.time_to_first_token.add(
                                      (now_seconds() - source.time_seconds) * 1000);
                              if (first_token)
                                  return;
                              group.token_gaps.add(gap_milliseconds);
                              if (gap_milliseconds > stall_threshold_milliseconds)
                                  group.stall_seconds += gap_milliseconds / 1000;
                          });
        state.received_first_token = true;
        ++state.received_tokens;
        state.counted_tokens += within_trace ? 1 : 0;
        state.last_token_seconds = now_seconds();
        if (!token.finished)
            continue;
        state.finished = true;
        m_requests_on_engine[static_cast<std::size_t>(index)].erase(request);
        node.finish(state.ticket, decision::generation_outcome::completed, current_time());
        update_statistics(request, [](group_statistics& group) { ++group.completed; });
        poll_node(state.node);
    }
}

template <decision_node Node>
void simulation<Node>::fail_attempt(int request, int engine)
{
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (state.finished)
        return;
    ++m_statistics.interrupted_generations;
    m_requests_on_engine[static_cast<std::size_t>(engine)].erase(request);
    auto& node = *m_nodes[static_cast<std::size_t>(state.node)];
    node.mark_server_lost(engine_name(engine), current_time());
    node.finish(state.ticket, decision::generation_outcome::failed, current_time());
    update_statistics(request,
                      [&](group_statistics& group) { group.tokens -= state.counted_tokens; });
    state.received_tokens = 0;
    state.counted_tokens = 0;
    state.engine = -1;
    state.excluded = {engine_name(engine)};
    if (state.attempts >= m_settings.maximum_attempts)
        return end_unserved(request, &group_statistics::failed);
    submit(request);
}

template <decision_node Node>
void simulation<Node>::end_unserved(int request, std::int64_t group_statistics::*counter)
{
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (state.finished)
        return;
    state.finished = true;
    auto& node = *m_nodes[static_cast<std::size_t>(state.node)];
    if (!node.cancel_waiting(state.ticket))
        node.finish(state.ticket, decision::generation_outcome::cancelled, current_time());
    if (state.engine >= 0)
    {
        m_engines[static_cast<std::size_t>(state.engine)].model.cancel(std::to_string(request));
        m_requests_on_engine[static_cast<std::size_t>(state.engine)].erase(request);
    }
    auto const tokens = m_trace.arrivals[static_cast<std::size_t>(request)].output_tokens;
    update_statistics(request,
                      [&](group_statistics& group)
                      {
                          ++(group.*counter);
                          group.unserved_tokens += tokens;
                          group.tokens -= state.counted_tokens;
                      });
}

} // namespace jasminepier::benchmarks
