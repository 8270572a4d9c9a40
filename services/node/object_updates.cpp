#include "services/node/object_updates.hpp"

#include "base/log.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/rollout_agent.hpp"
#include "store/object_version.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace jasminepier::node
{
namespace
{

// Changes of nodes in one response that are logged one by one.
constexpr std::size_t maximum_logged_nodes = 16;
// Evacuations that a restored store lacks stay in force for this time, in which the operator writes
// them again.
constexpr base::milliseconds lost_evacuation_grace_period{5000};

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
                .field("revision", store::format_version(object.version))
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
        .field("revision", store::format_version(revision));
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
            .field("revision", store::format_version((*parsed)->revision))
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
            .field("revision", store::format_version(object.version));
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

/// Notes the epoch of objects that the store has returned to this node or to a peer.
void record_epoch(node_state& state, std::int64_t version)
{
    auto const now = base::steady_clock_source{}.now();
    auto const epoch = store::epoch_of(version);
    bool const was_restored = state.with(
        [&](node_state::tables& tables)
        {
            bool const is_first = !tables.store_epoch;
            if (!is_first && epoch <= *tables.store_epoch)
                return false;
            tables.store_epoch = epoch;
            if (is_first)
                return false;
            tables.store_restored_at = now;
            tables.dispatcher.directory().handle_store_restored(now);
            return true;
        });
    if (!was_restored)
        return;
    observe_event("store", "restored");
    base::log_line(base::log_level::warning, "store_restored").field("epoch", epoch);
}

/// True if the object is a configuration that is older than the one in force: a store restored from
/// a copy returns it until the operator has written the newer one again.
bool is_outdated_configuration(node_state& state, store::object const& object)
{
    auto const current = state.configuration();
    bool const from_later_epoch =
        current && object.name == platform::configuration_name && !object.deleted &&
        store::epoch_of(object.version) > store::epoch_of(current->revision);
    if (!from_later_epoch)
        return false;
    auto const parsed = parse_or_log<std::shared_ptr<serving::fleet_configuration const>>(
        object, platform::parse_configuration);
    if (!parsed || (*parsed)->version >= current->version)
        return false;
    base::log_line(base::log_level::warning, "configuration_outdated")
        .field("version", (*parsed)->version)
        .field("revision", store::format_version(object.version))
        .field("in_force", current->version);
    return true;
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
    else if (kind == platform::rollout_kind)
        apply_rollout_changes(state, page);
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
    record_epoch(state, page.version);
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
                    // See `remove_lost_evacuations`.
                    bool const may_be_written_again =
                        kind == platform::evacuation_kind &&
                        store::epoch_of(stored.version) < store::epoch_of(page.version);
                    if (unlisted && stored.version <= page.version && !may_be_written_again)
                        page.objects.push_back({kind, stored.name, page.version, "", true});
                });
        });
    base::log_line(base::log_level::info, "objects_listed")
        .field("kind", kind)
        .field("objects", listed_count)
        .field("removed", page.objects.size() - listed_count)
        .field("revision", store::format_version(page.version));
    apply_changes(state, kind, page);
}

void apply_changes(node_state& state, std::string const& kind, store::object_page const& page)
{
    store::object_page new_changes;
    new_changes.version = page.version;
    record_epoch(state, page.version);
    auto const is_outdated = [&](store::object const& object)
    { return kind == platform::configuration_kind && is_outdated_configuration(state, object); };
    std::vector<store::object> changes;
    std::copy_if(page.objects.begin(), page.objects.end(), std::back_inserter(changes),
                 [&](store::object const& object) { return !is_outdated(object); });
    state.with(
        [&](node_state::tables& tables)
        {
            for (auto const& object : changes)
                if (tables.objects.merge({&object, 1}))
                    new_changes.objects.push_back(object);
        });
    if (!new_changes.objects.empty())
        dispatch_changes(state, kind, new_changes);
}

void remove_lost_evacuations(node_state& state)
{
    auto const now = base::steady_clock_source{}.now();
    store::object_page removals;
    state.with(
        [&](node_state::tables& tables)
        {
            auto const complete = tables.objects.complete_revision(platform::evacuation_kind);
            removals.version = complete;
            if (!tables.store_restored_at ||
                now < *tables.store_restored_at + lost_evacuation_grace_period)
                return;
            tables.objects.for_each(
                [&](store::object const& stored)
                {
                    if (stored.kind == platform::evacuation_kind &&
                        store::epoch_of(stored.version) < store::epoch_of(complete))
                        removals.objects.push_back({stored.kind, stored.name, complete, "", true});
                });
        });
    if (!removals.objects.empty())
        apply_changes(state, platform::evacuation_kind, removals);
}

} // namespace jasminepier::node
