#include "serving/dispatcher.hpp"

#include "decision/cold_start.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminepier::serving
{
namespace
{

// A cache that is filled to its end preempts running generations; the last part is left for
// outputs that become longer than expected.
constexpr double usable_memory = 0.92;
// A plain server queues a few requests; with up to three for each place the wait stays under the
// latency objectives of plain calls (about 30 ms of work against 100 to 150 ms).
constexpr int plain_requests_per_slot = 3;
// Tokens of unread prompts that weigh as much as a full memory: about half a second of prefill at
// 14 tokens/ms (sheet of the engines).
constexpr double backlog_scale = 7000;
// Weight of taken places of an engine: its step takes up to 40% longer with a full batch.
constexpr double batch_weight = 0.4;
// Weight of a failure rate above the usual one of the service's servers.
constexpr double failure_weight = 4;
// Attempts at the usual failure rate that every server's history starts with.
constexpr double prior_attempts = 3;
// Preference for the near zone: small for new work, since a zone costs a few milliseconds; larger
// for a handover, whose copy takes twice as long between zones.
constexpr double far_zone_penalty = 0.05;
constexpr double far_zone_handover_penalty = 1.0;
// Spreads the choices of nodes that read the same reports over nearly equal servers.
constexpr double score_noise = 0.05;
// First pause after a failed connection; doubles up to the longest one.
constexpr base::milliseconds first_unreachable_pause{400};
constexpr base::milliseconds longest_unreachable_pause{3000};
// A report that another node cannot reach a server counts like a rise of its failure rate, since
// the fault may lie between that node and the server.
constexpr double unreachable_report_weight = 0.5;
constexpr base::milliseconds cold_window{1000};
// How long nodes tell each other that a server leaves; well beyond the age of a report.
constexpr base::milliseconds leaving_notice{3000};
// Counts travel between nodes in hundredths.
constexpr double count_scale = 100;

bool is_usable(server_phase phase) noexcept
{
    return phase == server_phase::ready || phase == server_phase::expired;
}

/// Orders obstacles by how soon they pass.
int rank(exclusion_reason reason) noexcept
{
    switch (reason)
    {
    case exclusion_reason::full:
        return 0;
    case exclusion_reason::cold:
        return 1;
    case exclusion_reason::unreachable:
        return 2;
    default:
        return 3;
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
    case exclusion_reason::full:
        return "full";
    case exclusion_reason::already_tried:
        return "excluded";
    }
    return "unknown";
}

void dispatcher::set_configuration(std::shared_ptr<fleet_configuration const> configuration)
{
    m_configuration = std::move(configuration);
}

service const* dispatcher::select_service(route const& chosen, base::random_source& random) const
{
    int total = 0;
    for (auto const& share : chosen.services)
        total += std::max(share.weight, 0);
    if (total == 0)
        return nullptr;
    int point = std::uniform_int_distribution<int>(0, total - 1)(random);
    for (auto const& share : chosen.services)
    {
        point -= std::max(share.weight, 0);
        if (point < 0)
            return m_configuration->find_service(share.service);
    }
    return nullptr;
}

dispatcher::combined_load dispatcher::combine(std::string const& id, base::time_point now) const
{
    combined_load load;
    if (auto const own = m_local_usage.find(id); own != m_local_usage.end())
        load.used = own->second;
    if (auto const known = m_server_health.find(id); known != m_server_health.end())
    {
        load.attempts = known->second.outcomes.attempts(now);
        load.failures = known->second.outcomes.failures(now);
    }
    auto const hash = hash_server(id);
    for (auto const& [node, report] : m_peers)
    {
        auto const found = std::lower_bound(report.loads.begin(), report.loads.end(), hash,
                                            [](server_load const& item, server_hash wanted)
                                            { return item.server < wanted; });
        if (found == report.loads.end() || found->server != hash)
            continue;
        load.used.running += found->running;
        load.used.reserved_tokens += found->reserved_tokens;
        load.used.unread_prompt_tokens += found->unread_prompt_tokens;
        load.attempts += found->recent_attempts / count_scale;
        load.failures += found->recent_failures / count_scale;
        load.nodes_without_contact += found->unreachable ? 1 : 0;
        load.oldest = std::max(
            load.oldest, std::chrono::duration_cast<base::milliseconds>(now - report.received));
    }
    return load;
}

bool dispatcher::cold_allowance_left(listed_server const& server, service const& kind,
                                     base::time_point now) const
{
    if (now >= server.cold_until || kind.cold_requests_per_second <= 0)
        return true;
    auto const allowance = static_cast<int>(kind.cold_requests_per_second);
    auto const own =
        decision::count_local_slots(server.entry.id, m_live_nodes, m_settings.node, allowance);
    auto const known = m_server_health.find(server.entry.id);
    if (known == m_server_health.end())
        return own > 0;
    auto const& sends = known->second.sends;
    auto const recent =
        std::count_if(sends.begin(), sends.end(), [&](auto at) { return at > now - cold_window; });
    return recent < own;
}

exclusion_reason dispatcher::find_exclusion_reason(listed_server const& server, service const& kind,
                                                   combined_load const& load,
                                                   selection_query const& query,
                                                   base::time_point now) const
{
    auto const& id = server.entry.id;
    if (!is_usable(server.phase))
        return exclusion_reason::leaving;
    if (m_evacuated.contains(server.entry.zone))
        return exclusion_reason::zone_evacuated;
    if (std::find(query.excluded_servers.begin(), query.excluded_servers.end(), id) !=
        query.excluded_servers.end())
        return exclusion_reason::already_tried;
    if (auto const known = m_server_health.find(id);
        known != m_server_health.end() && now < known->second.unreachable_until)
        return exclusion_reason::unreachable;
    if (!cold_allowance_left(server, kind, now))
        return exclusion_reason::cold;
    if (!kind.engine)
        return load.used.running >= server.entry.slots * plain_requests_per_slot
                   ? exclusion_reason::full
                   : exclusion_reason::none;
    auto const batch = std::max(kind.engine->batch_size, 1);
    if (load.used.running >= batch)
        return exclusion_reason::full;
    auto const wanted = query.demand.prompt_tokens + query.demand.expected_output_tokens;
    auto const usable = usable_memory * static_cast<double>(kind.engine->cache_tokens);
    // A request larger than the usable memory runs alone or nowhere.
    if (load.used.running > 0 && static_cast<double>(load.used.reserved_tokens + wanted) > usable)
        return exclusion_reason::full;
    return exclusion_reason::none;
}

double dispatcher::score(listed_server const& server, service const& kind,
                         combined_load const& load, selection_query const& query,
                         double usual_failures) const
{
    auto const attempts = load.attempts + prior_attempts;
    auto const rate = (load.failures + prior_attempts * usual_failures) / attempts;
    auto value = failure_weight * std::max(0.0, rate - usual_failures);
    value += unreachable_report_weight * load.nodes_without_contact;
    bool const far = !query.preferred_zone.empty() && server.entry.zone != query.preferred_zone;
    if (far)
        value += query.purpose == selection_purpose::handover ? far_zone_handover_penalty
                                                              : far_zone_penalty;
    if (!kind.engine)
        return value + static_cast<double>(load.used.running) / std::max(server.entry.slots, 1);
    auto const cache = static_cast<double>(std::max<std::int64_t>(kind.engine->cache_tokens, 1));
    value += static_cast<double>(load.used.reserved_tokens) / cache;
    value += static_cast<double>(load.used.unread_prompt_tokens) / backlog_scale;
    value += batch_weight * load.used.running / std::max(kind.engine->batch_size, 1);
    return value;
}

server_selection dispatcher::select_server(selection_query const& query, base::time_point now,
                                           base::random_source& random) const
{
    server_selection result;
    result.reason = exclusion_reason::leaving;
    auto const* kind = m_configuration->find_service(query.service);
    if (kind == nullptr)
        return result;
    struct candidate
    {
        listed_server const* server;
        combined_load load;
    };
    std::vector<candidate> candidates;
    double attempts = 0;
    double failures = 0;
    for (auto const& [id, server] : m_directory.servers())
    {
        if (server.entry.service != query.service)
            continue;
        auto load = combine(id, now);
        attempts += load.attempts;
        failures += load.failures;
        auto const reason = find_exclusion_reason(server, *kind, load, query, now);
        if (reason == exclusion_reason::none)
            candidates.push_back({&server, load});
        else if (rank(reason) < rank(result.reason))
            result.reason = reason;
    }
    auto const usual = attempts > 0 ? failures / attempts : 0;
    std::uniform_real_distribution<double> noise(0, score_noise);
    double best = std::numeric_limits<double>::max();
    for (auto const& item : candidates)
    {
        auto const value = score(*item.server, *kind, item.load, query, usual) + noise(random);
        if (value >= best)
            continue;
        best = value;
        auto const cache =
            kind->engine
                ? static_cast<double>(std::max<std::int64_t>(kind->engine->cache_tokens, 1))
                : 1;
        result.server = selected_server{
            item.server->entry.id,   item.server->entry.address,
            item.server->entry.zone, value,
            item.load.used.running,  static_cast<double>(item.load.used.reserved_tokens) / cache,
            item.load.oldest};
        result.reason = exclusion_reason::none;
    }
    return result;
}

attempt_id dispatcher::begin_attempt(std::string const& server, request_demand demand,
                                     base::time_point now, std::function<void()> leaving)
{
    auto const number = m_next_attempt_id++;
    auto& used = m_local_usage[server];
    ++used.running;
    used.reserved_tokens += demand.prompt_tokens + demand.expected_output_tokens;
    used.unread_prompt_tokens += demand.prompt_tokens;
    m_attempts.emplace(number, run{server, demand, false, false, std::move(leaving)});
    auto& sends = m_server_health[server].sends;
    while (!sends.empty() && sends.front() <= now - cold_window)
        sends.pop_front();
    sends.push_back(now);
    return number;
}

std::map<std::string, std::string> dispatcher::servers_in_use() const
{
    std::map<std::string, std::string> used;
    for (auto const& [number, held] : m_attempts)
    {
        auto const found = m_directory.servers().find(held.server);
        if (found == m_directory.servers().end())
            continue;
        auto const* kind = m_configuration->find_service(found->second.entry.service);
        if (kind != nullptr && kind->engine)
            used[held.server] = found->second.entry.address;
    }
    return used;
}

void dispatcher::record_first_event(attempt_id number)
{
    auto const found = m_attempts.find(number);
    if (found == m_attempts.end() || found->second.first_event)
        return;
    found->second.first_event = true;
    m_local_usage[found->second.server].unread_prompt_tokens -= found->second.demand.prompt_tokens;
}

void dispatcher::end_attempt(attempt_id number, attempt_outcome outcome, base::time_point now)
{
    auto const found = m_attempts.find(number);
    if (found == m_attempts.end())
        return;
    record_first_event(number);
    auto const server = found->second.server;
    auto const& demand = found->second.demand;
    auto& used = m_local_usage[server];
    --used.running;
    used.reserved_tokens -= demand.prompt_tokens + demand.expected_output_tokens;
    if (used.running == 0)
        m_local_usage.erase(server);
    m_attempts.erase(found);
    record_outcome(server, outcome, now);
}

void dispatcher::record_outcome(std::string const& server, attempt_outcome outcome,
                                base::time_point now)
{
    auto& known = m_server_health[server];
    switch (outcome)
    {
    case attempt_outcome::inconclusive:
        return;
    case attempt_outcome::unreachable:
        known.unreachable_until =
            now + std::min(first_unreachable_pause * (1 << std::min(known.unreachable_in_a_row, 4)),
                           longest_unreachable_pause);
        ++known.unreachable_in_a_row;
        break;
    case attempt_outcome::succeeded:
    case attempt_outcome::declined:
    case attempt_outcome::failed:
        known.unreachable_in_a_row = 0;
        known.unreachable_until = {};
        break;
    }
    known.outcomes.add(outcome != attempt_outcome::succeeded, now);
}

bool dispatcher::is_leaving(std::string const& server) const
{
    auto const found = m_directory.servers().find(server);
    return found == m_directory.servers().end() || !is_usable(found->second.phase);
}

void dispatcher::notify_leaving()
{
    for (auto const& [number, held] : m_attempts)
        if (held.leaving && is_leaving(held.server))
            held.leaving();
}

bool dispatcher::expire(base::time_point now)
{
    bool const changed = m_directory.expire(now);
    std::erase_if(m_server_health,
                  [&](auto const& item) { return !m_directory.servers().contains(item.first); });
    return changed;
}

void dispatcher::add_request(std::string const& service, base::time_point now)
{
    m_retry_budgets[service].add_request(now);
}

bool dispatcher::try_spend_retry(std::string const& service, base::time_point now)
{
    return m_retry_budgets[service].try_spend(m_settings.retry_limits, m_live_nodes.size(), now);
}

std::vector<server_load> dispatcher::local_loads(base::time_point now) const
{
    std::vector<server_load> loads;
    for (auto const& [id, server] : m_directory.servers())
    {
        server_load load;
        load.server = hash_server(id);
        if (auto const own = m_local_usage.find(id); own != m_local_usage.end())
        {
            load.running = own->second.running;
            load.reserved_tokens = own->second.reserved_tokens;
            load.unread_prompt_tokens = own->second.unread_prompt_tokens;
        }
        if (auto const known = m_server_health.find(id); known != m_server_health.end())
        {
            auto const& outcomes = known->second.outcomes;
            load.recent_attempts =
                static_cast<std::int32_t>(std::lround(outcomes.attempts(now) * count_scale));
            load.recent_failures =
                static_cast<std::int32_t>(std::lround(outcomes.failures(now) * count_scale));
            load.unreachable = now < known->second.unreachable_until;
        }
        for (auto const& [number, held] : m_attempts)
            load.handover_candidates += held.can_hand_over && held.server == id ? 1 : 0;
        bool const leaves =
            server.phase == server_phase::draining || server.phase == server_phase::removed;
        load.leaving = leaves && now < server.phase_since + leaving_notice;
        if (load.running > 0 || load.recent_attempts > 0 || load.leaving)
            loads.push_back(load);
    }
    return loads;
}

void dispatcher::merge_peer(std::string const& node, std::span<server_load const> loads,
                            base::time_point now)
{
    auto& report = m_peers[node];
    report.loads.assign(loads.begin(), loads.end());
    std::sort(report.loads.begin(), report.loads.end(),
              [](auto const& a, auto const& b) { return a.server < b.server; });
    report.received = now;
    for (auto const& [id, server] : m_directory.servers())
    {
        auto const hash = hash_server(id);
        bool const leaves = std::any_of(loads.begin(), loads.end(),
                                        [&](server_load const& load)
                                        { return load.leaving && load.server == hash; });
        if (leaves)
            m_directory.record_leaving(id, now);
    }
}

void dispatcher::forget_peer(std::string const& node)
{
    m_peers.erase(node);
}

void dispatcher::add_waiting(std::string const& service, int priority)
{
    m_waiting[service].insert(priority);
}

void dispatcher::remove_waiting(std::string const& service, int priority)
{
    auto& waiting = m_waiting[service];
    if (auto const found = waiting.find(priority); found != waiting.end())
        waiting.erase(found);
}

bool dispatcher::more_urgent_waiting(std::string const& service, int priority) const
{
    auto const found = m_waiting.find(service);
    return found != m_waiting.end() && !found->second.empty() && *found->second.begin() < priority;
}

} // namespace jasminepier::serving
