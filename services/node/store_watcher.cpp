#include "services/node/store_watcher.hpp"

#include "base/log.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/object_feed.hpp"

#include <algorithm>
#include <random>
#include <thread>

namespace jasminepier::node
{
namespace
{

// The store answers within 4 ms (sheets); slow days stretch that sixtyfold.
constexpr base::milliseconds call_timeout{1500};
// A watch that a silent store has lost is to end before the time bounds hold again, 3 s after the
// store's return (sheets), with the shortest wait of 2 s.
constexpr base::milliseconds watch_margin{800};
constexpr base::milliseconds first_pause{100};
constexpr base::milliseconds longest_pause{800};
// How soon a node notices that it is to follow a kind because another one died.
constexpr base::milliseconds place_check{200};

} // namespace

store::http_object_store_settings store_settings(node_state& state)
{
    store::http_object_store_settings settings;
    settings.host = state.settings()->store.host;
    settings.port = state.settings()->store.port;
    settings.call_timeout = call_timeout;
    settings.watch_margin = watch_margin;
    return settings;
}

store_watcher::store_watcher(node_state& state, change_callback publish_to_peers)
    : m_state(state), m_store(store_settings(state)),
      m_publish_to_peers(std::move(publish_to_peers))
{
    for (auto const& kind : followed_kinds())
        std::thread([this, &kind] { follow(kind); }).detach();
}

bool store_watcher::wait_for_place(std::string const& kind)
{
    // Configurations and evacuations change rarely, so every node follows them itself.
    if (kind != platform::server_kind && kind != platform::node_kind)
        return false;
    bool waited = false;
    while (true)
    {
        auto const now = base::steady_clock_source{}.now();
        bool const follows = m_state.with(
            [&](node_state::tables& tables)
            {
                bool const reached = !tables.dispatcher.directory().store_lost();
                // Nodes learn of each other by reports, so in large fleets nobody follows their
                // list.
                if (kind == platform::node_kind)
                    return !tables.nodes.relays_store();
                return tables.nodes.follows_store(kind, reached, now);
            });
        if (follows)
            return waited;
        waited = true;
        std::this_thread::sleep_for(place_check);
    }
}

void store_watcher::note_call(std::string const& kind, bool reached, std::string const& reason)
{
    auto const now = base::steady_clock_source{}.now();
    m_state.with(
        [&](node_state::tables& tables)
        {
            auto& directory = tables.dispatcher.directory();
            if (reached)
                directory.handle_store_reached(now);
            else
                directory.handle_store_lost(now);
        });
    if (m_reached.exchange(reached) == reached)
        return;
    observe_event("store", reached ? "regained" : "lost");
    base::log_line(reached ? base::log_level::info : base::log_level::warning,
                   reached ? "store_regained" : "store_lost")
        .field("kind", kind)
        .field("reason", reason);
}

void store_watcher::follow(std::string const& kind)
{
    std::optional<std::int64_t> version;
    auto pause = first_pause;
    base::random_source random(std::random_device{}());
    while (true)
    {
        if (version && wait_for_place(kind))
            version.reset();
        bool const listing = !version;
        auto const wait = m_state.with([&](node_state::tables& tables)
                                       { return tables.nodes.watch_timeout(random); });
        auto const begun = base::steady_clock_source{}.now();
        auto const outlived = [&]
        {
            return m_state.with(
                [&](node_state::tables& tables)
                { return tables.dispatcher.directory().store_returned_since(begun); });
        };
        auto const page = base::handle(
            [&]() -> base::result<std::optional<store::object_page>>
            {
                auto call =
                    listing ? m_store.list(kind) : m_store.watch(*version, {kind}, wait, outlived);
                if (!call)
                    return call.error();
                return std::optional(std::move(*call));
            },
            [&](base::error const& failure) -> std::optional<store::object_page>
            {
                if (failure.kind == base::error_kind::conflict)
                {
                    base::log_line(base::log_level::info, "history_lost").field("kind", kind);
                    version.reset();
                    pause = base::milliseconds(0);
                }
                else if (outlived())
                {
                    base::log_line(base::log_level::info, "watch_renewed").field("kind", kind);
                    pause = base::milliseconds(0);
                }
                else
                    note_call(kind, false, failure.message);
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
        note_call(kind, true, "");
        if (listing)
            apply_list(m_state, kind, *page);
        else
        {
            apply_events(m_state, kind, *page);
            bool const relays = m_state.with([](node_state::tables& tables)
                                             { return tables.nodes.relays_store(); });
            if (relays && kind == platform::server_kind)
                m_publish_to_peers(page->objects);
        }
        version = page->version;
    }
}

node_registrar::node_registrar(node_state& state) : m_state(state), m_store(store_settings(state))
{
}

bool node_registrar::write_own()
{
    auto const self = m_state.with([](node_state::tables& tables) { return tables.nodes.self(); });
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
    auto const silent = m_state.with(
        [&](node_state::tables& tables)
        {
            // One node cleans up; the others would only repeat the calls.
            bool const reached = !tables.dispatcher.directory().store_lost();
            return tables.nodes.follows_store(platform::node_kind, reached, now)
                       ? tables.nodes.nodes_past_removal_timeout(now)
                       : std::vector<std::string>{};
        });
    for (auto const& name : silent)
    {
        store::object entry;
        entry.kind = platform::node_kind;
        entry.name = name;
        base::log_line(base::log_level::info, "silent_node_found").field("node", name);
        auto const current = m_store.get(platform::node_kind, name);
        if (current)
            m_store.remove(*current);
        m_state.with([&](node_state::tables& tables) { tables.nodes.remove_listed(name); });
    }
}

} // namespace jasminepier::node
