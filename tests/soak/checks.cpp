#include "tests/soak/history_queries.hpp"
#include "tests/soak/individual_checks.hpp"

#include <algorithm>
#include <array>

namespace jasminepier::tests::soak
{
namespace
{

/// Returns true if a server had the request soon and was still at work when the request's time was
/// over.
bool outlasts_deadline(request_record const& request,
                       std::map<std::string, std::vector<arrival_record const*>> const& arrivals)
{
    constexpr milliseconds end_tolerance{100};
    auto const found = arrivals.find(request.id);
    return found != arrivals.end() && request.ended_at >= request.sent_at + allowed_time(request) &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](auto const* arrival)
                       {
                           return arrival->executed &&
                                  arrival->arrived_at <= request.sent_at + limits::deadline_slack &&
                                  (!arrival->ended_at ||
                                   *arrival->ended_at >= request.ended_at - end_tolerance);
                       });
}

violations check_recovery(history const& recorded)
{
    violations detected_violations;
    std::map<request_kind, std::array<int, 2>> counts;
    auto const arrivals = arrivals_by_id(recorded);
    for (auto const& request : recorded.requests)
        if (request.sent_at > recorded.last_fault_end + limits::recovery_time &&
            !request.disconnected_at && !outlasts_deadline(request, arrivals))
        {
            ++counts[request.kind][0];
            counts[request.kind][1] += is_success(request) ? 1 : 0;
        }
    for (auto const& [kind, count] : counts)
        if (count[1] * 4 < count[0])
            detected_violations.push_back(
                "kind " + std::to_string(static_cast<int>(kind)) + ": " + std::to_string(count[1]) +
                " of " + std::to_string(count[0]) + " succeeded after the last fault");
    return detected_violations;
}

violations check_processes(history const& recorded)
{
    return recorded.unexpected_exits;
}

constexpr std::array checks{
    check{"answers", check_responses},         check{"single_runs", check_single_executions},
    check{"refusals", check_rejections},       check{"moved_runs", check_handovers},
    check{"attempts", check_attempts},         check{"retry_budget", check_retry_budget},
    check{"departures", check_disconnects},    check{"departed_servers", check_leaving_servers},
    check{"evacuations", check_evacuations},   check{"configuration", check_configuration},
    check{"downgrades", check_downgrades},     check{"cold_servers", check_cold_servers},
    check{"time_limits", check_timeouts},      check{"stops", check_shutdowns},
    check{"forwarding", check_forwarding},     check{"recovery", check_recovery},
    check{"processes", check_processes},       check{"unanswered", check_unanswered_requests},
    check{"deadly_parts", check_deadly_parts}, check{"sound_prompts", check_sound_prompts},
};

} // namespace

std::span<check const> all_checks()
{
    return checks;
}

} // namespace jasminepier::tests::soak
