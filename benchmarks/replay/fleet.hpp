/// The engines of a replay and the configuration that describes them.
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

/// Builds the configuration of `engines` engines and `nodes` nodes in three zones of one region;
/// `zone_out` names a zone that is out of service, or is -1.
configuration::snapshot make_configuration(configuration::preset const& preset, int engines,
                                           int nodes, int zone_out);

/// One engine with what the outside world does to it.
struct simulated_engine
{
    stand_ins::engine_model model{stand_ins::engine_model_settings{}};
    /// The step that is under way; its tokens appear when it ends.
    stand_ins::engine_step step;
    bool stepping = false;
    bool up = true;
    int instance = 1;
    double cold_since = 0;
    std::int64_t earlier_preemptions = 0;

    /// Returns the report that the engine would give now.
    decision::reported_load report() const;
    /// Starts a new, cold instance.
    void restart(double now);
    /// Drops everything that the instance held.
    void stop();
};

} // namespace jasminepier::benchmarks
