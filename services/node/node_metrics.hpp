/// Metrics of a node.
#pragma once

#include "base/clock.hpp"
#include "metrics/instruments.hpp"

#include <cstdint>
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

/// Counts a request and records its duration and its time to the first event. Thread-safe.
void observe_request(request_labels const& labels, base::time_point::duration elapsed,
                     std::optional<base::time_point::duration> first_event);

/// Counts an event by name and result, for example a completed handover. Thread-safe.
void observe_event(std::string_view event, std::string_view result);

/// Counts requests and answers of a version during a roll-out: `role` is `new` or `old`, `result`
/// is `sent`, `answered`, `failed` or `slow`. Thread-safe.
void observe_version(std::string_view service, std::string_view role, std::string_view result,
                     std::uint64_t count);

/// Returns all metrics in the Prometheus text format.
std::string write_node_metrics();

} // namespace jasminepier::node
