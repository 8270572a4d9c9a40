#include "services/node/object_feed.hpp"

#include "base/log.hpp"
#include "platform/objects.hpp"

#include <set>

namespace jasminepier::node
{
namespace
{

template <class T, class Parse>
std::optional<T> read_entry(store::object const& source, Parse&& parse)
{
    return base::handle(
        [&]() -> base::result<std::optional<T>>
        {
            BOOST_LEAF_AUTO(entry, parse(source));
            return std::optional<T>(std::move(entry));
        },
        [&](base::error const& failure) -> std::optional<T>
        {
            base::log_line(base::log_level::warning, "object_unreadable")
                .field("kind", source.kind)
                .field("name", source.name)
                .field("revision", source.version)
                .field("reason", failure.message);
            return std::nullopt;
        });
}

void log_server(node_state::tables& tables, std::string const& id, std::int64_t revision)
{
    auto const found = tables.dispatcher.directory().servers().find(id);
    if (found == tables.dispatcher.directory().servers().end())
        return;
    constexpr std::string_view phases[] = {"ready", "draining", "lapsed", "gone"};
    base::log_line(base::log_level::info, "server_changed")
        .field("server", id)
        .field("address", found->second.entry.address)
        .field("phase", phases[static_cast<std::size_t>(found->second.phase)])
        .field("revision", revision);
}

void apply_server_events(node_state& state, store::object_page const& page)
{
    auto const now = base::steady_clock_source{}.now();
    for (auto const& item : page.objects)
    {
        // An entry that cannot be read names no server to use.
        auto const entry = item.deleted
                               ? std::nullopt
                               : read_entry<serving::server_entry>(item, platform::parse_server);
        state.with(
            [&](node_state::tables& tables)
            {
                auto& directory = tables.dispatcher.directory();
                if (entry)
                    directory.apply_entry(*entry, now);
                else
                    directory.apply_removal(item.name, item.version, now);
                log_server(tables, item.name, item.version);
                tables.dispatcher.notify_leaving();
                notify_waiting_requests(tables);
            });
    }
}

void apply_configuration(node_state& state, store::object_page const& page)
{
    for (auto const& item : page.objects)
    {
        if (item.name != platform::configuration_name || item.deleted)
            continue;
        auto const parsed = read_entry<std::shared_ptr<serving::fleet_configuration const>>(
            item, platform::parse_configuration);
        if (!parsed)
            continue;
        bool const newer = state.with(
            [&](node_state::tables& tables)
            {
                // A stale read must not bring an older configuration back.
                if (tables.configuration && tables.configuration->revision >= (*parsed)->revision)
                    return false;
                tables.configuration = *parsed;
                tables.dispatcher.set_configuration(*parsed);
                if (tables.nodes.phase() == serving::node_phase::starting)
                    tables.nodes.set_phase(serving::node_phase::ready);
                return true;
            });
        if (newer)
            base::log_line(base::log_level::info, "configuration_applied")
                .field("version", (*parsed)->version)
                .field("revision", (*parsed)->revision)
                .field("routes", (*parsed)->route_count())
                .field("keys", (*parsed)->customers_by_key.size());
    }
}

void apply_zone(node_state& state, std::string const& zone, bool evacuated, std::int64_t revision)
{
    state.with(
        [&](node_state::tables& tables)
        {
            auto zones = tables.dispatcher.evacuated_zones();
            if (evacuated)
                zones.insert(zone);
            else
                zones.erase(zone);
            tables.dispatcher.set_evacuated_zones(std::move(zones));
        });
    base::log_line(base::log_level::info, "zone_changed")
        .field("zone", zone)
        .field("evacuated", evacuated ? 1 : 0)
        .field("revision", revision);
}

void apply_node_events(node_state& state, store::object_page const& page)
{
    auto const now = base::steady_clock_source{}.now();
    for (auto const& item : page.objects)
    {
        auto const entry = item.deleted
                               ? std::nullopt
                               : read_entry<serving::node_entry>(item, platform::parse_node);
        state.with(
            [&](node_state::tables& tables)
            {
                if (entry)
                    tables.nodes.add_listed(*entry, now);
                else
                    tables.nodes.remove_listed(item.name);
            });
        base::log_line(base::log_level::info, "node_changed")
            .field("node", item.name)
            .field("listed", entry ? 1 : 0);
    }
}

void apply_zone_events(node_state& state, store::object_page const& page)
{
    for (auto const& item : page.objects)
        apply_zone(state, item.name, !item.deleted, item.version);
}

void apply_changes(node_state& state, std::string const& kind, store::object_page const& page)
{
    if (kind == platform::configuration_kind)
        apply_configuration(state, page);
    else if (kind == platform::server_kind)
        apply_server_events(state, page);
    else if (kind == platform::evacuation_kind)
        apply_zone_events(state, page);
    else if (kind == platform::node_kind)
        apply_node_events(state, page);
}

} // namespace

std::vector<std::string> const& followed_kinds()
{
    static std::vector<std::string> const kinds{platform::configuration_kind, platform::server_kind,
                                                platform::evacuation_kind, platform::node_kind};
    return kinds;
}

void apply_list(node_state& state, std::string const& kind, store::object_page page)
{
    auto const listed = page.objects.size();
    std::set<std::string> names;
    for (auto const& item : page.objects)
        names.insert(item.name);
    state.with(
        [&](node_state::tables& tables)
        {
            tables.objects.for_each(
                [&](store::object const& known)
                {
                    bool const missing = known.kind == kind && !names.contains(known.name);
                    if (missing && known.version <= page.version)
                        page.objects.push_back({kind, known.name, page.version, "", true});
                });
        });
    base::log_line(base::log_level::info, "objects_listed")
        .field("kind", kind)
        .field("objects", listed)
        .field("removed", page.objects.size() - listed)
        .field("revision", page.version);
    apply_events(state, kind, page);
}

void apply_events(node_state& state, std::string const& kind, store::object_page const& page)
{
    store::object_page news;
    news.version = page.version;
    state.with(
        [&](node_state::tables& tables)
        {
            for (auto const& item : page.objects)
                if (tables.objects.merge({&item, 1}))
                    news.objects.push_back(item);
        });
    if (!news.objects.empty())
        apply_changes(state, kind, news);
}

} // namespace jasminepier::node
