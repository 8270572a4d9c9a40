/// The plan of faults of a soak run, generated from a seed.
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
    /// Additional callers send requests.
    burst,
    /// A caller sends requests that share a prompt part which crashes engines.
    deadly_prompts,
    /// The store is away and comes back from a copy; what it has lost is written again soon.
    store_restored,
};

struct planned_fault
{
    std::chrono::milliseconds start{0};
    std::chrono::milliseconds duration{0};
    fault_kind kind = fault_kind::caller_link;
    /// Selects a node, server or zone: its index modulo their number at that time.
    unsigned target_index = 0;
    /// State of a faulty link. `refusing` also resets open connections.
    link_state link = link_state::clear;
};

/// Generates faults that start between `from` and `to`, in order. Equal seeds give equal plans.
std::vector<planned_fault> make_plan(unsigned seed, std::chrono::milliseconds from,
                                     std::chrono::milliseconds to);

/// Adds restorations of the store from a copy to the plan, some seconds apart.
void add_restorations(std::vector<planned_fault>& plan, unsigned seed,
                      std::chrono::milliseconds from, std::chrono::milliseconds to);

/// Generates planned work only: series of stops of nodes, which overlap with each other, reloads,
/// changes of the configuration and bursts.
std::vector<planned_fault> make_planned_work(unsigned seed, std::chrono::milliseconds from,
                                             std::chrono::milliseconds to);

/// Generates groups of an evacuation, a change of servers and a configuration within some tenths of
/// a second, while nodes are cut off, killed or stopped, beside series of stops and prompts that
/// crash engines.
std::vector<planned_fault> make_overlapping_changes(unsigned seed, std::chrono::milliseconds from,
                                                    std::chrono::milliseconds to);

/// Returns a one-line description.
std::string describe(planned_fault const& fault);

} // namespace jasminepier::tests::soak
