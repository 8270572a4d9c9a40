/// Checks of the system's guarantees on a recorded history.
#pragma once

#include "tests/soak/history.hpp"

#include <span>
#include <string>
#include <vector>

namespace jasminepier::tests::soak
{

/// Limits from the specification of the deployment.
namespace limits
{
/// How long a node must have been undisturbed before its time limits apply.
constexpr milliseconds settle_time{3000};
/// Within these times, nodes stop sending requests to a leaving server or an evacuated zone, and
/// route by a new configuration.
constexpr milliseconds drain_propagation{2000};
constexpr milliseconds evacuation_propagation{5000};
constexpr milliseconds configuration_propagation{2000};
/// How long after routing by a configuration a node may still route by an older one.
constexpr milliseconds downgrade_window{250};
/// Multiplies `downgrade_window` for a disturbed node.
constexpr int disturbed_downgrade_factor = 8;
/// Within this time, a caller's disconnect ends its request at the server.
constexpr milliseconds disconnect_propagation{500};
constexpr milliseconds timeout_slack{500};
/// How long two servers may run the same generation during a handover.
constexpr milliseconds handover_overlap{400};
/// A request that fails this soon and reaches no server may have met a closing connection.
constexpr milliseconds connection_loss_window{200};
constexpr milliseconds deadline_slack{500};
/// Time from the end of the last fault until requests succeed again.
constexpr milliseconds recovery_time{12000};
constexpr milliseconds retry_window{10000};
/// Time in which nodes learn that a prompt part has crashed this many servers.
constexpr milliseconds crash_propagation{3000};
constexpr std::size_t crashes_until_rejection = 3;
/// Requests with such a part that may still reach servers afterwards.
constexpr std::size_t late_deadly_requests = 3;
constexpr double retry_ratio = 0.2;
/// Retries allowed beyond `retry_ratio` in each window.
constexpr double retry_slack = 56;
constexpr double cold_rate_factor = 1.5;
/// Requests allowed beyond the rate limit of a cold server.
constexpr double cold_request_slack = 5;
} // namespace limits

/// Settings of the deployment under test.
namespace test_settings
{
constexpr milliseconds shutdown_grace_period{6000};
constexpr milliseconds request_deadline{8000};
constexpr double cold_requests_per_second = 8;
constexpr int maximum_attempts = 2;
constexpr char const* customer = "huka";

constexpr milliseconds route_timeout(request_kind kind)
{
    switch (kind)
    {
    case request_kind::non_idempotent:
    case request_kind::idempotent:
        return milliseconds(3000);
    case request_kind::resumable_stream:
        return milliseconds(6000);
    case request_kind::stream:
        return milliseconds(8000);
    }
    return milliseconds(0);
}
} // namespace test_settings

using violations = std::vector<std::string>;

struct check
{
    char const* name;
    violations (*find_violations)(history const&);
};

/// Returns all checks. Each reports one line for each violation.
std::span<check const> all_checks();

/// Returns true if the node and the store have been undisturbed for long enough that the time
/// limits apply to the node.
bool is_node_undisturbed(history const& recorded, int node, time_point at);

} // namespace jasminepier::tests::soak
