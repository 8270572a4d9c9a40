#include "services/node/load_messages.hpp"

#include "services/node/node_metrics.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::node
{
namespace
{

// Keeps a report well below the maximum size of a datagram: a load takes about 20 bytes.
constexpr std::size_t maximum_loads_per_report = 40;
// Reports carry limits of requests in thousandths of a request per second.
constexpr double rate_limit_scale = 1000;
constexpr double maximum_reported_rate_limit = 1e6;
constexpr std::int32_t no_rate_limit = -1;

} // namespace

inner_protocol::server_use to_message(serving::server_load const& load,
                                      std::int64_t server_revision)
{
    inner_protocol::server_use use;
    use.server = load.server;
    use.running = load.running;
    use.reserved_tokens = static_cast<std::int32_t>(load.reserved_tokens);
    use.unread_prompt_tokens = static_cast<std::int32_t>(load.unread_prompt_tokens);
    use.recent_attempts = load.recent_attempts;
    use.recent_failures = load.recent_failures;
    use.unreachable = load.unreachable;
    use.leaving = load.leaving.has_value();
    if (load.leaving)
    {
        use.__set_leaving_revision(server_revision - load.leaving->revision);
        if (load.leaving->announced)
        {
            use.__set_leaving_started(load.leaving->started_unix_milliseconds);
            use.__set_leaving_announced(true);
        }
    }
    use.movable_runs = load.handover_candidates;
    if (load.rate_limit)
    {
        auto const limit = load.rate_limit->requests_per_second;
        use.__set_rate_limit(
            limit ? static_cast<std::int32_t>(std::lround(
                        std::min(*limit, maximum_reported_rate_limit) * rate_limit_scale))
                  : no_rate_limit);
        use.__set_rate_limit_age_milliseconds(
            static_cast<std::int32_t>(load.rate_limit->age.count()));
    }
    if (load.pace)
    {
        use.__set_pace_percent(load.pace->percent);
        use.__set_pace_age_milliseconds(static_cast<std::int32_t>(load.pace->age.count()));
    }
    if (load.gap_bounded_streams > 0)
        use.__set_gap_bounded_streams(load.gap_bounded_streams);
    return use;
}

std::vector<inner_protocol::server_use> to_messages(std::vector<serving::server_load> loads,
                                                    std::int64_t server_revision)
{
    std::stable_partition(loads.begin(), loads.end(),
                          [](auto const& load)
                          { return load.running > 0 || load.leaving || load.rate_limit; });
    if (loads.size() > maximum_loads_per_report)
    {
        observe_event("peer_report", "loads_left_out");
        loads.resize(maximum_loads_per_report);
    }
    std::vector<inner_protocol::server_use> uses;
    uses.reserve(loads.size());
    for (auto const& load : loads)
        uses.push_back(to_message(load, server_revision));
    return uses;
}

serving::server_load from_message(inner_protocol::server_use const& use,
                                  std::int64_t server_revision)
{
    serving::server_load load;
    load.server = use.server;
    load.running = use.running;
    load.reserved_tokens = use.reserved_tokens;
    load.unread_prompt_tokens = use.unread_prompt_tokens;
    load.recent_attempts = use.recent_attempts;
    load.recent_failures = use.recent_failures;
    load.unreachable = use.unreachable;
    if (use.leaving && use.__isset.leaving_revision)
        load.leaving = {server_revision - use.leaving_revision, use.leaving_started,
                        use.leaving_announced};
    load.handover_candidates = use.movable_runs;
    if (use.__isset.rate_limit)
    {
        load.rate_limit.emplace();
        if (use.rate_limit >= 0)
            load.rate_limit->requests_per_second = use.rate_limit / rate_limit_scale;
        load.rate_limit->age = base::milliseconds(std::max(use.rate_limit_age_milliseconds, 0));
    }
    if (use.__isset.pace_percent)
        load.pace = {use.pace_percent, base::milliseconds(std::max(use.pace_age_milliseconds, 0))};
    if (use.__isset.gap_bounded_streams)
        load.gap_bounded_streams = use.gap_bounded_streams;
    return load;
}

} // namespace jasminepier::node
