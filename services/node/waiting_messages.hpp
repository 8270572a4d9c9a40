/// Reports of waiting requests as messages between nodes.
#pragma once

#include "inner_protocol/generated/jasminepier_types.h"
#include "serving/waiting_table.hpp"

#include <span>
#include <vector>

namespace jasminepier::node
{

/// Adds the reports to a message, best ranks first, as far as the bound of a message permits.
void add_waiting_work(std::span<serving::waiting_report const> reports,
                      inner_protocol::node_report& message);

/// Returns the valid entries of a message.
std::vector<serving::waiting_report> read_waiting_work(inner_protocol::node_report const& message);

} // namespace jasminepier::node
