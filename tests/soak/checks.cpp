#include "tests/soak/history_queries.hpp"
#include "tests/soak/individual_checks.hpp"

#include <array>

namespace jasminepier::tests::soak
{
namespace
{

violations check_recovery(history const& recorded)
{
    violations detected_violations;
    std::map<request_kind, std::array<int, 2>> counts;
    for (auto const& request : recorded.requests)
        if (request.sent_at > recorded.last_fault_end + limits::recovery_time &&
            !request.disconnected_at)
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
