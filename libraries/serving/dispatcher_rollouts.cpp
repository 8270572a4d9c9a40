#include "serving/dispatcher.hpp"

namespace jasminepier::serving
{
namespace
{

// A single node may have lost its path to a server.
constexpr int convincing_unreachable_reports = 2;

answer_evidence find_evidence(attempt_outcome outcome, bool was_cold, bool has_begun)
{
    switch (outcome)
    {
    case attempt_outcome::failed:
        return answer_evidence::failed;
    case attempt_outcome::succeeded:
        return was_cold ? answer_evidence::good_but_cold : answer_evidence::good;
    case attempt_outcome::inconclusive:
        return has_begun && !was_cold ? answer_evidence::slow_only : answer_evidence::none;
    case attempt_outcome::declined:
    case attempt_outcome::unreachable:
        break;
    }
    return answer_evidence::none;
}

} // namespace

version_admission dispatcher::admit_version(listed_server const& server,
                                            selection_query const& query,
                                            base::time_point now) const
{
    return m_rollouts.admit(server.entry.service, server.entry.version, server.entry.id,
                            query.purpose == selection_purpose::handover, now);
}

void dispatcher::record_version_sent(std::string const& server, request_demand const& demand)
{
    if (!m_rollouts.enabled())
        return;
    auto const found = m_directory.servers().find(server);
    if (found != m_directory.servers().end())
        m_rollouts.record_sent(found->second.entry.service, found->second.entry.version, server,
                               demand.route);
}

void dispatcher::record_version_answer(attempt_record const& attempt, attempt_outcome outcome,
                                       base::time_point now)
{
    if (!m_rollouts.enabled())
        return;
    auto const found = m_directory.servers().find(attempt.server);
    if (found == m_directory.servers().end() || is_leaving(attempt.server))
        return;
    auto const& server = found->second;
    auto const evidence = find_evidence(outcome, attempt.started < server.cold_until,
                                        attempt.first_event_time.has_value());
    m_rollouts.record_answer(
        server.entry.service, server.entry.version, attempt.server, attempt.demand.route, evidence,
        {attempt.started, attempt.first_event_time, now, attempt.demand.expected_output_tokens});
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
    // An order may arrive before the configuration.
    m_rollouts.update_schedules(
        [&](std::string const& service) -> std::optional<bool>
        {
            auto const* const known = m_configuration->find_service(service);
            return known ? std::optional(known->engine.has_value()) : std::nullopt;
        });
    std::vector<rollout_server> servers;
    servers.reserve(m_directory.servers().size());
    for (auto const& [id, server] : m_directory.servers())
    {
        auto const load = combine_loads(server, now);
        auto const health = m_server_health.find(id);
        bool const is_reachable =
            load.unreachable_report_count < convincing_unreachable_reports &&
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
