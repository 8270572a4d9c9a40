#include "serving/dispatcher.hpp"
#include "serving/stream_gap_model.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

// Part of the cache that a request with a short answer takes: about 2,500 of 27,000 tokens.
constexpr double short_request_cache_fraction = 0.1;
// Single estimates of the output are often far off, and a stream that is taken for a short one gets
// no protection. So a stream counts as at least this part of its declared maximum.
constexpr double typical_output_fraction = 0.25;

} // namespace

std::int64_t request_demand::streamed_tokens() const noexcept
{
    return std::max(expected_output_tokens,
                    static_cast<std::int64_t>(typical_output_fraction *
                                              static_cast<double>(maximum_output_tokens)));
}

bool request_demand::has_bounded_gaps() const noexcept
{
    return maximum_event_gap.count() > 0 && streamed_tokens() >= minimum_long_stream_tokens;
}

void dispatcher::record_pace(std::string const& server, int percent, base::time_point now)
{
    auto const found = m_directory.servers().find(server);
    if (found == m_directory.servers().end())
        return;
    auto const* target_service = m_configuration->find_service(found->second.entry.service);
    if (target_service != nullptr && target_service->engine)
        m_paces.record(found->second.hash, {percent, now});
}

double dispatcher::estimate_late_streams(listed_server const& server, service const& target_service,
                                         combined_load const& load, selection_query const& query,
                                         base::time_point now) const
{
    if (!query.weighs_gaps)
        return 0;
    auto const& demand = query.demand;
    auto const reserved_tokens =
        load.total.reserved_tokens + demand.prompt_tokens + demand.expected_output_tokens;
    bool const leaves_no_room =
        target_service.engine && static_cast<double>(reserved_tokens) >
                                     (usable_cache_fraction - short_request_cache_fraction) *
                                         static_cast<double>(target_service.engine->cache_tokens);
    return expected_late_streams(
        {m_paces.estimate(server.hash, now), demand.maximum_event_gap, demand.latency_objective,
         demand.prompt_tokens, demand.streamed_tokens(),
         query.purpose == selection_purpose::handover, load.total.unread_prompt_tokens,
         load.total.gap_bounded_streams, leaves_no_room});
}

} // namespace jasminepier::serving
