#include "serving/dispatcher.hpp"

namespace jasminepier::serving
{

version_admission dispatcher::admit_version(listed_server const& server,
                                            selection_query const& query,
                                            base::time_point now) const
{
    return m_rollouts.admit(server.entry.service, server.entry.version, server.entry.id,
                            query.purpose == selection_purpose::handover, now);
}

void dispatcher::record_version_sent(std::string const& server, request_demand const& demand)
{
    auto const found = m_directory.servers().find(server);
    if (found != m_directory.servers().end())
        m_rollouts.record_sent(found->second.entry.service, found->second.entry.version, server,
                               demand.route);
}

void dispatcher::record_version_answer(attempt_record const& attempt, attempt_outcome outcome,
                                       base::time_point now)
{
    auto const found = m_directory.servers().find(attempt.server);
    if (found == m_directory.servers().end())
        return;
    auto const& server = found->second;
    bool const was_cold = attempt.started < server.cold_until;
    bool const says_nothing =
        was_cold || is_leaving(attempt.server) ||
        (outcome != attempt_outcome::succeeded && outcome != attempt_outcome::failed);
    auto const evidence = says_nothing                            ? answer_evidence::none
                          : outcome == attempt_outcome::succeeded ? answer_evidence::good
                                                                  : answer_evidence::failed;
    m_rollouts.record_answer(
        server.entry.service, server.entry.version, attempt.server, attempt.demand.route, evidence,
        {attempt.started, attempt.first_event_time, now, attempt.demand.expected_output_tokens});
}

void dispatcher::notify_leaving()
{
    for (auto const& [attempt_key, attempt] : m_attempts)
        if (attempt.on_leaving && is_leaving(attempt.server))
            attempt.on_leaving();
}

void dispatcher::apply_rollout(rollout_order const& order, base::time_point now,
                               std::int64_t unix_milliseconds)
{
    auto const* target_service = m_configuration->find_service(order.service);
    // Before the first configuration, the longer drain of engines is the safe one.
    bool const has_engines = target_service == nullptr || target_service->engine.has_value();
    m_rollouts.apply_order(order, has_engines, now, unix_milliseconds);
}

std::vector<rollout_step> dispatcher::advance_rollouts(base::time_point now)
{
    std::vector<rollout_server> servers;
    servers.reserve(m_directory.servers().size());
    for (auto const& [id, server] : m_directory.servers())
    {
        auto const load = combine_loads(server, now);
        auto const health = m_server_health.find(id);
        bool const is_reachable =
            load.unreachable_report_count == 0 &&
            (health == m_server_health.end() || now >= health->second.unreachable_until);
        bool const listed =
            server.phase == server_phase::ready || server.phase == server_phase::expired;
        servers.push_back({id, server.entry.service, server.entry.version,
                           listed && is_reachable && !m_evacuated_zones.contains(server.entry.zone),
                           now < server.cold_until, server.entry.slots, load.total.running});
    }
    return m_rollouts.advance(servers, now);
}

} // namespace jasminepier::serving
