#include "services/node/object_updates.hpp"

#include "base/log.hpp"
#include "platform/objects.hpp"

#include <set>

namespace jasminepier::node
{
namespace
{

// Changes of nodes in one response that are logged one by one.
constexpr std::size_t maximum_logged_nodes = 16;

template <class T, class Parse>
std::optional<T> parse_or_log(store::object const& object, Parse&& parse)
{
    return base::handle(
        [&]() -> base::result<std::optional<T>>
        {
            BOOST_LEAF_AUTO(entry, parse(object));
            return std::optional<T>(std::move(entry));
        },
        [&](base::error const& failure) -> std::optional<T>
        {
            base::log_line(base::log_level::warning, "object_unreadable")
                .field("kind", object.kind)
                .field("name", object.name)
                .field("revision", object.version)
                .field("reason", failure.message);
            return std::nullopt;
        });
}

void log_server_change(node_state::tables& tables, std::string const& id, std::int64_t revision)
{
    auto const server = tables.dispatcher.directory().servers().find(id);
    if (server == tables.dispatcher.directory().servers().end())
        return;
    constexpr std::string_view phases[] = {"ready", "draining", "lapsed", "gone"};
    base::log_line(base::log_level::info, "server_changed")
        .field("server", id)
        .field("address", server->second.entry.address)
        .field("phase", phases[static_cast<std::size_t>(server->second.phase)])
        .field("revision", revision);
}

void apply_server_changes(node_state& state, store::object_page const& page)
{
    auto const now = base::steady_clock_source{}.now();
    for (auto const& object : page.objects)
    {
        // An invalid entry counts as a removal, since it names no usable server.
        auto const entry =
            object.deleted ? std::nullopt
                           : parse_or_log<serving::server_entry>(object, platform::parse_server);
        state.with(
            [&](node_state::tables& tables)
            {
                auto& directory = tables.dispatcher.directory();
                if (entry)
                    directory.apply_entry(*entry, now);
                else
                    directory.apply_removal(object.name, object.version, now);
                log_server_change(tables, object.name, object.version);
                tables.dispatcher.notify_leaving();
                notify_waiting_requests(tables);
            });
    }
}

void apply_configuration(node_state& state, store::object_page const& page)
{
    for (auto const& object : page.objects)
    {
        if (object.name != platform::configuration_name || object.deleted)
            continue;
        auto const parsed = parse_or_log<std::shared_ptr<serving::fleet_configuration const>>(
            object, platform::parse_configuration);
        if (!parsed)
            continue;
        bool const is_newer = state.with(
            [&](node_state::tables& tables)
            {
                // A stale read must not replace a newer configuration.
                if (tables.configuration && tables.configuration->revision >= (*parsed)->revision)
                    return false;
                tables.configuration = *parsed;
                tables.dispatcher.set_configuration(*parsed);
                if (tables.nodes.phase() == serving::node_phase::starting)
                    tables.nodes.set_phase(serving::node_phase::ready);
                notify_waiting_requests(tables);
                return true;
            });
        if (!is_newer)
            continue;
        // Peers that pull their configuration from this node learn of it from the report.
        state.report_due().signal();
        base::log_line(base::log_level::info, "configuration_applied")
            .field("version", (*parsed)->version)
            .field("revision", (*parsed)->revision)
            .field("routes", (*parsed)->route_count())
            .field("keys", (*parsed)->customers_by_key.size());
    }
}

void apply_zone_changes(node_state& state, store::object_page const& page)
{
    for (auto const& object : page.objects)
    {
        bool const evacuated = state.with(
            [&](node_state::tables& tables)
            {
                // Another thread may have stored a newer change since this one.
                bool const is_stored = tables.objects.find(object.kind, object.name) != nullptr;
                auto zones = tables.dispatcher.evacuated_zones();
                if (is_stored)
                    zones.insert(object.name);
                else
                    zones.erase(object.name);
                tables.dispatcher.set_evacuated_zones(std::move(zones));
                return is_stored;
            });
        base::log_line(base::log_level::info, "zone_changed")
            .field("zone", object.name)
            .field("evacuated", evacuated ? 1 : 0)
            .field("revision", object.version);
    }
}

void apply_node_changes(node_state& state, store::object_page const& page)
{
    auto const now = base::steady_clock_source{}.now();
    for (auto const& object : page.objects)
    {
        auto const entry = object.deleted
                               ? std::nullopt
                               : parse_or_log<serving::node_entry>(object, platform::parse_node);
        state.with(
            [&](node_state::tables& tables)
            {
                if (entry)
                    tables.nodes.add_listed(*entry, now);
                else
                    tables.nodes.remove_listed(object.name);
            });
        // A list of a large fleet would fill the log; objects_listed gives its size.
        if (page.objects.size() <= maximum_logged_nodes)
            base::log_line(base::log_level::info, "node_changed")
                .field("node", object.name)
                .field("listed", entry ? 1 : 0);
    }
}

void dispatch_changes(node_state& state, std::string const& kind, store::object_page const& page)
{
    if (kind == platform::configuration_kind)
        apply_configuration(state, page);
    else if (kind == platform::server_kind)
        apply_server_changes(state, page);
    else if (kind == platform::evacuation_kind)
        apply_zone_changes(state, page);
    else if (kind == platform::node_kind)
        apply_node_changes(state, page);
}

} // namespace

std::vector<std::string> const& watched_kinds()
{
    static std::vector<std::string> const kinds{platform::configuration_kind, platform::server_kind,
                                                platform::evacuation_kind, platform::node_kind};
    return kinds;
}

void apply_list(node_state& state, std::string const& kind, store::object_page page)
{
    auto const listed_count = page.objects.size();
    std::set<std::string> names;
    for (auto const& object : page.objects)
        names.insert(object.name);
    state.with(
        [&](node_state::tables& tables)
        {
            if (kind == platform::server_kind)
                tables.dispatcher.directory().record_list(base::steady_clock_source{}.now());
            tables.objects.for_each(
                [&](store::object const& stored)
                {
                    bool const unlisted = stored.kind == kind && !names.contains(stored.name);
                    if (unlisted && stored.version <= page.version)
                        page.objects.push_back({kind, stored.name, page.version, "", true});
                });
        });
    base::log_line(base::log_level::info, "objects_listed")
        .field("kind", kind)
        .field("objects", listed_count)
        .field("removed", page.objects.size() - listed_count)
        .field("revision", page.version);
    apply_changes(state, kind, page);
}

void apply_changes(node_state& state, std::string const& kind, store::object_page const& page)
{
    store::object_page new_changes;
    new_changes.version = page.version;
    state.with(
        [&](node_state::tables& tables)
        {
            for (auto const& object : page.objects)
                if (tables.objects.merge({&object, 1}))
                    new_changes.objects.push_back(object);
        });
    if (!new_changes.objects.empty())
        dispatch_changes(state, kind, new_changes);
}

} // namespace jasminepier::node
