/// The promises of the system, checked on what callers, servers and the operator saw.
#pragma once

#include "tests/soak/history.hpp"

#include <span>
#include <string>
#include <vector>

namespace jasminepier::tests::soak
{

/// Bounds of the deployments' sheets.
namespace bounds
{
/// How long nothing may have disturbed a node before its time bounds hold.
constexpr milliseconds contact{3000};
constexpr milliseconds drain{2000};
constexpr milliseconds evacuate{5000};
constexpr milliseconds configuration{2000};
constexpr milliseconds downgrade{250};
/// A disturbed node may see a configuration eight times as late go back.
constexpr int disturbed_downgrade = 8;
constexpr milliseconds departure{500};
constexpr milliseconds past_time_limit{500};
constexpr milliseconds moved_run_overlap{400};
constexpr milliseconds loss_slack{200};
constexpr milliseconds deadline_slack{500};
constexpr milliseconds recovery{12000};
constexpr milliseconds retry_window{10000};
constexpr double retry_ratio = 0.2;
constexpr double retry_slack = 56;
constexpr double cold_overage = 1.5;
constexpr double cold_tolerance = 5;
} // namespace bounds

/// What the soak configures.
namespace configured
{
constexpr milliseconds stop_grace{6000};
constexpr milliseconds caller_deadline{8000};
constexpr double cold_requests_per_second = 8;
constexpr int repeatable_attempts = 2;
constexpr char const* customer = "huka";

constexpr milliseconds time_limit(request_kind kind)
{
    switch (kind)
    {
    case request_kind::order:
    case request_kind::check:
        return milliseconds(3000);
    case request_kind::question:
        return milliseconds(6000);
    case request_kind::plan:
        return milliseconds(8000);
    }
    return milliseconds(0);
}
} // namespace configured

using violations = std::vector<std::string>;

struct check
{
    char const* name;
    violations (*run)(history const&);
};

/// All checks. Each returns one line for each broken promise.
std::span<check const> all_checks();

/// Whether nothing disturbed the node or the store for so long that time bounds hold for it.
bool in_touch(history const& seen, int node, time_point at);

} // namespace jasminepier::tests::soak
