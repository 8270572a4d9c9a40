#include "services/node/peer_object_sync.hpp"

#include "base/log.hpp"
#include "inner_protocol/conversion.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/object_updates.hpp"

namespace jasminepier::node
{
namespace
{

// A new configuration takes a few pulls to reach the last node of a zone.
constexpr std::chrono::milliseconds configuration_check_interval{200};
// Servers announce their removal 1.5 to 2 s ahead, so changes are still useful half a second late.
constexpr int checks_per_object_check = 2;
constexpr std::chrono::milliseconds pull_timeout{800};

class node_peer_handler : public inner_protocol::node_peerIf
{
public:
    explicit node_peer_handler(node_state& state) : m_state(state) {}

    void pull_objects(inner_protocol::configuration_page& page, std::int64_t since) override
    {
        auto const objects = m_state.with([&](node_state::tables& tables)
                                          { return tables.objects.objects_newer_than(since); });
        page.revision = since;
        for (auto const& object : objects)
        {
            page.objects.push_back(inner_protocol::to_thrift(object));
            page.revision = std::max(page.revision, object.version);
        }
    }

private:
    node_state& m_state;
};

} // namespace

peer_object_sync::peer_object_sync(node_state& state)
    : m_state(state), m_server(std::make_unique<inner_protocol::rpc_server>(
                          std::make_shared<inner_protocol::node_peerProcessor>(
                              std::make_shared<node_peer_handler>(state)),
                          state.settings()->host, state.settings()->peer_port)),
      m_pull_thread(configuration_check_interval, [this] { pull_if_needed(); })
{
}

std::optional<serving::node_entry>
peer_object_sync::find_configuration_source(node_state::tables& tables, base::time_point now)
{
    auto const revision = tables.configuration_revision();
    auto source = tables.nodes.configuration_source(
        platform::server_kind, revision, m_configuration_pulls.use_any_peer(), now, tables.random);
    bool const behind = !tables.nodes.peers_with_newer_configuration(revision, now).empty();
    m_configuration_pulls.record_check(behind, source.has_value());
    return source;
}

std::vector<serving::node_entry> peer_object_sync::find_up_to_date_peers(node_state::tables& tables,
                                                                         std::int64_t& since,
                                                                         base::time_point now)
{
    since =
        serving::pull_start_revision(tables.objects.revision(), tables.configuration_revision());
    if (auto const source = find_configuration_source(tables, now))
        return {*source};
    bool const check_objects = m_check_count++ % checks_per_object_check == 0;
    if (!check_objects)
        return {};
    if (!tables.configuration || tables.store_call_failed)
    {
        since = tables.configuration ? tables.objects.revision() : 0;
        return tables.nodes.peers_reaching_store(now);
    }
    auto up_to_date_peers = tables.nodes.peers_with_newer_objects(tables.objects.revision(), now);
    bool const receives_changes_from_peers = tables.nodes.is_large_fleet() && !tables.follows_store;
    if (up_to_date_peers.empty() && receives_changes_from_peers)
        if (auto const different_peer = tables.nodes.follower_with_different_servers(
                platform::server_kind, tables.objects.digest(platform::server_kind), now))
            up_to_date_peers.push_back(*different_peer);
    // Published changes take a moment to arrive, so only act if this node is behind twice in a row.
    bool const persistently_behind = !up_to_date_peers.empty() && m_was_behind;
    m_was_behind = !up_to_date_peers.empty();
    if (!persistently_behind)
        up_to_date_peers.clear();
    return up_to_date_peers;
}

void peer_object_sync::pull_if_needed()
{
    auto const now = base::steady_clock_source{}.now();
    std::int64_t since = 0;
    auto const source = m_state.with(
        [&](node_state::tables& tables) -> std::optional<serving::node_entry>
        {
            auto const candidates = find_up_to_date_peers(tables, since, now);
            if (candidates.empty())
                return std::nullopt;
            // A random choice, so that a peer that has just failed does not block every pull.
            std::uniform_int_distribution<std::size_t> random_index(0, candidates.size() - 1);
            return candidates[random_index(tables.random)];
        });
    if (!source)
        return;
    inner_protocol::rpc_client<inner_protocol::node_peerClient> client(
        source->peer_host, source->peer_port, pull_timeout);
    auto const pulled = client.call(
        [&](inner_protocol::node_peerClient& peer)
        {
            inner_protocol::configuration_page page;
            peer.pull_objects(page, since);
            return page;
        });
    if (!pulled)
    {
        m_configuration_pulls.record_failed_pull();
        observe_event("peer_pull", "failed");
        base::log_line(base::log_level::info, "peer_pull_failed").field("peer", source->name);
        return;
    }
    auto const objects = inner_protocol::from_thrift(pulled->objects);
    if (objects.empty())
        return;
    base::log_line(base::log_level::info, "objects_pulled")
        .field("peer", source->name)
        .field("objects", objects.size())
        .field("since", since)
        .field("revision", pulled->revision);
    for (auto const& kind : watched_kinds())
    {
        store::object_page page;
        page.version = pulled->revision;
        for (auto const& object : objects)
            if (object.kind == kind)
                page.objects.push_back(object);
        apply_changes(m_state, kind, page);
    }
}

} // namespace jasminepier::node
