#include "services/node/node_metrics.hpp"

#include "metrics/exposition.hpp"

#include <array>

namespace jasminepier::node
{
namespace
{

using metrics::duration_histogram;
using metrics::family;

// Bucket bounds in seconds, finer around the latency objectives: 0.1 to 0.15 s for plain requests
// and 1.5 to 1.8 s for first events.
constexpr std::array first_event_buckets{0.05, 0.1, 0.2, 0.4, 0.8, 1.1, 1.5, 1.8, 3.0, 6.0, 12.0};
constexpr std::array request_duration_buckets{0.02, 0.05, 0.1, 0.15, 0.3, 0.6,
                                              1.2,  2.5,  6.0, 12.0, 39.0};

struct node_families
{
    family<duration_histogram> request_duration{"jasminepier_request_seconds",
                                                "Time from a request to the end of its answer.",
                                                {{"route", 64}, {"outcome", 8}},
                                                std::span<double const>(request_duration_buckets)};
    family<duration_histogram> first_event{"jasminepier_first_event_seconds",
                                           "Time from a request to the first event of its stream.",
                                           {{"route", 64}},
                                           std::span<double const>(first_event_buckets)};
    family<metrics::counter> requests{"jasminepier_requests_total",
                                      "Requests by route, outcome and error code.",
                                      {{"route", 64}, {"outcome", 8}, {"code", 32}}};
    family<metrics::counter> events{"jasminepier_events_total",
                                    "Decisions and changes of belief by name and result.",
                                    {{"event", 32}, {"result", 32}}};
    family<metrics::counter> versions{"jasminepier_version_requests_total",
                                      "Requests and answers of each version during a roll-out.",
                                      {{"service", 64}, {"version", 4}, {"result", 8}}};
};

node_families& families()
{
    static node_families instance;
    return instance;
}

} // namespace

void observe_request(request_labels const& labels, base::time_point::duration elapsed,
                     std::optional<base::time_point::duration> first_event)
{
    auto& series = families();
    series.requests.with_labels({labels.route, labels.outcome, labels.code}).add();
    series.request_duration.with_labels({labels.route, labels.outcome}).observe(elapsed);
    if (first_event)
        series.first_event.with_labels({labels.route}).observe(*first_event);
}

void observe_event(std::string_view event, std::string_view result)
{
    families().events.with_labels({std::string(event), std::string(result)}).add();
}

void observe_version(std::string_view service, std::string_view role, std::string_view result,
                     std::uint64_t count)
{
    families()
        .versions.with_labels({std::string(service), std::string(role), std::string(result)})
        .add(count);
}

std::string write_node_metrics()
{
    std::string out;
    auto const& series = families();
    metrics::write_family(out, series.requests);
    metrics::write_family(out, series.request_duration, request_duration_buckets);
    metrics::write_family(out, series.first_event, first_event_buckets);
    metrics::write_family(out, series.events);
    metrics::write_family(out, series.versions);
    return out;
}

} // namespace jasminepier::node
