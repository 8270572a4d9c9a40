#include "configuration/snapshot.hpp"

#include "base/log.hpp"

namespace jasminepier::configuration
{
namespace
{

base::result<preset> parse_active_preset(base::json_object const& source)
{
    BOOST_LEAF_AUTO(name, base::read_string(source, "preset"));
    BOOST_LEAF_AUTO(content, base::read_object(source, "content"));
    return parse_preset(name, content);
}

template <class T, class Parse>
base::result<void> add(std::map<std::string, T>& target, store::object const& source,
                       base::json_object const& value, Parse parse)
{
    BOOST_LEAF_AUTO(parsed, parse(source.name, value));
    target.insert_or_assign(source.name, std::move(parsed));
    return {};
}

base::result<void> add_object(snapshot& target, store::object const& source)
{
    BOOST_LEAF_AUTO(value, base::parse_json_object(source.value));
    if (source.kind == "zone")
        return add(target.zones, source, value, parse_zone);
    if (source.kind == "service")
        return add(target.services, source, value, parse_service);
    if (source.kind == "customer")
        return add(target.customers, source, value, parse_customer);
    if (source.kind == "node")
        return add(target.nodes, source, value, parse_node);
    if (source.kind == "server")
        return add(target.servers, source, value, parse_server);
    if (source.kind == "active-preset" && source.name == "current")
    {
        BOOST_LEAF_ASSIGN(target.active_preset, parse_active_preset(value));
    }
    if (source.kind == "secret" && source.name == "event-id")
    {
        BOOST_LEAF_ASSIGN(target.event_id_key, base::read_string(value, "key"));
    }
    return {};
}

} // namespace

std::vector<std::string> const& replicated_kinds()
{
    static std::vector<std::string> const kinds{"preset",  "active-preset", "zone",
                                                "service", "customer",      "node",
                                                "server",  "placement",     "secret"};
    return kinds;
}

service const* snapshot::find_service_for_model(std::string const& model) const
{
    for (auto const& [name, candidate] : services)
        for (auto const& offered_model : candidate.models)
            if (offered_model == model)
                return &candidate;
    return nullptr;
}

bool snapshot::zone_in_service(std::string const& zone_name) const
{
    auto const found = zones.find(zone_name);
    return found == zones.end() || found->second.state == zone_state::in_service;
}

snapshot_ptr build_snapshot(versioned_store const& store, snapshot const* previous)
{
    auto new_snapshot = std::make_shared<snapshot>();
    new_snapshot->revision = store.revision();
    if (previous != nullptr)
        new_snapshot->active_preset = previous->active_preset;
    store.for_each(
        [&](store::object const& source)
        {
            base::handle([&]() -> base::result<void> { return add_object(*new_snapshot, source); },
                         [&](base::error const& failure)
                         {
                             base::log_line(base::log_level::error, "configuration_object_rejected")
                                 .field("kind", source.kind)
                                 .field("name", source.name)
                                 .field("version", source.version)
                                 .field("reason", failure.message);
                         });
        });
    for (auto const& [name, entry] : new_snapshot->customers)
        new_snapshot->customers_by_key.emplace(entry.api_key_sha256, name);
    return new_snapshot;
}

} // namespace jasminepier::configuration
