/// Converts the evidence of roll-outs to and from reports of nodes.
#pragma once

#include "jasminepier_types.h"
#include "serving/rollout_table.hpp"

#include <map>

namespace jasminepier::node
{

/// Where the next report of one kind, of the node or of its zone, goes on.
struct rollout_report_position
{
    std::size_t order = 0;
    /// By the order's id.
    std::map<std::uint64_t, std::size_t> entries;
};

/// Adds what the node, or its zone, knows of roll-outs, at most 10 entries. Counts that don't fit
/// follow in one of the next reports. Returns false, and adds nothing, without an order.
bool add_rollouts(inner_protocol::node_report& report, serving::rollout_table const& rollouts,
                  bool of_zone, rollout_report_position& position, base::time_point now);

void apply_rollouts(inner_protocol::node_report const& report, serving::rollout_table& rollouts,
                    base::time_point now);

} // namespace jasminepier::node
