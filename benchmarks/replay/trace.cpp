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

/// Requests per second at which the 12 engines are about fully used with the ordinary mix, found
/// with the load curve of this program.
constexpr double saturating_rate = 45;

/// A double in [0, 1) that is the same with every standard library.
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

/// Customer shares fall as 1/rank, so that a few are large.
int choose_customer(base::random_source& random)
{
    double total = 0;
    for (int i = 1; i <= customer_count; ++i)
        total += 1.0 / i;
    double left = uniform(random) * total;
    for (int i = 0; i < customer_count; ++i)
    {
        left -= 1.0 / (i + 1);
        if (left < 0)
            return i;
    }
    return customer_count - 1;
}

work_kind choose_kind(base::random_source& random)
{
    double const u = uniform(random);
    if (u < 0.40)
        return work_kind::proposal;
    return u < 0.80 ? work_kind::question : work_kind::bulk;
}

enum class tail
{
    ordinary,
    heavy,
};

std::int64_t choose_output(base::random_source& random, work_kind kind, int customer, tail shape)
{
    // Customers differ by up to a factor of two either way.
    double const factor = std::exp2(static_cast<double>(customer % 5) / 2.0 - 1);
    double length = 0;
    if (kind == work_kind::question)
        length = lognormal(random, 50, 0.6);
    else if (shape == tail::heavy)
        length = 300 * factor * std::pow(1 - uniform(random), -1 / 1.3);
    else
        length = lognormal(random, kind == work_kind::proposal ? 1000 * factor : 500, 0.7);
    return std::clamp<std::int64_t>(static_cast<std::int64_t>(length), 1, 20000);
}

arrival make_arrival(base::random_source& random, double at, tail shape)
{
    arrival made;
    made.at_seconds = at;
    made.node = static_cast<int>(random() % node_count);
    made.customer = choose_customer(random);
    made.kind = choose_kind(random);
    made.output_tokens = choose_output(random, made.kind, made.customer, shape);
    double const median = made.kind == work_kind::proposal   ? 300
                          : made.kind == work_kind::question ? 120
                                                             : 400;
    made.prompt_tokens = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(lognormal(random, median, 0.4)), 20, 4000);
    // Each customer has a few prompt templates for each kind.
    auto const group =
        static_cast<std::uint64_t>(made.customer * 100 + static_cast<int>(made.kind) * 10) +
        random() % 4;
    made.prefix_hash = base::mix64(group);
    made.prefix_tokens = made.prompt_tokens / 2;
    return made;
}

struct shape
{
    double duration = 180;
    double low = 0;
    double high = 0;
    tail lengths = tail::ordinary;
};

shape shape_of(std::string_view name)
{
    if (name == "ordinary")
        return {180, 0.45, 0.65, tail::ordinary};
    if (name == "peak")
        return {180, 0.95, 1.15, tail::ordinary};
    if (name == "heavy_tail")
        return {180, 0.75, 0.95, tail::heavy};
    if (name == "zone")
        return {240, 0.50, 0.55, tail::ordinary};
    if (name == "zone_warm")
        return {240, 0.50, 0.55, tail::ordinary};
    if (name == "cold")
        return {240, 0.45, 0.55, tail::ordinary};
    if (name == "crash")
        return {180, 0.45, 0.55, tail::ordinary};
    if (name == "constant")
        return {120, 1, 1, tail::ordinary};
    throw std::invalid_argument("unknown trace " + std::string(name));
}

void add_incidents(trace& made, std::string_view name)
{
    double const t = made.duration_seconds;
    if (name == "zone")
        made.incidents = {{t * 0.25, incident_kind::zone_out, 0},
                          {t * 0.42, incident_kind::zone_stops, 0},
                          {t * 0.54, incident_kind::zone_returns, 0}};
    // Here the engines keep running, as after an alarm that proved false.
    if (name == "zone_warm")
        made.incidents = {{t * 0.25, incident_kind::zone_out, 0},
                          {t * 0.54, incident_kind::zone_back, 0}};
    if (name == "cold")
        for (int i = 0; i < 4; ++i)
            made.incidents.push_back(
                {t * (0.2 + 0.15 * i), incident_kind::engine_turns_cold, 3 * i});
    if (name == "crash")
    {
        // The caller sends the same request again after each failure; see the simulator.
        arrival bad = made.arrivals[made.arrivals.size() / 4];
        bad.crashes_engine = true;
        made.arrivals[made.arrivals.size() / 4] = bad;
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
    auto const wanted = shape_of(name);
    base::random_source random(seed);
    trace made;
    made.name = name;
    made.duration_seconds = duration_seconds > 0 ? duration_seconds : wanted.duration;
    double at = 0;
    while (true)
    {
        // One slow wave from the low to the high rate and back.
        double const wave = 0.5 - 0.5 * std::cos(2 * std::numbers::pi * at / made.duration_seconds);
        double const rate =
            saturating_rate * load * (wanted.low + (wanted.high - wanted.low) * wave);
        at += -std::log(1 - uniform(random)) / rate;
        if (at >= made.duration_seconds)
            break;
        made.arrivals.push_back(make_arrival(random, at, wanted.lengths));
    }
    add_incidents(made, name);
    return made;
}

} // namespace jasminepier::benchmarks
