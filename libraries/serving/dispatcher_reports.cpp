#include "serving/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace jasminepier::serving
{
namespace
{

// How long a node reports to its peers that a server leaves; well above the age of any report.
constexpr base::milliseconds leaving_report_duration{3000};
// Reports carry the decayed counts in hundredths.
constexpr double count_scale = 100;

} // namespace

dispatcher::combined_load dispatcher::combine_loads(listed_server const& server,
                                                    base::time_point now) const
{
    combined_load load;
    if (auto const local = m_local_usage.find(server.entry.id); local != m_local_usage.end())
        load.total = local->second;
    if (auto const health = m_server_health.find(server.entry.id); health != m_server_health.end())
    {
        load.attempts = health->second.outcomes.attempts(now);
        load.failures = health->second.outcomes.failures(now);
    }
    auto const peers = m_peer_loads.find_totals(server.hash);
    load.total.running += static_cast<int>(peers.running);
    load.total.reserved_tokens += peers.reserved_tokens;
    load.total.unread_prompt_tokens += peers.unread_prompt_tokens;
    load.total.gap_bounded_streams += static_cast<int>(peers.gap_bounded_streams);
    load.attempts += static_cast<double>(peers.recent_attempts) / count_scale;
    load.failures += static_cast<double>(peers.recent_failures) / count_scale;
    load.unreachable_report_count = peers.unreachable_reports;
    return load;
}

std::vector<server_load> dispatcher::local_loads(base::time_point now) const
{
    std::vector<server_load> loads;
    std::unordered_map<std::string_view, std::int32_t> handover_candidates;
    for (auto const& [attempt_key, attempt] : m_attempts)
        if (attempt.can_hand_over)
            ++handover_candidates[attempt.server];
    for (auto const& [id, server] : m_directory.servers())
    {
        server_load load;
        load.server = server.hash;
        if (auto const local = m_local_usage.find(id); local != m_local_usage.end())
        {
            load.running = local->second.running;
            load.reserved_tokens = local->second.reserved_tokens;
            load.unread_prompt_tokens = local->second.unread_prompt_tokens;
            load.gap_bounded_streams = local->second.gap_bounded_streams;
        }
        if (auto const health = m_server_health.find(id); health != m_server_health.end())
        {
            auto const& outcomes = health->second.outcomes;
            load.recent_attempts =
                static_cast<std::int32_t>(std::lround(outcomes.attempts(now) * count_scale));
            load.recent_failures =
                static_cast<std::int32_t>(std::lround(outcomes.failures(now) * count_scale));
            load.unreachable = now < health->second.unreachable_until;
        }
        if (auto const found = handover_candidates.find(id); found != handover_candidates.end())
            load.handover_candidates = found->second;
        // Only what this node has heard itself: a statement that is passed on from node to node
        // would seem younger with each report.
        if (auto const* const limit = m_rate_limits.find(server.hash);
            limit != nullptr && !limit->from_peer)
            load.rate_limit = {limit->requests_per_second,
                               std::chrono::duration_cast<base::milliseconds>(now - limit->stated)};
        load.pace = m_paces.find_report(server.hash, now);
        bool const draining_or_removed =
            server.phase == server_phase::draining || server.phase == server_phase::removed;
        if (draining_or_removed && now < server.phase_since + leaving_report_duration)
            load.leaving = server.leaving;
        if (load.running > 0 || load.recent_attempts > 0 || load.leaving || load.rate_limit ||
            load.pace)
            loads.push_back(load);
    }
    return loads;
}

listed_server const* dispatcher::find_reported(server_hash server) const
{
    auto const& servers = m_directory.servers();
    auto const found = std::find_if(servers.begin(), servers.end(),
                                    [&](auto const& item) { return item.second.hash == server; });
    return found == servers.end() ? nullptr : &found->second;
}

std::vector<dispatcher::reported_departure>
dispatcher::merge_peer(load_source const& source, std::span<server_load const> loads,
                       base::time_point now, std::optional<std::int64_t> server_revision)
{
    // A peer that has not seen a restart means the server process before.
    auto const is_outdated = [&](server_load const& load)
    { return server_revision && m_directory.restart_revision(load.server) > *server_revision; };
    std::vector<server_load> accepted;
    std::remove_copy_if(loads.begin(), loads.end(), std::back_inserter(accepted), is_outdated);
    m_peer_loads.merge(source, accepted, now);
    for (auto const& load : accepted)
    {
        if (load.rate_limit)
            m_rate_limits.record(load.server, {load.rate_limit->requests_per_second,
                                               now - load.rate_limit->age, true});
        if (load.pace)
            m_paces.record(load.server, {load.pace->percent, now - load.pace->age, true});
    }
    std::vector<reported_departure> departures;
    for (auto const& load : loads)
    {
        auto const* const server = load.leaving ? find_reported(load.server) : nullptr;
        if (server == nullptr)
            continue;
        auto const id = server->entry.id;
        auto const effect = m_directory.record_leaving(id, *load.leaving, now);
        if (effect != notice_effect::already_known)
            departures.push_back({id, *load.leaving, effect});
    }
    return departures;
}

std::vector<dispatcher::reported_departure>
dispatcher::merge_zone_summary(std::string const& zone, summary_part part,
                               std::span<server_load const> loads, base::time_point now,
                               std::optional<std::int64_t> server_revision)
{
    m_peer_loads.remove_if(
        [&](load_source const& source, peer_load_table::source_report const&)
        { return source.zone == zone && source.is_zone_summary() && source.part >= part.count; });
    return merge_peer({zone, "", part.index}, loads, now, server_revision);
}

void dispatcher::remove_peer(std::string const& zone, std::string const& node)
{
    m_peer_loads.remove({zone, node});
    m_waiting.remove_source({zone, node});
}

std::vector<server_load> dispatcher::zone_loads(base::time_point now) const
{
    std::map<server_hash, server_load> sums;
    auto const add = [&](server_load const& load, base::milliseconds report_age)
    {
        auto& sum = sums[load.server];
        sum.server = load.server;
        sum.running += load.running;
        sum.reserved_tokens += load.reserved_tokens;
        sum.unread_prompt_tokens += load.unread_prompt_tokens;
        sum.recent_attempts += load.recent_attempts;
        sum.recent_failures += load.recent_failures;
        sum.handover_candidates += load.handover_candidates;
        sum.gap_bounded_streams += load.gap_bounded_streams;
        // `unreachable` stays unset: a fault between this zone and the server says nothing about
        // the paths from other zones.
        if (load.leaving && (!sum.leaving || load.leaving->revision > sum.leaving->revision))
            sum.leaving = load.leaving;
        bool const has_newer_limit =
            load.rate_limit &&
            (!sum.rate_limit || load.rate_limit->age + report_age < sum.rate_limit->age);
        if (has_newer_limit)
            sum.rate_limit = {load.rate_limit->requests_per_second,
                              load.rate_limit->age + report_age};
        if (load.pace && (!sum.pace || load.pace->age + report_age < sum.pace->age))
            sum.pace = {load.pace->percent, load.pace->age + report_age};
    };
    for (auto const& load : local_loads(now))
        add(load, base::milliseconds(0));
    for (auto const& [source, report] : m_peer_loads.reports())
    {
        auto const age = std::chrono::duration_cast<base::milliseconds>(now - report.received);
        if (!source.is_zone_summary())
            for (auto const& load : report.loads)
                add(load, age);
    }
    std::vector<server_load> loads;
    loads.reserve(sums.size());
    for (auto const& [hash, load] : sums)
        loads.push_back(load);
    return loads;
}

std::map<std::string, server_entry> dispatcher::servers_in_use() const
{
    std::map<std::string, server_entry> entries;
    for (auto const& [attempt_key, attempt] : m_attempts)
    {
        auto const found = m_directory.servers().find(attempt.server);
        if (found == m_directory.servers().end())
            continue;
        auto const* target_service = m_configuration->find_service(found->second.entry.service);
        if (target_service != nullptr && target_service->engine)
            entries[attempt.server] = found->second.entry;
    }
    return entries;
}

} // namespace jasminepier::serving
