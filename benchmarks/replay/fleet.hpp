/// The simulated engines and the configuration that lists them.
#pragma once

#include "benchmarks/replay/trace.hpp"
#include "configuration/snapshot.hpp"
#include "decision/server_table.hpp"
#include "stand_ins/engine/engine_model.hpp"

#include <string>

namespace jasminepier::benchmarks
{

inline constexpr char const* service_name = "jasmine-llm";
inline constexpr char const* model_name = "jasmine-large";

std::string engine_name(int index);
std::string node_name(int index);
std::string customer_name(int index);
std::string zone_name(int index);
inline int zone_of(int index)
{
    return index % zone_count;
}

/// Makes the configuration of `engines` engines and `nodes` nodes in the zones of one region.
/// `zone_out_of_service` is the index of a zone that is out of service, or -1.
configuration::snapshot make_configuration(configuration::preset const& preset, int engines,
                                           int nodes, int zone_out_of_service);

/// An engine with its lifecycle.
struct simulated_engine
{
    stand_ins::engine_model model{stand_ins::engine_model_settings{}};
    /// The current step, if step_in_progress; its tokens are delivered when it ends.
    stand_ins::engine_step step;
    bool step_in_progress = false;
    bool is_up = true;
    int instance = 1;
    double cold_since_seconds = 0;
    std::int64_t preemptions_of_previous_instances = 0;

    /// Returns the load that the engine reports now.
    decision::reported_load report() const;
    /// Starts a new, cold instance.
    void restart(double now_seconds);
    /// Discards the instance with its generations and KV cache.
    void shut_down();
};

} // namespace jasminepier::benchmarks
