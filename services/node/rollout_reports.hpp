/// Converts the evidence of roll-outs to and from reports of nodes.
#pragma once

#include "jasminepier_types.h"
#include "serving/rollout_table.hpp"

namespace jasminepier::node
{

/// Adds what the node, or its zone, knows of roll-outs. Counts that don't fit follow in one of the
/// next reports. Adds nothing without an order.
void add_rollouts(inner_protocol::node_report& report, serving::rollout_table const& rollouts,
                  bool of_zone, base::time_point now);

void apply_rollouts(inner_protocol::node_report const& report, serving::rollout_table& rollouts,
                    base::time_point now);

} // namespace jasminepier::node
