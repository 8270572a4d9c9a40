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
                                           int nodes, int zone_out)
{
    configuration::snapshot built;
    built.active_preset = preset;
    for (int i = 0; i < zone_count; ++i)
        built.zones[zone_name(i)] = {zone_name(i), "region",
                                     i == zone_out ? configuration::zone_state::out_of_service
                                                   : configuration::zone_state::in_service};
    built.services[service_name] = {
        service_name, configuration::service_type::model, {model_name}, {}};
    for (int i = 0; i < customer_count; ++i)
        built.customers[customer_name(i)].name = customer_name(i);
    for (int i = 0; i < nodes; ++i)
    {
        auto& node = built.nodes[node_name(i)];
        node.name = node_name(i);
        node.zone = zone_name(zone_of(i));
    }
    for (int i = 0; i < engines; ++i)
    {
        auto& server = built.servers[engine_name(i)];
        server.name = engine_name(i);
        server.service = service_name;
        server.zone = zone_name(zone_of(i));
    }
    return built;
}

decision::reported_load simulated_engine::report() const
{
    decision::reported_load view;
    view.instance = std::to_string(instance);
    view.state = !up               ? decision::reported_state::unreachable
                 : model.is_cold() ? decision::reported_state::cold
                                   : decision::reported_state::warm;
    view.running = model.running();
    view.waiting = model.waiting();
    view.kv_used_tokens = model.kv_used_tokens();
    view.kv_capacity_tokens = model.settings().kv_capacity_tokens;
    view.cold_capacity = model.settings().cold_capacity;
    view.max_running = model.settings().max_running;
    return view;
}

void simulated_engine::stop()
{
    earlier_preemptions += model.preemptions();
    up = false;
    stepping = false;
    model = stand_ins::engine_model(stand_ins::engine_model_settings{});
}

void simulated_engine::restart(double now)
{
    stand_ins::engine_model_settings settings;
    settings.starts_cold = true;
    model = stand_ins::engine_model(settings);
    up = true;
    ++instance;
    cold_since = now;
}

} // namespace jasminepier::benchmarks
