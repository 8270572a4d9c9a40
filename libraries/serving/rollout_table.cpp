#include "serving/rollout_table.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;

// Time after which a failure counts, in which a server that has crashed or leaves is noticed.
constexpr milliseconds settle_delay{500};
// Requests that the target version may receive at once after a time in which none could be sent.
constexpr double maximum_credit = 2;
// In the second half of the canary its requests go to few servers, each of which then gets this
// multiple of an old server's load.
constexpr double concentration = 1.25;
constexpr std::size_t minimum_selected_targets = 2;
// Answers of each route before the ramp, as far as its traffic allows.
constexpr std::int64_t answers_per_route = 10;
// The old servers have been idle for this time, which is above the age of reports, before they may
// stop.
constexpr milliseconds idle_duration{1500};
// Fraction of the old servers' slots that the target version needs to take all requests.
constexpr double required_capacity = 0.5;
// A version with fewer answers is not completed if the service has this many requests.
constexpr std::int64_t minimum_answers = 20;
constexpr std::int64_t busy_service_requests = 500;

constexpr std::string_view reason_failures = "failures";
constexpr std::string_view reason_slow = "slow_answers";
constexpr std::string_view reason_capacity = "too_few_servers";
constexpr std::string_view reason_evidence = "too_few_answers";

std::int32_t short_hash(std::string_view name)
{
    return static_cast<std::int32_t>(base::stable_hash(name));
}

usual_times::measure measure_times(answer_times const& times)
{
    auto const seconds = [](base::time_point from, base::time_point to)
    { return std::chrono::duration<double>(to - from).count(); };
    if (!times.first_event)
        return {seconds(times.sent, times.ended), 0};
    return {seconds(times.sent, *times.first_event),
            seconds(*times.first_event, times.ended) /
                static_cast<double>(std::max<std::int64_t>(times.expected_output_tokens, 1))};
}

} // namespace

void rollout_table::add_request(std::string const& service)
{
    if (auto const found = m_rollouts.find(service); found != m_rollouts.end())
        found->second.credit = std::min(found->second.credit + found->second.share, maximum_credit);
}

evidence_key rollout_table::make_key(rollout const& item, std::string const& version,
                                     std::string const& server, std::string const& route)
{
    auto const hash = short_hash(route);
    m_route_names.try_emplace(hash, route);
    if (version != item.order.target)
        return {false, hash, 0};
    auto const group = item.target_groups.find(server);
    return {true, hash, group == item.target_groups.end() ? 0 : group->second};
}

void rollout_table::record_sent(std::string const& service, std::string const& version,
                                std::string const& server, std::string const& route)
{
    auto const found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return;
    auto& item = found->second;
    auto const key = make_key(item, version, server, route);
    item.evidence.add(key, {1, 0, 0, 0});
    if (key.is_target)
        item.credit -= 1;
}

void rollout_table::record_answer(std::string const& service, std::string const& version,
                                  std::string const& server, std::string const& route,
                                  answer_evidence evidence, answer_times const& times)
{
    if (!enabled() || evidence == answer_evidence::none)
        return;
    auto const found = m_rollouts.find(service);
    auto const measured = measure_times(times);
    bool const is_usual = found == m_rollouts.end() || version != found->second.order.target;
    if (evidence == answer_evidence::good && is_usual)
        m_usual_times.add(service, route, measured);
    if (found == m_rollouts.end() || found->second.order.has_ended())
        return;
    auto& item = found->second;
    auto const key = make_key(item, version, server, route);
    if (evidence == answer_evidence::failed)
        item.pending.push_back({server, key, times.ended});
    else
    {
        bool const is_slow = evidence != answer_evidence::good_but_cold &&
                             m_usual_times.is_slow(service, route, measured);
        if (is_slow || evidence != answer_evidence::slow_only)
            item.evidence.add(key, {0, 1, 0, is_slow ? 1 : 0});
    }
}

void rollout_table::settle_failures(rollout& item, std::span<rollout_server const> servers,
                                    base::time_point now)
{
    std::erase_if(item.pending,
                  [&](pending_failure const& failure)
                  {
                      if (now < failure.time + settle_delay)
                          return false;
                      bool const is_sound =
                          std::any_of(servers.begin(), servers.end(),
                                      [&](auto const& server)
                                      { return server.id == failure.server && server.usable; });
                      if (is_sound)
                          item.evidence.add(failure.key, {0, 1, 1, 0});
                      return true;
                  });
}

void rollout_table::update_servers(rollout& item, std::span<rollout_server const> servers,
                                   double share)
{
    std::vector<std::string_view> targets;
    std::vector<std::string_view> warm;
    std::vector<std::string_view> usable;
    int old_servers = 0;
    int old_slots = 0;
    for (auto const& server : servers)
    {
        if (server.service != item.order.service)
            continue;
        if (server.version != item.order.target)
        {
            old_servers += server.usable ? 1 : 0;
            old_slots += server.usable ? server.slots : 0;
            continue;
        }
        targets.push_back(server.id);
        if (server.usable)
            usable.push_back(server.id);
        if (server.usable && !server.cold)
            warm.push_back(server.id);
    }
    item.maximum_old_servers = std::max(item.maximum_old_servers, old_servers);
    item.maximum_old_slots = std::max(item.maximum_old_slots, old_slots);
    std::sort(targets.begin(), targets.end());
    item.target_groups.clear();
    for (std::size_t i = 0; i < targets.size(); ++i)
        item.target_groups.emplace(std::string(targets[i]),
                                   static_cast<std::int32_t>(i) % rollout_evidence::group_count);
    auto const needed =
        std::max(minimum_selected_targets,
                 static_cast<std::size_t>(share * item.maximum_old_servers / concentration + 1));
    auto& candidates = warm.size() >= needed ? warm : usable;
    auto const weight = [&](std::string_view id)
    { return base::rendezvous_weight(item.order.target, id); };
    std::sort(candidates.begin(), candidates.end(),
              [&](auto a, auto b) { return weight(a) > weight(b); });
    auto const group_of = [&](std::string_view id) { return item.target_groups.find(id)->second; };
    // The first two are in different groups, see `rollout_evidence::judge`.
    if (candidates.size() > 1)
        std::stable_partition(candidates.begin() + 1, candidates.end(),
                              [&](auto id) { return group_of(id) != group_of(candidates[0]); });
    item.has_several_groups =
        candidates.size() > 1 && group_of(candidates[1]) != group_of(candidates[0]);
    bool const is_concentrated =
        share < 1 && (item.stage == rollout_stage::ramp ||
                      item.evidence.sums().target.answers >= minimum_answers);
    item.selected_targets.clear();
    for (auto const id : candidates)
        if (!is_concentrated || item.selected_targets.size() < needed)
            item.selected_targets.emplace(id);
}

rollout_stage rollout_table::find_stage(rollout const& item, base::time_point now) const
{
    if (item.order.written == rollout_state::completed)
        return rollout_stage::completed;
    if (item.order.written == rollout_state::rolled_back || !item.stop_reason.empty())
        return rollout_stage::rolled_back;
    if (item.target_groups.empty())
        return rollout_stage::waiting;
    if (item.start_is_uncertain && now < item.learned + start_report_period)
        return rollout_stage::canary;
    auto const stage = find_rollout_stage(
        item.schedule, std::chrono::duration_cast<milliseconds>(now - item.start));
    // Only a version with evidence and room takes all requests.
    return stage >= rollout_stage::drain && !item.may_drain ? rollout_stage::canary : stage;
}

void rollout_table::decide_end(rollout& item, std::span<rollout_server const> servers,
                               base::time_point now)
{
    int old_running = 0;
    int target_slots = 0;
    for (auto const& server : servers)
    {
        if (server.service != item.order.service)
            continue;
        if (server.version == item.order.target)
            target_slots += server.usable ? server.slots : 0;
        else
            old_running += server.running;
    }
    auto const sums = item.evidence.sums();
    bool const has_servers = target_slots >= required_capacity * item.maximum_old_slots;
    bool const has_evidence =
        sums.target.sent + sums.others.sent < busy_service_requests ||
        (sums.target.answers >= minimum_answers &&
         item.evidence.has_seen_routes(answers_per_route, m_limits->maximum_share / 2));
    // A service is quiet at the start; what counts is the evidence when the drain begins.
    item.may_drain = has_servers && (has_evidence || item.stage >= rollout_stage::drain);
    item.may_complete = false;
    auto const planned = find_rollout_stage(
        item.schedule, std::chrono::duration_cast<milliseconds>(now - item.start));
    // A wall clock that is wrong must not end the roll-out.
    bool const is_last_moment =
        !(item.start_is_uncertain && now < item.learned + start_report_period) &&
        now >= item.start + item.schedule.retire_end;
    if (is_last_moment && !item.may_drain)
        item.stop_reason = has_servers ? reason_evidence : reason_capacity;
    if (planned != rollout_stage::retire || !item.may_drain || old_running > 0)
        item.idle_since.reset();
    else if (!item.idle_since)
        item.idle_since = now;
    bool const is_idle = item.idle_since && now >= *item.idle_since + idle_duration;
    item.may_complete =
        item.stage == rollout_stage::retire && item.may_drain && (is_idle || is_last_moment);
}

void rollout_table::note_replaced_versions(rollout& item, base::time_point now)
{
    // A node that learns of an ended order takes what is listed then for what was replaced.
    if (item.order.has_ended() &&
        (!item.was_learned_ended || now >= item.learned + order_grace_period))
        return;
    auto const listed = m_versions.find(item.order.service);
    if (listed == m_versions.end() || !listed->second.contains(item.order.target))
        return;
    for (auto const& [version, seen] : listed->second)
        if (version != item.order.target)
            item.replaced.insert(version);
}

rollout_step rollout_table::make_step(rollout const& item, base::time_point now) const
{
    rollout_step step{item.order.service,
                      item.order.target,
                      item.stage,
                      item.stop_reason,
                      item.finding,
                      "",
                      {},
                      0,
                      {}};
    if (item.finding)
        if (auto const name = m_route_names.find(item.finding->route); name != m_route_names.end())
            step.route = name->second;
    step.age = std::chrono::duration_cast<milliseconds>(now - item.start);
    step.share = item.share;
    step.sums = item.evidence.sums();
    return step;
}

std::vector<rollout_step> rollout_table::advance(std::span<rollout_server const> servers,
                                                 base::time_point now)
{
    std::vector<rollout_step> steps;
    if (!enabled())
        return steps;
    std::map<std::string, std::map<std::string, listed_version>, std::less<>> versions;
    for (auto const& server : servers)
    {
        auto const [position, added] = versions[std::string(server.service)].try_emplace(
            std::string(server.version), now, false);
        auto& seen = position->second;
        seen.usable = seen.usable || server.usable;
        auto const known = m_versions.find(server.service);
        if (!added || known == m_versions.end())
            continue;
        auto const version = known->second.find(position->first);
        if (version != known->second.end())
            seen.first_listed = version->second.first_listed;
    }
    m_versions = std::move(versions);
    forget_unlisted_refusals();
    for (auto& [service, item] : m_rollouts)
    {
        auto const previous_stage = item.logged_stage;
        auto const previous_share = item.share;
        note_replaced_versions(item, now);
        settle_failures(item, servers, now);
        update_servers(item, servers, item.share);
        item.stage = find_stage(item, now);
        bool const is_running = item.stage != rollout_stage::waiting && !item.order.has_ended() &&
                                item.stop_reason.empty();
        if (is_running)
        {
            bool const takes_all = item.stage >= rollout_stage::drain;
            bool const is_last_look = takes_all && !item.had_last_look;
            item.had_last_look = takes_all;
            item.finding = item.evidence.judge(now, item.has_several_groups, is_last_look);
            item.evidence.take_snapshot(now);
            if (item.finding)
                item.stop_reason =
                    item.finding->sign == bad_sign::failures ? reason_failures : reason_slow;
            else
                decide_end(item, servers, now);
            item.stage = find_stage(item, now);
        }
        auto const sums = item.evidence.sums();
        exposure_view const view{
            item.stage,
            std::chrono::duration_cast<milliseconds>(now - item.start),
            item.order.duration,
            item.schedule,
            static_cast<double>(sums.target.sent),
            static_cast<double>(sums.target.sent + sums.others.sent),
            item.evidence.has_seen_routes(answers_per_route, m_limits->maximum_share / 2)};
        item.share = find_maximum_share(*m_limits, view);
        bool const has_ended =
            item.stage == rollout_stage::completed || item.stage == rollout_stage::rolled_back;
        if (has_ended && !item.ended)
            item.ended = now;
        item.logged_stage = item.stage;
        if (item.stage != previous_stage || item.share > 1.2 * previous_share)
            steps.push_back(make_step(item, now));
    }
    return steps;
}

} // namespace jasminepier::serving
