#include "tests/soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace jasminepier::tests::soak
{
namespace
{

using std::chrono::milliseconds;

constexpr std::array fault_kind_names{"caller_link",
                                      "store_link",
                                      "peer_link",
                                      "server_link",
                                      "node_pause",
                                      "node_kill",
                                      "node_stop",
                                      "node_reload",
                                      "server_crash",
                                      "server_drain",
                                      "server_removal",
                                      "server_slowdown",
                                      "store_refusal",
                                      "store_silence",
                                      "store_lost_answers",
                                      "store_lost_history",
                                      "store_lapsed_entries",
                                      "configuration_change",
                                      "zone_evacuation",
                                      "burst"};
// The kinds before `burst`.
constexpr auto unplanned_fault_kinds = static_cast<unsigned>(fault_kind::burst);
constexpr std::array link_state_names{"clear", "delayed", "refusing", "deaf", "mute", "silent"};

// The seed selects one of these mean times between faults. With the shortest, faults overlap; with
// the longest, nodes stay undisturbed for long enough that the time limits apply to them.
constexpr std::array<unsigned, 3> mean_gap_milliseconds{500, 1200, 3500};
constexpr milliseconds minimum_duration{200};
constexpr milliseconds maximum_duration{3000};
// Longer than limits::evacuation_propagation, so that the check applies.
constexpr milliseconds evacuation_duration{7000};
// The seed selects the time between two stops of a series. A stop takes up to six seconds, so all
// of these overlap.
constexpr std::array<unsigned, 3> stop_gap_milliseconds{100, 900, 2500};
// Mean time between reloads, changes of the configuration and bursts.
constexpr unsigned mean_work_gap_milliseconds = 700;

} // namespace

std::vector<planned_fault> make_plan(unsigned seed, milliseconds from, milliseconds to)
{
    std::mt19937 random(seed);
    // std::uniform_int_distribution draws differently in each standard library.
    auto const draw = [&](unsigned count) { return static_cast<unsigned>(random() % count); };
    auto const mean_gap = mean_gap_milliseconds[draw(mean_gap_milliseconds.size())];
    std::vector<planned_fault> plan;
    for (auto at = from; at < to; at += milliseconds(1 + draw(2 * mean_gap)))
    {
        planned_fault fault;
        fault.start = at;
        fault.duration =
            minimum_duration + milliseconds(draw((maximum_duration - minimum_duration).count()));
        fault.kind = static_cast<fault_kind>(draw(unplanned_fault_kinds));
        fault.target_index = draw(1000);
        fault.link = static_cast<link_state>(1 + draw(link_state_names.size() - 1));
        if (fault.kind == fault_kind::zone_evacuation)
            fault.duration = evacuation_duration;
        fault.duration = std::min(fault.duration, to - at);
        plan.push_back(fault);
    }
    return plan;
}

std::vector<planned_fault> make_planned_work(unsigned seed, milliseconds from, milliseconds to)
{
    std::mt19937 random(seed);
    auto const draw = [&](unsigned count) { return static_cast<unsigned>(random() % count); };
    std::vector<planned_fault> plan;
    auto const stop_gap = milliseconds(stop_gap_milliseconds[draw(stop_gap_milliseconds.size())]);
    auto const first_node = draw(1000);
    unsigned stop_count = 0;
    for (auto at = from; at < to; at += stop_gap + milliseconds(draw(200)))
        plan.push_back({at, milliseconds(0), fault_kind::node_stop, first_node + stop_count++, {}});
    constexpr std::array other_work{fault_kind::node_reload, fault_kind::configuration_change,
                                    fault_kind::burst, fault_kind::burst};
    for (auto at = from; at < to; at += milliseconds(1 + draw(2 * mean_work_gap_milliseconds)))
        plan.push_back({at,
                        std::min(minimum_duration + milliseconds(draw(1500)), to - at),
                        other_work[draw(other_work.size())],
                        draw(1000),
                        {}});
    std::stable_sort(plan.begin(), plan.end(),
                     [](auto const& left, auto const& right) { return left.start < right.start; });
    return plan;
}

std::string describe(planned_fault const& fault)
{
    auto text = "at " + std::to_string(fault.start.count()) + " ms for " +
                std::to_string(fault.duration.count()) +
                " ms: " + fault_kind_names[static_cast<std::size_t>(fault.kind)] + " target " +
                std::to_string(fault.target_index);
    if (fault.kind <= fault_kind::server_link)
        text += std::string(" ") + link_state_names[static_cast<std::size_t>(fault.link)];
    return text;
}

} // namespace jasminepier::tests::soak
