#include "serving/dispatcher.hpp"

#include "decision/cold_start.hpp"

#include <algorithm>
#include <limits>

namespace jasminepier::serving
{
namespace
{

// Prompt tokens waiting for prefill that count as much as a full KV cache: about half a second of
// prefill at the engines' specified 14 tokens/ms.
constexpr double prefill_backlog_scale = 7000;
// Weight of an engine's batch occupancy: its step takes up to 40% longer with a full batch.
constexpr double batch_occupancy_weight = 0.4;
// Weight of a failure rate above the mean of the service's servers.
constexpr double failure_weight = 4;
// Every server's history starts with this many attempts at the mean failure rate of the service.
constexpr double prior_attempt_count = 3;
// Small for new work, since crossing zones costs a few milliseconds; larger for a handover, whose
// copy takes twice as long between zones.
constexpr double cross_zone_penalty = 0.05;
constexpr double cross_zone_handover_penalty = 1.0;
// Replaces cross_zone_penalty where nodes report within their zone: loads of other zones are about
// a second old, and bytes between zones are priced. Work still leaves a zone whose engines are
// fuller than others by this fraction.
constexpr double cross_zone_penalty_with_summaries = 0.3;
// Nodes that have the same reports would otherwise all select the same one of nearly equal servers.
constexpr double score_noise = 0.05;
// Backoff after a failed connection; doubles with each further failure up to the maximum.
constexpr base::milliseconds initial_unreachable_backoff{400};
constexpr base::milliseconds maximum_unreachable_backoff{3000};
// A peer's report that it cannot reach a server counts like a higher failure rate and does not
// exclude the server, since the fault may lie between that peer and the server.
constexpr double unreachable_report_weight = 0.5;
constexpr base::milliseconds cold_rate_window{1000};

// Weight of a stream that is expected to be late. A stream that is certainly late costs far more
// than a full engine, whose other parts of the score sum up to about 2, and one that is probably in
// time costs less.
constexpr double late_stream_weight = 16;

/// Ranks exclusion reasons by how soon they are expected to pass.
int recovery_rank(exclusion_reason reason) noexcept
{
    switch (reason)
    {
    case exclusion_reason::full:
        return 0;
    case exclusion_reason::cold:
        return 1;
    case exclusion_reason::rate_limited:
        return 2;
    case exclusion_reason::paused:
        return 3;
    case exclusion_reason::unreachable:
        return 4;
    default:
        return 5;
    }
}

} // namespace

std::string_view to_string(exclusion_reason reason) noexcept
{
    switch (reason)
    {
    case exclusion_reason::none:
        return "none";
    case exclusion_reason::leaving:
        return "leaving";
    case exclusion_reason::zone_evacuated:
        return "zone_evacuated";
    case exclusion_reason::unreachable:
        return "unreachable";
    case exclusion_reason::cold:
        return "cold";
    case exclusion_reason::paused:
        return "paused";
    case exclusion_reason::rate_limited:
        return "rate_limited";
    case exclusion_reason::full:
        return "full";
    case exclusion_reason::already_tried:
        return "excluded";
    case exclusion_reason::unlisted:
        return "unlisted";
    case exclusion_reason::other_version:
        return "other_version";
    }
    return "unknown";
}

void dispatcher::set_configuration(std::shared_ptr<fleet_configuration const> configuration)
{
    m_cold_shares.clear();
    m_configuration = std::move(configuration);
}

service const* dispatcher::select_service(route const& matched_route,
                                          base::random_source& random) const
{
    int total_weight = 0;
    for (auto const& candidate : matched_route.services)
        total_weight += std::max(candidate.weight, 0);
    if (total_weight == 0)
        return nullptr;
    int remaining_weight = std::uniform_int_distribution<int>(0, total_weight - 1)(random);
    for (auto const& candidate : matched_route.services)
    {
        remaining_weight -= std::max(candidate.weight, 0);
        if (remaining_weight < 0)
            return m_configuration->find_service(candidate.service);
    }
    return nullptr;
}

void dispatcher::set_fleet_view(fleet_view view)
{
    if (view == m_fleet)
        return;
    m_fleet = std::move(view);
    m_cold_shares.clear();
    m_rate_limit_shares.clear();
    // The summaries of the other zones contain the loads of their nodes.
    if (m_fleet.reports_within_zone)
        m_peer_loads.remove_if(
            [&](load_source const& source, peer_load_table::source_report const&)
            { return !source.is_zone_summary() && source.zone != m_settings.zone; });
}

int dispatcher::find_share(request_shares& shares, server_entry const& server,
                           int fleet_requests) const
{
    // Only the nodes that report to each other can divide a number of requests. A fleet that
    // reports within zones leaves each such server to the nodes of its zone.
    if (m_fleet.reports_within_zone && server.zone != m_settings.zone)
        return 0;
    auto const [found, added] = shares.try_emplace(server.id);
    auto& share = found->second;
    if (added || share.fleet_requests != fleet_requests)
        share = {fleet_requests, decision::count_local_slots(server.id, m_fleet.reporting_nodes,
                                                             m_settings.node, fleet_requests)};
    return share.local_requests;
}

int dispatcher::rate_limit_share(listed_server const& server, double requests_per_second) const
{
    return find_share(m_rate_limit_shares, server.entry,
                      server_rate_limits::count_permitted_requests(requests_per_second));
}

std::optional<base::time_point>
dispatcher::find_next_permitted_start(listed_server const& server) const
{
    auto const limit = m_rate_limits.find_limit(server.hash);
    if (!limit)
        return base::time_point{};
    auto const health = m_server_health.find(server.entry.id);
    static std::deque<base::time_point> const no_attempts;
    return server_rate_limits::find_next_start(
        health == m_server_health.end() ? no_attempts : health->second.recent_attempt_times,
        rate_limit_share(server, *limit));
}

base::milliseconds dispatcher::estimate_rate_limit_delay(std::string_view service,
                                                         base::time_point first_start, int share,
                                                         base::time_point now) const
{
    auto const first_delay = std::chrono::ceil<base::milliseconds>(first_start - now);
    auto const waiting = m_waiting.count_local(service);
    if (waiting == 0 || share == 0)
        return first_delay;
    return first_delay +
           static_cast<int>(waiting) * base::milliseconds(server_rate_limits::window) / share;
}

bool dispatcher::below_cold_rate_limit(listed_server const& server, service const& target_service,
                                       base::time_point now) const
{
    if (now >= server.cold_until || target_service.cold_requests_per_second <= 0)
        return true;
    auto const local_allowance = find_share(
        m_cold_shares, server.entry, static_cast<int>(target_service.cold_requests_per_second));
    auto const health = m_server_health.find(server.entry.id);
    if (health == m_server_health.end())
        return local_allowance > 0;
    auto const& recent_attempt_times = health->second.recent_attempt_times;
    auto const recent_count =
        std::count_if(recent_attempt_times.begin(), recent_attempt_times.end(),
                      [&](auto at) { return at > now - cold_rate_window; });
    return recent_count < local_allowance;
}

exclusion_reason dispatcher::find_exclusion_reason(listed_server const& server,
                                                   service const& target_service,
                                                   combined_load const& load,
                                                   selection_query const& query,
                                                   base::time_point now) const
{
    auto const& id = server.entry.id;
    if (!is_usable(server.phase) ||
        admit_version(server, query, now) == version_admission::excluded)
        return exclusion_reason::leaving;
    if (query.required_version &&
        hash_version(server.entry.service, server.entry.version) != *query.required_version)
        return exclusion_reason::other_version;
    if (m_evacuated_zones.contains(server.entry.zone))
        return exclusion_reason::zone_evacuated;
    if (std::find(query.excluded_servers.begin(), query.excluded_servers.end(), id) !=
        query.excluded_servers.end())
        return exclusion_reason::already_tried;
    if (auto const health = m_server_health.find(id); health != m_server_health.end())
    {
        if (now < health->second.paused_until)
            return exclusion_reason::paused;
        if (now < health->second.unreachable_until)
            return exclusion_reason::unreachable;
        if (now < health->second.full_until)
            return exclusion_reason::full;
    }
    if (!below_cold_rate_limit(server, target_service, now))
        return exclusion_reason::cold;
    if (auto const next_start = find_next_permitted_start(server); !next_start || now < *next_start)
        return exclusion_reason::rate_limited;
    if (!target_service.engine)
        return load.total.running >= server.entry.slots * maximum_plain_requests_per_slot
                   ? exclusion_reason::full
                   : exclusion_reason::none;
    auto const maximum_running = std::max(target_service.engine->batch_size, 1);
    if (load.total.running >= maximum_running)
        return exclusion_reason::full;
    auto const needed_tokens = query.demand.prompt_tokens + query.demand.expected_output_tokens;
    auto const usable_tokens =
        usable_cache_fraction * static_cast<double>(target_service.engine->cache_tokens);
    // A request larger than the usable cache can only run on an idle engine.
    if (load.total.running > 0 &&
        static_cast<double>(load.total.reserved_tokens + needed_tokens) > usable_tokens)
        return exclusion_reason::full;
    return exclusion_reason::none;
}

double dispatcher::score(listed_server const& server, service const& target_service,
                         combined_load const& load, selection_query const& query,
                         double mean_failure_rate, base::time_point now) const
{
    auto const attempts = load.attempts + prior_attempt_count;
    auto const failure_rate = (load.failures + prior_attempt_count * mean_failure_rate) / attempts;
    // A failed stream costs its caller at least as much as a late one.
    auto const weight = query.weighs_gaps ? late_stream_weight : failure_weight;
    auto total_score = weight * std::max(0.0, failure_rate - mean_failure_rate);
    total_score += unreachable_report_weight * load.unreachable_report_count;
    bool const crosses_zones =
        !query.preferred_zone.empty() && server.entry.zone != query.preferred_zone;
    if (crosses_zones && query.purpose == selection_purpose::handover)
        total_score += cross_zone_handover_penalty;
    else if (crosses_zones)
        total_score +=
            m_fleet.reports_within_zone ? cross_zone_penalty_with_summaries : cross_zone_penalty;
    if (!target_service.engine)
        return total_score +
               static_cast<double>(load.total.running) / std::max(server.entry.slots, 1);
    auto const cache_tokens =
        static_cast<double>(std::max<std::int64_t>(target_service.engine->cache_tokens, 1));
    total_score += static_cast<double>(load.total.reserved_tokens) / cache_tokens;
    total_score += static_cast<double>(load.total.unread_prompt_tokens) / prefill_backlog_scale;
    total_score += batch_occupancy_weight * load.total.running /
                   std::max(target_service.engine->batch_size, 1);
    total_score +=
        late_stream_weight * estimate_late_streams(server, target_service, load, query, now);
    return total_score;
}

server_selection dispatcher::select_server(selection_query const& requested, base::time_point now,
                                           base::random_source& random) const
{
    auto query = requested;
    server_selection result;
    result.reason = exclusion_reason::leaving;
    auto const* target_service = m_configuration->find_service(query.service);
    if (target_service == nullptr)
        return result;
    struct candidate
    {
        listed_server const* server;
        combined_load load;
        version_admission admission;
    };
    std::vector<candidate> candidates;
    double attempts = 0;
    double failures = 0;
    bool any_evacuated = false;
    std::optional<base::time_point> next_permitted_start;
    int rate_limit_shares = 0;
    for (auto const& [id, server] : m_directory.servers())
    {
        if (server.entry.service != query.service)
            continue;
        auto load = combine_loads(server, now);
        attempts += load.attempts;
        failures += load.failures;
        auto const reason = find_exclusion_reason(server, *target_service, load, query, now);
        any_evacuated = any_evacuated || reason == exclusion_reason::zone_evacuated;
        if (reason == exclusion_reason::rate_limited)
        {
            rate_limit_shares += rate_limit_share(server, *m_rate_limits.find_limit(server.hash));
            if (auto const start = find_next_permitted_start(server))
                next_permitted_start = std::min(*start, next_permitted_start.value_or(*start));
        }
        if (reason == exclusion_reason::paused)
        {
            auto const end = m_server_health.at(id).paused_until;
            next_permitted_start = std::min(end, next_permitted_start.value_or(end));
        }
        if (reason == exclusion_reason::none)
            candidates.push_back({&server, load, admit_version(server, query, now)});
        else if (recovery_rank(reason) < recovery_rank(result.reason))
            result.reason = reason;
    }
    keep_highest_admission(candidates);
    query.weighs_gaps =
        query.demand.maximum_event_gap.count() > 0 && m_paces.any() &&
        std::any_of(candidates.begin(), candidates.end(),
                    [&](auto const& item) { return m_paces.knows(item.server->hash); });
    bool const has_no_server =
        candidates.empty() && result.reason == exclusion_reason::leaving && !any_evacuated;
    // Whether servers of a certain version come back is unknown, so their streams don't wait.
    if (has_no_server && query.required_version)
        result.reason = exclusion_reason::other_version;
    else if (has_no_server && m_directory.may_miss_servers(now))
        result.reason = exclusion_reason::unlisted;
    if (next_permitted_start && result.depends_on_time())
        result.delay =
            estimate_rate_limit_delay(query.service, *next_permitted_start, rate_limit_shares, now);
    auto const mean_failure_rate = attempts > 0 ? failures / attempts : 0;
    std::uniform_real_distribution<double> noise(0, score_noise);
    double best_score = std::numeric_limits<double>::max();
    candidate const* best = nullptr;
    for (auto const& item : candidates)
    {
        auto const candidate_score =
            score(*item.server, *target_service, item.load, query, mean_failure_rate, now) +
            noise(random);
        if (candidate_score >= best_score)
            continue;
        best_score = candidate_score;
        best = &item;
    }
    if (best == nullptr)
        return result;
    auto const& entry = best->server->entry;
    auto const cache_tokens =
        target_service->engine
            ? static_cast<double>(std::max<std::int64_t>(target_service->engine->cache_tokens, 1))
            : 1;
    result.server = selected_server{
        entry.id,
        entry.address,
        entry.zone,
        entry.started_unix_milliseconds,
        best_score,
        best->load.total.running,
        static_cast<double>(best->load.total.reserved_tokens) / cache_tokens,
        m_peer_loads.oldest_report_age(best->server->hash, now),
        m_paces.estimate(best->server->hash, now).percent,
        estimate_late_streams(*best->server, *target_service, best->load, query, now),
        entry.version};
    result.reason = exclusion_reason::none;
    return result;
}

attempt_id dispatcher::begin_attempt(std::string const& server, request_demand const& demand,
                                     base::time_point now, std::function<void()> on_leaving)
{
    auto const id = m_next_attempt_id++;
    auto& local_usage = m_local_usage[server];
    ++local_usage.running;
    local_usage.reserved_tokens += demand.prompt_tokens + demand.expected_output_tokens;
    local_usage.unread_prompt_tokens += demand.prompt_tokens;
    local_usage.gap_bounded_streams += demand.has_bounded_gaps() ? 1 : 0;
    m_attempts.emplace(id,
                       attempt_record{server, demand, now, false, false, std::move(on_leaving)});
    record_version_sent(server, demand);
    auto& recent_attempt_times = m_server_health[server].recent_attempt_times;
    while (!recent_attempt_times.empty() &&
           recent_attempt_times.front() <= now - server_rate_limits::window)
        recent_attempt_times.pop_front();
    recent_attempt_times.push_back(now);
    return id;
}

void dispatcher::record_first_event(attempt_id id, std::optional<base::time_point> now)
{
    auto const found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.first_event)
        return;
    found->second.first_event = true;
    found->second.first_event_time = now;
    if (now)
        m_waiting.record_response(
            service_of(found->second.server),
            std::chrono::duration_cast<base::milliseconds>(*now - found->second.started));
    m_local_usage[found->second.server].unread_prompt_tokens -= found->second.demand.prompt_tokens;
}

void dispatcher::end_attempt(attempt_id id, attempt_outcome outcome, base::time_point now)
{
    auto const found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    bool const succeeded = outcome == attempt_outcome::succeeded;
    record_first_event(id, succeeded ? std::optional(now) : std::nullopt);
    auto const server = found->second.server;
    if (succeeded)
        m_waiting.record_duration(
            service_of(server),
            std::chrono::duration_cast<base::milliseconds>(now - found->second.started));
    auto const& demand = found->second.demand;
    auto& local_usage = m_local_usage[server];
    --local_usage.running;
    local_usage.reserved_tokens -= demand.prompt_tokens + demand.expected_output_tokens;
    local_usage.gap_bounded_streams -= demand.has_bounded_gaps() ? 1 : 0;
    if (local_usage.running == 0)
        m_local_usage.erase(server);
    record_version_answer(found->second, outcome, now);
    m_attempts.erase(found);
    record_outcome(server, outcome, now);
}

void dispatcher::record_outcome(std::string const& server, attempt_outcome outcome,
                                base::time_point now)
{
    auto& health = m_server_health[server];
    switch (outcome)
    {
    case attempt_outcome::inconclusive:
        return;
    case attempt_outcome::unreachable:
        health.unreachable_until =
            now + std::min(initial_unreachable_backoff *
                               (1 << std::min(health.consecutive_connect_failures, 4)),
                           maximum_unreachable_backoff);
        ++health.consecutive_connect_failures;
        break;
    case attempt_outcome::succeeded:
    case attempt_outcome::declined:
    case attempt_outcome::failed:
        health.consecutive_connect_failures = 0;
        health.unreachable_until = {};
        break;
    }
    health.outcomes.add(outcome != attempt_outcome::succeeded, now);
}

void dispatcher::record_pause(std::string const& server, base::milliseconds pause,
                              base::time_point now)
{
    auto& paused_until = m_server_health[server].paused_until;
    paused_until = std::max<base::time_point>(paused_until, now + pause);
}

bool dispatcher::expire(base::time_point now)
{
    bool const changed = m_directory.expire(now);
    m_peer_loads.remove_if(
        [&](load_source const& source, peer_load_table::source_report const& report)
        { return source.is_zone_summary() && now >= report.received + zone_summary_timeout; });
    m_rate_limits.expire(now);
    m_paces.expire(now);
    std::erase_if(m_server_health,
                  [&](auto const& item) { return !m_directory.servers().contains(item.first); });
    return changed;
}

void dispatcher::add_request(std::string const& service, base::time_point now)
{
    m_retry_budgets[service].add_request(now);
    m_rollouts.add_request(service);
}

bool dispatcher::try_spend_retry(std::string const& service, base::time_point now)
{
    return m_retry_budgets[service].try_spend(m_settings.retry_limits, m_fleet.fleet_size, now);
}

} // namespace jasminepier::serving
