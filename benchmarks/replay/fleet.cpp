#include "benchmarks/replay/fleet.hpp"

namespace jasminepier::benchmarks
{

std::string engine_name(int index)
{
    return "engine-" + std::to_string(index);
}

std::string node_name(int index)
{
    return "node-" + std::to_string(index);
}

std::string customer_name(int index)
{
    return "customer-" + std::to_string(index);
}

std::string zone_name(int index)
{
    return "zone-" + std::string(1, static_cast<char>('a' + index));
}

configuration::snapshot make_configuration(configuration::preset const& preset, int engines,
                                           int nodes, int zone_out_of_service)
{
    configuration::snapshot snapshot;
    snapshot.active_preset = preset;
    for (int i = 0; i < zone_count; ++i)
        snapshot.zones[zone_name(i)] = {zone_name(i), "region",
                                        i == zone_out_of_service
                                            ? configuration::zone_state::out_of_service
                                            : configuration::zone_state::in_service};
    snapshot.services[service_name] = {
        service_name, configuration::service_type::model, {model_name}, {}};
    for (int i = 0; i < customer_count; ++i)
        snapshot.customers[customer_name(i)].name = customer_name(i);
    for (int i = 0; i < nodes; ++i)
    {
        auto& node = snapshot.nodes[node_name(i)];
        node.name = node_name(i);
        node.zone = zone_name(zone_of(i));
    }
    for (int i = 0; i < engines; ++i)
    {
        auto& server = snapshot.servers[engine_name(i)];
        server.name = engine_name(i);
        server.service = service_name;
        server.zone = zone_name(zone_of(i));
    }
    return snapshot;
}

decision::reported_load simulated_engine::report() const
{
    decision::reported_load load;
    load.instance = std::to_string(instance);
    load.state = !is_up            ? decision::reported_state::unreachable
                 : model.is_cold() ? decision::reported_state::cold
                                   : decision::reported_state::warm;
    load.running = model.running();
    load.waiting = model.waiting();
    load.kv_used_tokens = model.kv_used_tokens();
    load.kv_capacity_tokens = model.settings().kv_capacity_tokens;
    load.cold_capacity = model.settings().cold_capacity;
    load.max_running = model.settings().max_running;
    return load;
}

void simulated_engine::shut_down()
{
    preemptions_of_previous_instances += model.preemptions();
    is_up = false;
    step_in_progress = false;
    model = stand_ins::engine_model(stand_ins::engine_model_settings{});
}

void simulated_engine::restart(double now_seconds)
{
    stand_ins::engine_model_settings settings;
    settings.starts_cold = true;
    model = stand_ins::engine_model(settings);
    is_up = true;
    ++instance;
    cold_since_seconds = now_seconds;
}

} // namespace jasminepier::benchmarks
