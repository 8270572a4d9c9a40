#include "services/node/store_watcher.hpp"

#include "base/log.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/object_updates.hpp"

#include <algorithm>
#include <random>
#include <thread>

namespace jasminepier::node
{
namespace
{

// The store usually responds within 4 ms, and takes up to 60 times as long when it is slow.
constexpr base::milliseconds call_timeout{1500};
// A store that stops responding loses its pending watches. With the watch timeout of at most 2 s in
// small fleets, this margin ends them before the platform's limits on the delay of changes apply
// again, 3 s after the store's return.
constexpr base::milliseconds watch_margin{500};
constexpr base::milliseconds initial_backoff{100};
constexpr base::milliseconds maximum_backoff{800};
// Time within which a node takes over the watch of a failed node.
constexpr base::milliseconds follower_check_interval{100};

} // namespace

store::http_object_store_settings make_store_client_settings(node_state& state)
{
    store::http_object_store_settings settings;
    settings.host = state.settings()->store.host;
    settings.port = state.settings()->store.port;
    settings.call_timeout = call_timeout;
    settings.watch_margin = watch_margin;
    return settings;
}

store_watcher::store_watcher(node_state& state, change_callback publish_to_peers)
    : m_state(state), m_store(make_store_client_settings(state)),
      m_publish_to_peers(std::move(publish_to_peers))
{
    for (auto const& kind : watched_kinds())
        std::thread([this, &kind] { watch_kind(kind); }).detach();
    if (m_state.settings()->rollouts)
        std::thread([this] { watch_kind(platform::rollout_kind); }).detach();
}

bool store_watcher::wait_until_follower(std::string const& kind)
{
    bool waited = false;
    while (true)
    {
        auto const now = base::steady_clock_source{}.now();
        bool const calls_store = m_state.with(
            [&](node_state::tables& tables)
            {
                // The same nodes follow all kinds, so their reports tell the others whether the
                // store can be reached.
                tables.follows_store = tables.nodes.follows_store(platform::server_kind,
                                                                  !tables.store_call_failed, now);
                return tables.catch_up.should_call_store(kind, tables.catch_up_view(), now);
            });
        if (calls_store)
            return waited;
        waited = true;
        std::this_thread::sleep_for(follower_check_interval);
    }
}

void store_watcher::record_call_result(std::string const& kind, bool store_reached,
                                       std::string const& reason)
{
    auto const now = base::steady_clock_source{}.now();
    m_state.with(
        [&](node_state::tables& tables)
        {
            tables.store_call_failed = !store_reached;
            auto& directory = tables.dispatcher.directory();
            if (store_reached)
                directory.handle_store_reached(now);
            else
                directory.handle_store_lost(now);
        });
    if (m_store_reached.exchange(store_reached) == store_reached)
        return;
    // Another node follows the store as soon as it hears that this one has lost it.
    m_state.report_due().signal();
    observe_event("store", store_reached ? "regained" : "lost");
    base::log_line(store_reached ? base::log_level::info : base::log_level::warning,
                   store_reached ? "store_regained" : "store_lost")
        .field("kind", kind)
        .field("reason", reason);
}

void store_watcher::watch_kind(std::string const& kind)
{
    std::optional<std::int64_t> version;
    auto backoff = initial_backoff;
    base::random_source random(std::random_device{}());
    bool was_listed = false;
    while (true)
    {
        if (was_listed && wait_until_follower(kind))
            version.reset();
        // The revisions of a restored store are given out again, so a watch from one of an earlier
        // epoch could wait for changes that the store made before it.
        auto const is_from_earlier_epoch = [&]
        {
            return version && m_state.with(
                                  [&](node_state::tables& tables) {
                                      return tables.store_epoch &&
                                             *tables.store_epoch > store::epoch_of(*version);
                                  });
        };
        if (is_from_earlier_epoch())
        {
            base::log_line(base::log_level::info, "history_lost").field("kind", kind);
            version.reset();
        }
        bool const needs_list = !version;
        auto const watch_timeout = m_state.with(
            [&](node_state::tables& tables)
            {
                if (kind == platform::configuration_kind)
                    return tables.nodes.configuration_watch_timeout(random);
                if (kind == platform::node_kind)
                    return tables.nodes.node_watch_timeout(random);
                return tables.nodes.watch_timeout(random);
            });
        auto const call_start = base::steady_clock_source{}.now();
        if (needs_list)
            m_state.with([&](node_state::tables& tables)
                         { tables.catch_up.record_store_read_start(kind, call_start); });
        auto const store_returned = [&]
        {
            return m_state.with(
                [&](node_state::tables& tables)
                { return tables.dispatcher.directory().store_recovered_since(call_start); });
        };
        auto const read_due = [&]
        {
            return m_state.with(
                [&](node_state::tables& tables)
                {
                    auto const now = base::steady_clock_source{}.now();
                    return tables.catch_up.store_read_due(kind, now);
                });
        };
        auto const page = base::handle(
            [&]() -> base::result<std::optional<store::object_page>>
            {
                auto call = needs_list ? m_store.list(kind)
                                       : m_store.watch(*version, {kind}, watch_timeout,
                                                       [&] {
                                                           return store_returned() || read_due() ||
                                                                  is_from_earlier_epoch();
                                                       });
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
                    backoff = base::milliseconds(0);
                }
                else if (is_from_earlier_epoch())
                    backoff = base::milliseconds(0);
                else if (store_returned())
                {
                    base::log_line(base::log_level::info, "watch_renewed").field("kind", kind);
                    backoff = base::milliseconds(0);
                }
                else if (!needs_list && read_due())
                {
                    base::log_line(base::log_level::info, "watch_outdated").field("kind", kind);
                    version.reset();
                    backoff = base::milliseconds(0);
                }
                else
                    record_call_result(kind, false, failure.message);
                return std::nullopt;
            });
        if (!page)
        {
            std::uniform_int_distribution<std::int64_t> jitter(0, initial_backoff.count());
            std::this_thread::sleep_for(backoff + base::milliseconds(jitter(random)));
            backoff = std::clamp(backoff * 2, initial_backoff, maximum_backoff);
            continue;
        }
        backoff = initial_backoff;
        record_call_result(kind, true, "");
        if (needs_list)
            apply_list(m_state, kind, *page);
        else
        {
            apply_changes(m_state, kind, *page);
            bool const is_large_fleet = m_state.with([](node_state::tables& tables)
                                                     { return tables.nodes.is_large_fleet(); });
            // Configurations exceed a datagram; the other nodes pull them from their peers.
            if (is_large_fleet && kind != platform::configuration_kind)
                m_publish_to_peers(page->objects);
        }
        version = page->version;
        was_listed = true;
        m_state.with(
            [&](node_state::tables& tables)
            {
                tables.objects.record_complete(kind, page->version);
                if (needs_list)
                    tables.catch_up.record_store_read_success(kind);
            });
    }
}

node_registrar::node_registrar(node_state& state)
    : m_state(state), m_store(make_store_client_settings(state))
{
}

std::optional<std::int64_t> node_registrar::register_node()
{
    auto const self = m_state.with([](node_state::tables& tables) { return tables.nodes.self(); });
    auto result = m_store.create(platform::node_kind, self.name, platform::write_node(self));
    if (result.status == store::write_status::conflict)
    {
        auto const already_registered = base::handle(
            [&]() -> base::result<bool>
            {
                BOOST_LEAF_AUTO(entry, platform::parse_node(result.current));
                return entry == self;
            },
            // An invalid entry is replaced.
            [](base::error const&) { return false; });
        if (already_registered)
            return store::epoch_of(result.current.version);
        result.current.value = platform::write_node(self);
        result = m_store.update(result.current);
    }
    bool const written = result.status == store::write_status::applied;
    base::log_line(base::log_level::info, "node_registered").field("written", written ? 1 : 0);
    return written ? std::optional(store::epoch_of(result.current.version)) : std::nullopt;
}

void node_registrar::run_maintenance()
{
    if (m_passes_to_skip > 0)
    {
        --m_passes_to_skip;
        return;
    }
    remove_lost_evacuations(m_state);
    // A store that was restored from a copy may lack this node's entry.
    auto const epoch = m_state.with([](node_state::tables& tables) { return tables.store_epoch; });
    if (!m_registered_epoch || (epoch && *epoch > *m_registered_epoch))
    {
        m_registered_epoch = register_node();
        m_passes_to_skip = m_registered_epoch ? 0 : 1;
        return;
    }
    auto const now = base::steady_clock_source{}.now();
    auto const silent_nodes = m_state.with(
        [&](node_state::tables& tables)
        {
            // A single node removes stale entries, so that the others do not repeat its calls.
            return tables.nodes.follows_store(platform::server_kind, !tables.store_call_failed, now)
                       ? tables.nodes.nodes_past_removal_timeout(now)
                       : std::vector<std::string>{};
        });
    for (auto const& name : silent_nodes)
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
