#include "benchmarks/replay/trace.hpp"

#include "base/clock.hpp"
#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <stdexcept>

namespace jasminepier::benchmarks
{
namespace
{

using configuration::work_kind;

/// Arrival rate that saturates the 12 engines with the ordinary mix of requests.
constexpr double saturation_requests_per_second = 45;

/// Returns a double in [0, 1). Unlike std::uniform_real_distribution, the value is the same with
/// every standard library.
double uniform(base::random_source& random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

double normal(base::random_source& random)
{
    double const radius = std::sqrt(-2 * std::log(1 - uniform(random)));
    return radius * std::cos(2 * std::numbers::pi * uniform(random));
}

double lognormal(base::random_source& random, double median, double deviation)
{
    return median * std::exp(deviation * normal(random));
}

/// Draws a customer with probability proportional to 1/rank, so that few customers are large.
int draw_customer(base::random_source& random)
{
    double total = 0;
    for (int i = 1; i <= customer_count; ++i)
        total += 1.0 / i;
    double remaining = uniform(random) * total;
    for (int i = 0; i < customer_count; ++i)
    {
        remaining -= 1.0 / (i + 1);
        if (remaining < 0)
            return i;
    }
    return customer_count - 1;
}

work_kind draw_kind(base::random_source& random)
{
    double const value = uniform(random);
    if (value < 0.40)
        return work_kind::proposal;
    return value < 0.80 ? work_kind::question : work_kind::bulk;
}

enum class output_tail
{
    lognormal,
    pareto,
};

std::int64_t draw_output_tokens(base::random_source& random, work_kind kind, int customer,
                                output_tail tail)
{
    // Customers' lengths differ from the median by up to a factor of two.
    double const factor = std::exp2(static_cast<double>(customer % 5) / 2.0 - 1);
    double length = 0;
    if (kind == work_kind::question)
        length = lognormal(random, 50, 0.6);
    else if (tail == output_tail::pareto)
        length = 300 * factor * std::pow(1 - uniform(random), -1 / 1.3);
    else
        length = lognormal(random, kind == work_kind::proposal ? 1000 * factor : 500, 0.7);
    return std::clamp<std::int64_t>(static_cast<std::int64_t>(length), 1, 20000);
}

arrival make_arrival(base::random_source& random, double time_seconds, output_tail tail)
{
    arrival result;
    result.time_seconds = time_seconds;
    result.node = static_cast<int>(random() % node_count);
    result.customer = draw_customer(random);
    result.kind = draw_kind(random);
    result.output_tokens = draw_output_tokens(random, result.kind, result.customer, tail);
    double const median = result.kind == work_kind::proposal   ? 300
                          : result.kind == work_kind::question ? 120
                                                               : 400;
    result.prompt_tokens = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(lognormal(random, median, 0.4)), 20, 4000);
    // Each customer has a few prompt templates for each kind.
    auto const group =
        static_cast<std::uint64_t>(result.customer * 100 + static_cast<int>(result.kind) * 10) +
        random() % 4;
    result.prefix_hash = base::mix64(group);
    result.prefix_tokens = result.prompt_tokens / 2;
    return result;
}

/// Loads are fractions of saturation_requests_per_second.
struct load_profile
{
    double duration_seconds = 180;
    double minimum_load = 0;
    double maximum_load = 0;
    output_tail tail = output_tail::lognormal;
};

load_profile find_load_profile(std::string_view name)
{
    if (name == "ordinary")
        return {180, 0.45, 0.65, output_tail::lognormal};
    if (name == "peak")
        return {180, 0.95, 1.15, output_tail::lognormal};
    if (name == "heavy_tail")
        return {180, 0.75, 0.95, output_tail::pareto};
    if (name == "zone")
        return {240, 0.50, 0.55, output_tail::lognormal};
    if (name == "zone_warm")
        return {240, 0.50, 0.55, output_tail::lognormal};
    if (name == "cold")
        return {240, 0.45, 0.55, output_tail::lognormal};
    if (name == "crash")
        return {180, 0.45, 0.55, output_tail::lognormal};
    if (name == "constant")
        return {120, 1, 1, output_tail::lognormal};
    throw std::invalid_argument("unknown trace " + std::string(name));
}

void add_incidents(trace& target, std::string_view name)
{
    double const duration = target.duration_seconds;
    if (name == "zone")
        target.incidents = {{duration * 0.25, incident_kind::zone_out_of_service, 0},
                            {duration * 0.42, incident_kind::zone_engines_stop, 0},
                            {duration * 0.54, incident_kind::zone_engines_restart, 0}};
    // The engines keep running, as after a false alarm.
    if (name == "zone_warm")
        target.incidents = {{duration * 0.25, incident_kind::zone_out_of_service, 0},
                            {duration * 0.54, incident_kind::zone_back_in_service, 0}};
    if (name == "cold")
        for (int i = 0; i < 4; ++i)
            target.incidents.push_back(
                {duration * (0.2 + 0.15 * i), incident_kind::engine_turns_cold, 3 * i});
    if (name == "crash")
    {
        // The simulation retries this request after each crash, which crashes another engine.
        arrival crashing = target.arrivals[target.arrivals.size() / 4];
        crashing.crashes_engine = true;
        target.arrivals[target.arrivals.size() / 4] = crashing;
    }
}

} // namespace

std::vector<std::string> const& trace_names()
{
    static std::vector<std::string> const names{"ordinary",  "peak", "heavy_tail", "zone",
                                                "zone_warm", "cold", "crash"};
    return names;
}

trace make_trace(std::string_view name, std::uint64_t seed, double load, double duration_seconds)
{
    auto const profile = find_load_profile(name);
    base::random_source random(seed);
    trace result;
    result.name = name;
    result.duration_seconds = duration_seconds > 0 ? duration_seconds : profile.duration_seconds;
    double time_seconds = 0;
    while (true)
    {
        // One period of a cosine from the minimum to the maximum rate and back.
        double const wave =
            0.5 - 0.5 * std::cos(2 * std::numbers::pi * time_seconds / result.duration_seconds);
        double const rate =
            saturation_requests_per_second * load *
            (profile.minimum_load + (profile.maximum_load - profile.minimum_load) * wave);
        time_seconds += -std::log(1 - uniform(random)) / rate;
        if (time_seconds >= result.duration_seconds)
            break;
        result.arrivals.push_back(make_arrival(random, time_seconds, profile.tail));
    }
    add_incidents(result, name);
    return result;
}

} // namespace jasminepier::benchmarks
