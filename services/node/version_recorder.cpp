#include "services/node/version_recorder.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/store_watcher.hpp"
#include "store/object_version.hpp"

#include <algorithm>

namespace jasminepier::node
{
namespace
{

// Time that each node has for a write before the next one tries. Writes are conditional, so two at
// once do no harm.
constexpr base::milliseconds write_turn{2000};

std::string join(std::set<std::string> const& names)
{
    std::string text;
    for (auto const& name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

} // namespace

version_recorder::version_recorder(node_state& state)
    : m_state(state), m_store(make_store_client_settings(state))
{
}

void version_recorder::apply_object(store::object const& object)
{
    if (object.deleted)
    {
        m_objects.erase(object.name);
        return;
    }
    m_objects[object.name] = object;
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(versions, platform::parse_versions(object));
            auto const now = base::steady_clock_source{}.now();
            m_state.with(
                [&](node_state::tables& tables) {
                    tables.dispatcher.version_histories()[object.name].record_stored(versions, now);
                });
            base::log_line(base::log_level::info, "versions_recorded")
                .field("service", object.name)
                .field("versions", join(versions))
                .field("revision", store::format_version(object.version));
            return {};
        },
        [&](base::error const& failure)
        {
            base::log_line(base::log_level::warning, "object_unreadable")
                .field("kind", object.kind)
                .field("name", object.name)
                .field("revision", store::format_version(object.version))
                .field("reason", failure.message);
        });
}

bool version_recorder::needs_read()
{
    auto const epoch = m_state.with([](node_state::tables& tables) { return tables.store_epoch; });
    return !m_was_read || (epoch && *epoch > m_epoch);
}

bool version_recorder::read_record()
{
    return base::handle(
        [&]() -> base::result<bool>
        {
            BOOST_LEAF_AUTO(page, m_store.list(platform::version_kind));
            m_epoch = store::epoch_of(page.version);
            m_objects.clear();
            m_state.with(
                [](node_state::tables& tables)
                {
                    for (auto& [service, history] : tables.dispatcher.version_histories())
                        history.forget_stored();
                });
            for (auto const& object : page.objects)
                apply_object(object);
            return true;
        },
        [](base::error const&) { return false; });
}

bool version_recorder::is_turn(std::string const& service, base::time_point pending_since,
                               base::time_point now)
{
    return m_state.with(
        [&](node_state::tables& tables)
        {
            if (tables.store_call_failed || !tables.follows_store)
                return false;
            auto const key = "versions/" + service;
            auto const weight = base::rendezvous_weight(key, tables.nodes.self().name);
            auto const peers = tables.nodes.peers_reaching_store(now);
            auto const ahead = std::count_if(
                peers.begin(), peers.end(),
                [&](auto const& peer) { return base::rendezvous_weight(key, peer.name) > weight; });
            return now >= pending_since + ahead * write_turn;
        });
}

void version_recorder::write_if_due(std::string const& service,
                                    std::set<std::string> const& versions)
{
    auto const now = base::steady_clock_source{}.now();
    auto& pending = m_pending[service];
    if (pending.versions != versions)
        pending = {versions, now};
    if (!is_turn(service, pending.since, now))
        return;
    auto const known = m_objects.find(service);
    store::write_outcome result;
    if (known == m_objects.end())
        result =
            m_store.create(platform::version_kind, service, platform::write_versions(versions));
    else
    {
        auto changed = known->second;
        changed.value = platform::write_versions(versions);
        result = m_store.update(changed);
    }
    bool const applied = result.status == store::write_status::applied;
    observe_event("version_record", applied ? "applied" : "failed");
    if (!applied && result.status != store::write_status::conflict)
        return;
    result.current.kind = platform::version_kind;
    result.current.name = service;
    apply_object(result.current);
}

void version_recorder::run_maintenance()
{
    if (needs_read())
    {
        m_was_read = read_record();
        if (!m_was_read)
            return;
    }
    auto const now = base::steady_clock_source{}.now();
    std::map<std::string, std::set<std::string>> changed;
    m_state.with(
        [&](node_state::tables& tables)
        {
            tables.dispatcher.observe_versions(now);
            for (auto const& [service, history] : tables.dispatcher.version_histories())
                if (auto versions = history.versions();
                    !versions.empty() && versions != history.stored())
                    changed[service] = std::move(versions);
        });
    std::erase_if(m_pending, [&](auto const& item) { return !changed.contains(item.first); });
    for (auto const& [service, versions] : changed)
        write_if_due(service, versions);
}

} // namespace jasminepier::node
