/// Traces of request arrivals and incidents, generated from a seed.
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
    double time_seconds = 0;
    int node = 0;
    /// Index of the customer: 0 is the largest, customer_count - 1 the smallest.
    int customer = 0;
    configuration::work_kind kind = configuration::work_kind::question;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    std::uint64_t prefix_hash = 0;
    std::int64_t prefix_tokens = 0;
    /// Whether the request crashes every engine that runs it.
    bool crashes_engine = false;
};

enum class incident_kind
{
    /// Operators take the zone out of service; its engines keep running.
    zone_out_of_service,
    /// The engines of the zone are shut down.
    zone_engines_stop,
    /// The engines restart cold, and operators put the zone back in service.
    zone_engines_restart,
    /// Operators put the zone back in service; its engines never stopped.
    zone_back_in_service,
    engine_turns_cold,
};

struct incident
{
    double time_seconds = 0;
    incident_kind kind = incident_kind::zone_out_of_service;
    /// Index of the zone or engine.
    int index = 0;
};

struct trace
{
    std::string name;
    double duration_seconds = 0;
    std::vector<arrival> arrivals;
    std::vector<incident> incidents;
};

/// The traces that are replayed by default. `make_trace` also knows "constant".
std::vector<std::string> const& trace_names();

/// Generates a trace. `load` is a factor on the trace's arrival rate; a `duration_seconds` of 0
/// keeps the trace's duration. Throws std::invalid_argument if `name` is unknown.
trace make_trace(std::string_view name, std::uint64_t seed, double load = 1,
                 double duration_seconds = 0);

} // namespace jasminepier::benchmarks
