/// Counters and histograms of a node.
#pragma once

#include "base/clock.hpp"
#include "metrics/instruments.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace jasminepier::node
{

struct request_labels
{
    std::string route;
    std::string outcome;
    std::string code;
};

/// Counts one request and its times.
void observe_request(request_labels const& labels, base::time_point::duration elapsed,
                     std::optional<base::time_point::duration> first_event);

/// Counts an event by name and result, for example a handover that was carried through.
void observe_event(std::string_view event, std::string_view result);

/// Returns all series as text.
std::string write_node_metrics();

} // namespace jasminepier::node
