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
                                      "burst",
                                      "deadly_prompts",
                                      "store_restored"};
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
// Time between two groups of changes, and the time within which the changes of a group are made.
constexpr unsigned minimum_group_gap_milliseconds = 1500;
constexpr unsigned maximum_group_gap_milliseconds = 4000;
constexpr unsigned group_spread_milliseconds = 400;
constexpr unsigned maximum_cut_off_nodes = 5;
// Some evacuations are taken back before nodes must have followed them.
constexpr std::array evacuation_durations{milliseconds(1500), evacuation_duration};
// Long enough that requests with the part still come when nodes must reject them.
constexpr milliseconds deadly_prompts_duration{8000};

/// Adds a fault of each node's links or process to the plan, for `count` nodes from `first_node`
/// on.
template <class Draw>
void cut_off_nodes(std::vector<planned_fault>& plan, milliseconds at, unsigned first_node,
                   unsigned count, Draw const& draw)
{
    constexpr std::array kinds{fault_kind::peer_link,  fault_kind::peer_link,
                               fault_kind::store_link, fault_kind::node_pause,
                               fault_kind::node_kill,  fault_kind::node_stop};
    auto const kind = kinds[draw(kinds.size())];
    auto const link = static_cast<link_state>(1 + draw(link_state_names.size() - 1));
    bool const is_isolated = kind == fault_kind::peer_link && draw(2) == 0;
    for (unsigned node = first_node; node < first_node + count; ++node)
    {
        auto const duration = milliseconds(500 + draw(maximum_duration.count()));
        plan.push_back({at, duration, kind, node, link});
        if (is_isolated)
            plan.push_back({at, duration, fault_kind::store_link, node, link});
    }
}

void sort_by_start(std::vector<planned_fault>& plan)
{
    std::stable_sort(plan.begin(), plan.end(),
                     [](auto const& left, auto const& right) { return left.start < right.start; });
}

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

void add_restorations(std::vector<planned_fault>& plan, unsigned seed, milliseconds from,
                      milliseconds to)
{
    std::mt19937 random(seed);
    auto const draw = [&](unsigned count) { return static_cast<unsigned>(random() % count); };
    for (auto at = from + milliseconds(500 + draw(2500)); at < to;
         at += milliseconds(3000 + draw(3000)))
        plan.push_back({at,
                        std::min(milliseconds(50 + draw(1500)), to - at),
                        fault_kind::store_restored,
                        0,
                        {}});
    sort_by_start(plan);
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
    sort_by_start(plan);
    return plan;
}

std::vector<planned_fault> make_overlapping_changes(unsigned seed, milliseconds from,
                                                    milliseconds to)
{
    std::mt19937 random(seed);
    auto const draw = [&](auto count)
    { return static_cast<unsigned>(random() % static_cast<unsigned>(count)); };
    std::vector<planned_fault> plan;
    for (auto at = from; at < to; at += milliseconds(minimum_group_gap_milliseconds +
                                                     draw(maximum_group_gap_milliseconds -
                                                          minimum_group_gap_milliseconds + 1)))
    {
        cut_off_nodes(plan, std::max(from, at - milliseconds(draw(1500))), draw(1000),
                      1 + draw(maximum_cut_off_nodes), draw);
        constexpr std::array server_changes{fault_kind::server_drain, fault_kind::server_removal,
                                            fault_kind::server_crash};
        for (auto const kind : {fault_kind::configuration_change, fault_kind::zone_evacuation,
                                server_changes[draw(server_changes.size())]})
            plan.push_back({at + milliseconds(draw(group_spread_milliseconds)),
                            evacuation_durations[draw(evacuation_durations.size())],
                            kind,
                            draw(1000),
                            {}});
    }
    auto const stop_gap = milliseconds(stop_gap_milliseconds[draw(stop_gap_milliseconds.size())]);
    auto const first_stopped_node = draw(1000);
    for (unsigned stop = 0; stop < maximum_cut_off_nodes; ++stop)
        plan.push_back({from + stop * stop_gap + milliseconds(draw(200)),
                        milliseconds(0),
                        fault_kind::node_stop,
                        first_stopped_node + stop,
                        {}});
    for (auto at = from + milliseconds(draw(2000)); at < to;
         at += deadly_prompts_duration + milliseconds(draw(2000)))
        plan.push_back({at, deadly_prompts_duration, fault_kind::deadly_prompts, 0, {}});
    sort_by_start(plan);
    // All faults end by `to`, after which the system recovers.
    std::erase_if(plan, [&](auto const& fault) { return fault.start >= to; });
    for (auto& fault : plan)
        fault.duration = std::min(fault.duration, to - fault.start);
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
