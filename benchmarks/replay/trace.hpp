/// Arrival and length traces, generated from a seed.
#pragma once

#include "configuration/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::benchmarks
{

inline constexpr int engine_count = 12;
inline constexpr int zone_count = 3;
inline constexpr int node_count = 8;
inline constexpr int customer_count = 10;

struct arrival
{
    double at_seconds = 0;
    int node = 0;
    /// 0 is the largest customer, customer_count - 1 the smallest.
    int customer = 0;
    configuration::work_kind kind = configuration::work_kind::question;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    std::uint64_t prefix_hash = 0;
    std::int64_t prefix_tokens = 0;
    /// Every engine that runs the request fails.
    bool crashes_engine = false;
};

enum class incident_kind
{
    zone_out,
    /// The engines of the zone are switched off.
    zone_stops,
    /// The engines start again, cold, and operators put the zone back in service.
    zone_returns,
    /// Operators put the zone back in service; its engines have run on.
    zone_back,
    engine_turns_cold,
};

struct incident
{
    double at_seconds = 0;
    incident_kind kind = incident_kind::zone_out;
    /// Zone or engine.
    int index = 0;
};

struct trace
{
    std::string name;
    double duration_seconds = 0;
    std::vector<arrival> arrivals;
    std::vector<incident> incidents;
};

/// Names of the traces that `make_trace` knows.
std::vector<std::string> const& trace_names();

/// Generates a trace. `load` scales the arrival rate; 1 is the trace's own. Throws
/// std::invalid_argument for an unknown name.
trace make_trace(std::string_view name, std::uint64_t seed, double load = 1,
                 double duration_seconds = 0);

} // namespace jasminepier::benchmarks
