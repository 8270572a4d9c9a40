#include "services/node/store_watcher.hpp"

#include "base/log.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"

#include <algorithm>
#include <random>

namespace jasminepier::node
{
namespace
{

// The store answers within 4 ms (sheets); slow days stretch that sixtyfold.
constexpr base::milliseconds call_timeout{1500};
// Longest that a watch waits. Each return costs a call; keep-alive probes find a silent store.
constexpr base::milliseconds watch_timeout{10000};
constexpr base::milliseconds first_pause{100};
constexpr base::milliseconds longest_pause{800};

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

void log_server(node_state::tables& held, std::string const& id, std::int64_t revision)
{
    auto const found = held.dispatcher.directory().servers().find(id);
    if (found == held.dispatcher.directory().servers().end())
        return;
    constexpr std::string_view phases[] = {"ready", "draining", "lapsed", "gone"};
    base::log_line(base::log_level::info, "server_changed")
        .field("server", id)
        .field("address", found->second.entry.address)
        .field("phase", phases[static_cast<std::size_t>(found->second.phase)])
        .field("revision", revision);
}

void apply_server_list(node_state& state, store::object_page const& page)
{
    std::vector<serving::server_entry> entries;
    for (auto const& item : page.objects)
        if (auto entry = read_entry<serving::server_entry>(item, platform::parse_server))
            entries.push_back(std::move(*entry));
    auto const now = base::steady_clock_source{}.now();
    state.with(
        [&](node_state::tables& held)
        {
            held.dispatcher.directory().apply_list(entries, page.version, now);
            held.dispatcher.notify_leaving();
            wake_waiting(held);
        });
    base::log_line(base::log_level::info, "servers_listed")
        .field("servers", entries.size())
        .field("revision", page.version);
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
            [&](node_state::tables& held)
            {
                auto& directory = held.dispatcher.directory();
                if (entry)
                    directory.apply_entry(*entry, now);
                else
                    directory.apply_removal(item.name, item.version, now);
                log_server(held, item.name, item.version);
                held.dispatcher.notify_leaving();
                wake_waiting(held);
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
            [&](node_state::tables& held)
            {
                // A stale read must not bring an older configuration back.
                if (held.configuration && held.configuration->revision >= (*parsed)->revision)
                    return false;
                held.configuration = *parsed;
                held.dispatcher.set_configuration(*parsed);
                if (held.nodes.phase() == serving::node_phase::starting)
                    held.nodes.set_phase(serving::node_phase::ready);
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

void set_zone(node_state& state, std::string const& zone, bool evacuated, std::int64_t revision)
{
    state.with(
        [&](node_state::tables& held)
        {
            auto zones = held.dispatcher.evacuated_zones();
            if (evacuated)
                zones.insert(zone);
            else
                zones.erase(zone);
            held.dispatcher.set_evacuated_zones(std::move(zones));
        });
    base::log_line(base::log_level::info, "zone_changed")
        .field("zone", zone)
        .field("evacuated", evacuated ? 1 : 0)
        .field("revision", revision);
}

void apply_zone_list(node_state& state, store::object_page const& page)
{
    std::set<std::string> zones;
    for (auto const& item : page.objects)
        zones.insert(item.name);
    base::log_line(base::log_level::info, "zones_listed")
        .field("evacuated", zones.size())
        .field("revision", page.version);
    state.with([&](node_state::tables& held)
               { held.dispatcher.set_evacuated_zones(std::move(zones)); });
}

void apply_node_list(node_state& state, store::object_page const& page)
{
    std::vector<serving::node_entry> entries;
    for (auto const& item : page.objects)
        if (auto entry = read_entry<serving::node_entry>(item, platform::parse_node))
            entries.push_back(std::move(*entry));
    auto const now = base::steady_clock_source{}.now();
    state.with([&](node_state::tables& held) { held.nodes.apply_listed(entries, now); });
    base::log_line(base::log_level::info, "nodes_listed").field("nodes", entries.size());
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
            [&](node_state::tables& held)
            {
                if (entry)
                    held.nodes.add_listed(*entry, now);
                else
                    held.nodes.remove_listed(item.name);
            });
        base::log_line(base::log_level::info, "node_changed")
            .field("node", item.name)
            .field("listed", entry ? 1 : 0);
    }
}

} // namespace

store::http_object_store_settings store_settings(node_state& state)
{
    store::http_object_store_settings settings;
    settings.host = state.settings()->store.host;
    settings.port = state.settings()->store.port;
    settings.call_timeout = call_timeout;
    settings.watch_timeout = watch_timeout;
    return settings;
}

std::vector<watched_kind> make_watched_kinds(node_state& state)
{
    auto const bind = [&state](auto function)
    { return [&state, function](store::object_page const& page) { function(state, page); }; };
    return {
        {platform::configuration_kind, bind(apply_configuration), bind(apply_configuration)},
        {platform::server_kind, bind(apply_server_list), bind(apply_server_events)},
        {platform::evacuation_kind, bind(apply_zone_list),
         [&state](store::object_page const& page)
         {
             for (auto const& item : page.objects)
                 set_zone(state, item.name, !item.deleted, item.version);
         }},
        {platform::node_kind, bind(apply_node_list), bind(apply_node_events)},
    };
}

store_watcher::store_watcher(node_state& state, std::vector<watched_kind> kinds)
    : m_state(state), m_store(store_settings(state)), m_kinds(std::move(kinds))
{
    for (auto const& kind : m_kinds)
        m_threads.emplace_back([this, &kind] { follow(kind); }).detach();
}

void store_watcher::note_call(std::string const& kind, bool reached, std::string const& reason)
{
    auto const now = base::steady_clock_source{}.now();
    m_state.with(
        [&](node_state::tables& held)
        {
            auto& directory = held.dispatcher.directory();
            if (reached)
                directory.note_store_reached(now);
            else
                directory.note_store_lost(now);
        });
    if (m_reached.exchange(reached) == reached)
        return;
    observe_event("store", reached ? "regained" : "lost");
    base::log_line(reached ? base::log_level::info : base::log_level::warning,
                   reached ? "store_regained" : "store_lost")
        .field("kind", kind)
        .field("reason", reason);
}

void store_watcher::follow(watched_kind const& kind)
{
    std::optional<std::int64_t> version;
    auto pause = first_pause;
    base::random_source random(std::random_device{}());
    while (true)
    {
        bool const listing = !version;
        auto const page = base::handle(
            [&]() -> base::result<std::optional<store::object_page>>
            {
                auto call =
                    listing ? m_store.list(kind.kind) : m_store.watch(*version, {kind.kind});
                if (!call)
                    return call.error();
                return std::optional(std::move(*call));
            },
            [&](base::error const& failure) -> std::optional<store::object_page>
            {
                if (failure.kind == base::error_kind::conflict)
                {
                    base::log_line(base::log_level::info, "history_lost").field("kind", kind.kind);
                    version.reset();
                    pause = base::milliseconds(0);
                }
                else
                    note_call(kind.kind, false, failure.message);
                return std::nullopt;
            });
        if (!page)
        {
            std::uniform_int_distribution<std::int64_t> jitter(0, first_pause.count());
            std::this_thread::sleep_for(pause + base::milliseconds(jitter(random)));
            pause = std::clamp(pause * 2, first_pause, longest_pause);
            continue;
        }
        pause = first_pause;
        note_call(kind.kind, true, "");
        if (listing)
            kind.apply_list(*page);
        else
            kind.apply_events(*page);
        version = page->version;
    }
}

node_registrar::node_registrar(node_state& state) : m_state(state), m_store(store_settings(state))
{
}

bool node_registrar::write_own()
{
    auto const self = m_state.with([](node_state::tables& held) { return held.nodes.self(); });
    auto outcome = m_store.create(platform::node_kind, self.name, platform::write_node(self));
    if (outcome.status == store::write_status::conflict)
    {
        auto const same = base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(entry, platform::parse_node(outcome.current));
                return entry == self;
            },
            // An entry that cannot be read is replaced.
            [](base::error const&) { return false; });
        if (same)
            return true;
        outcome.current.value = platform::write_node(self);
        outcome = m_store.update(outcome.current);
    }
    bool const written = outcome.status == store::write_status::applied;
    base::log_line(base::log_level::info, "node_registered").field("written", written ? 1 : 0);
    return written;
}

void node_registrar::take_turn()
{
    if (m_pause > 0)
    {
        --m_pause;
        return;
    }
    if (!m_written)
    {
        m_written = write_own();
        m_pause = m_written ? 0 : 1;
        return;
    }
    auto const now = base::steady_clock_source{}.now();
    auto const silent =
        m_state.with([&](node_state::tables& held) { return held.nodes.long_silent(now); });
    for (auto const& name : silent)
    {
        store::object entry;
        entry.kind = platform::node_kind;
        entry.name = name;
        base::log_line(base::log_level::info, "silent_node_found").field("node", name);
        auto const current = m_store.get(platform::node_kind, name);
        if (current)
            m_store.remove(*current);
        m_state.with([&](node_state::tables& held) { held.nodes.remove_listed(name); });
    }
}

} // namespace jasminepier::node
