/// Conversion of streams' origins between reports and tables.
#pragma once

#include "jasminepier_types.h"
#include "serving/stream_origin_table.hpp"

#include <span>
#include <vector>

namespace jasminepier::node
{

/// Upper limit of the size of an origin in a report.
inline constexpr std::size_t bytes_per_stream_origin = 20;

void add_stream_origins(std::span<serving::stream_origin const> origins,
                        inner_protocol::node_report& message);
std::vector<serving::stream_origin> read_stream_origins(inner_protocol::node_report const& message);

} // namespace jasminepier::node
