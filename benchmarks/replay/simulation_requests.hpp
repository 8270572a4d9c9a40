/// The life of a request in a replay.
#pragma once

#include "benchmarks/replay/simulation.hpp"

namespace jasminepier::benchmarks
{

template <decision_node Node>
template <class Change>
void simulation<Node>::count(int request, Change change)
{
    auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
    change(m_statistics.all);
    change(m_statistics.kinds[static_cast<std::size_t>(source.kind)]);
    if (source.customer == 0)
        change(m_statistics.largest_customer);
    if (source.customer == customer_count - 1)
        change(m_statistics.smallest_customer);
}

template <decision_node Node>
void simulation<Node>::submit(int request)
{
    auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
    auto& state = m_requests[static_cast<std::size_t>(request)];
    state.node = source.node;
    ++state.attempts;
    decision::submission wanted;
    wanted.service = service_name;
    wanted.model = model_name;
    wanted.customer = customer_name(source.customer);
    wanted.kind = source.kind;
    wanted.prompt_tokens = source.prompt_tokens;
    wanted.prefix_hash = source.prefix_hash;
    wanted.excluded = state.excluded;
    auto const node = static_cast<std::size_t>(state.node);
    state.ticket = m_nodes[node]->submit(wanted, time());
    state.ticket_valid = true;
    m_by_ticket[node][state.ticket] = request;
    poll_node(state.node);
}

template <decision_node Node>
void simulation<Node>::poll_node(int node)
{
    auto const index = static_cast<std::size_t>(node);
    std::vector<decision::decision_result> decisions;
    m_nodes[index]->poll(time(), decisions);
    for (auto const& decided : decisions)
        apply(node, decided);
    constexpr double interval = 0.02;
    if (m_nodes[index]->queued() > 0 && !m_poll_scheduled[index])
    {
        m_poll_scheduled[index] = true;
        schedule(interval, event_type::poll_node, node);
    }
}

template <decision_node Node>
void simulation<Node>::apply(int node, decision::decision_result const& decided)
{
    auto& tickets = m_by_ticket[static_cast<std::size_t>(node)];
    auto const found = tickets.find(decided.ticket);
    if (found == tickets.end())
        return;
    int const request = found->second;
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (decided.outcome == decision::decision_outcome::refused)
        return give_up(request, &group_statistics::refused);
    auto const& name = m_nodes[static_cast<std::size_t>(node)]->servers().at(decided.server).name;
    int const engine = std::stoi(name.substr(name.find('-') + 1));
    state.engine = engine;
    state.priority = decided.priority;
    m_on_engine[static_cast<std::size_t>(engine)].insert(request);
    constexpr double same_zone = 0.0005;
    constexpr double other_zone = 0.0015;
    schedule(zone_of(engine) == zone_of(node) ? same_zone : other_zone, event_type::reach_engine,
             request, engine);
}

template <decision_node Node>
void simulation<Node>::reach_engine(int request, int index)
{
    auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (state.done || state.engine != index)
        return;
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    if (!engine.up)
        return break_off(request, index);
    engine.model.submit({std::to_string(request), source.prompt_tokens, source.output_tokens,
                         state.priority, source.prefix_hash, source.prefix_tokens});
    if (!engine.stepping)
        start_step(index);
}

template <decision_node Node>
void simulation<Node>::deliver(int index)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    auto const tokens = std::move(engine.step.tokens);
    for (auto const& token : tokens)
    {
        int const request = std::stoi(token.id);
        auto const& source = m_trace.arrivals[static_cast<std::size_t>(request)];
        auto& state = m_requests[static_cast<std::size_t>(request)];
        if (state.done || state.engine != index)
            continue;
        if (source.crashes_engine)
        {
            ++m_statistics.crashes;
            return fail_engine(index, m_settings.restart_seconds);
        }
        auto& node = *m_nodes[static_cast<std::size_t>(state.node)];
        node.record_tokens(state.ticket, 1, time());
        double const gap = (now() - state.last_token_at) * 1000;
        bool const first = state.tokens == 0;
        bool const in_time = now() <= m_trace.duration_seconds;
        count(request,
              [&](group_statistics& group)
              {
                  if (in_time)
                      ++group.tokens;
                  if (first && !state.has_first)
                      group.time_to_first_token.add((now() - source.at_seconds) * 1000);
                  if (first)
                      return;
                  group.token_gaps.add(gap);
                  if (gap > stall_threshold_milliseconds)
                      group.stall_seconds += gap / 1000;
              });
        state.has_first = true;
        ++state.tokens;
        state.counted += in_time ? 1 : 0;
        state.last_token_at = now();
        if (!token.finished)
            continue;
        state.done = true;
        m_on_engine[static_cast<std::size_t>(index)].erase(request);
        node.finish(state.ticket, decision::generation_outcome::completed, time());
        count(request, [](group_statistics& group) { ++group.completed; });
        poll_node(state.node);
    }
}

template <decision_node Node>
void simulation<Node>::break_off(int request, int engine)
{
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (state.done)
        return;
    ++m_statistics.broken;
    m_on_engine[static_cast<std::size_t>(engine)].erase(request);
    auto& node = *m_nodes[static_cast<std::size_t>(state.node)];
    node.mark_server_lost(engine_name(engine), time());
    node.finish(state.ticket, decision::generation_outcome::failed, time());
    count(request, [&](group_statistics& group) { group.tokens -= state.counted; });
    state.tokens = 0;
    state.counted = 0;
    state.engine = -1;
    state.excluded = {engine_name(engine)};
    if (state.attempts >= m_settings.attempts)
        return give_up(request, &group_statistics::lost);
    submit(request);
}

template <decision_node Node>
void simulation<Node>::give_up(int request, std::int64_t group_statistics::*counter)
{
    auto& state = m_requests[static_cast<std::size_t>(request)];
    if (state.done)
        return;
    state.done = true;
    auto& node = *m_nodes[static_cast<std::size_t>(state.node)];
    if (!node.cancel_waiting(state.ticket))
        node.finish(state.ticket, decision::generation_outcome::cancelled, time());
    if (state.engine >= 0)
    {
        m_engines[static_cast<std::size_t>(state.engine)].model.cancel(std::to_string(request));
        m_on_engine[static_cast<std::size_t>(state.engine)].erase(request);
    }
    auto const tokens = m_trace.arrivals[static_cast<std::size_t>(request)].output_tokens;
    count(request,
          [&](group_statistics& group)
          {
              ++(group.*counter);
              group.unserved_tokens += tokens;
              group.tokens -= state.counted;
          });
}

} // namespace jasminepier::benchmarks
