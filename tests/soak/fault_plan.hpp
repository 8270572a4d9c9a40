/// The faults of one run, drawn from its seed.
#pragma once

#include "tests/soak/link_proxy.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace jasminepier::tests::soak
{

enum class fault_kind
{
    caller_link,
    store_link,
    peer_link,
    server_link,
    node_pause,
    node_kill,
    node_stop,
    node_reload,
    server_crash,
    server_drain,
    server_removal,
    server_slowdown,
    store_refusal,
    store_silence,
    store_lost_answers,
    store_lost_history,
    store_lapsed_entries,
    configuration_change,
    zone_evacuation,
};

struct planned_fault
{
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    fault_kind kind = fault_kind::caller_link;
    /// Picks one of the nodes or servers that are there by then.
    unsigned target = 0;
    /// What happens to a link; `refusing` resets open connections, too.
    link_state link = link_state::clear;
};

/// Faults in the order of their time; the same seed gives the same plan.
std::vector<planned_fault> make_plan(unsigned seed, std::chrono::milliseconds from,
                                     std::chrono::milliseconds to);

/// One line that tells the whole fault.
std::string describe(planned_fault const& fault);

} // namespace jasminepier::tests::soak
