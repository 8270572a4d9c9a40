#include "tests/soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace jasminepier::tests::soak
{
namespace
{

using std::chrono::milliseconds;

constexpr std::array fault_kind_names{
    "caller_link",        "store_link",           "peer_link",
    "server_link",        "node_pause",           "node_kill",
    "node_stop",          "node_reload",          "server_crash",
    "server_drain",       "server_removal",       "server_slowdown",
    "store_refusal",      "store_silence",        "store_lost_answers",
    "store_lost_history", "store_lapsed_entries", "configuration_change",
    "zone_evacuation"};
constexpr std::array link_state_names{"clear", "delayed", "refusing", "deaf", "mute", "silent"};

// The seed selects one of these mean times between faults. With the shortest, faults overlap; with
// the longest, nodes stay undisturbed for long enough that the time limits apply to them.
constexpr std::array<unsigned, 3> mean_gap_milliseconds{500, 1200, 3500};
constexpr milliseconds minimum_duration{200};
constexpr milliseconds maximum_duration{3000};
// Longer than limits::evacuation_propagation, so that the check applies.
constexpr milliseconds evacuation_duration{7000};

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
        fault.kind = static_cast<fault_kind>(draw(fault_kind_names.size()));
        fault.target_index = draw(1000);
        fault.link = static_cast<link_state>(1 + draw(link_state_names.size() - 1));
        if (fault.kind == fault_kind::zone_evacuation)
            fault.duration = evacuation_duration;
        fault.duration = std::min(fault.duration, to - at);
        plan.push_back(fault);
    }
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
