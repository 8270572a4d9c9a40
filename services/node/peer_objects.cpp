#include "services/node/peer_objects.hpp"

#include "base/log.hpp"
#include "inner_protocol/conversion.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/object_feed.hpp"

namespace jasminepier::node
{
namespace
{

// Servers give notice 1.5 to 2 s before they leave, so a copy half a second old still helps.
constexpr std::chrono::milliseconds pull_interval{400};
constexpr std::chrono::milliseconds pull_timeout{800};

class node_peer_handler : public inner_protocol::node_peerIf
{
public:
    explicit node_peer_handler(node_state& state) : m_state(state) {}

    void pull_objects(inner_protocol::configuration_page& page, std::int64_t since) override
    {
        auto const newer = m_state.with([&](node_state::tables& tables)
                                        { return tables.objects.objects_newer_than(since); });
        page.revision = since;
        for (auto const& item : newer)
        {
            page.objects.push_back(inner_protocol::to_thrift(item));
            page.revision = std::max(page.revision, item.version);
        }
    }

private:
    node_state& m_state;
};

} // namespace

peer_objects::peer_objects(node_state& state)
    : m_state(state), m_server(std::make_unique<inner_protocol::rpc_server>(
                          std::make_shared<inner_protocol::node_peerProcessor>(
                              std::make_shared<node_peer_handler>(state)),
                          state.settings()->host, state.settings()->peer_port)),
      m_pulling(pull_interval, [this] { pull_if_needed(); })
{
}

std::vector<serving::node_entry> peer_objects::find_better_informed(node_state::tables& tables,
                                                                    std::int64_t& since,
                                                                    base::time_point now)
{
    auto const configuration = tables.configuration_revision();
    since = serving::first_missed_revision(tables.objects.revision(), configuration);
    // Every node follows the configuration itself, so a difference means that the store is silent.
    auto newer = tables.nodes.peers_with_newer_configuration(configuration, now);
    if (!newer.empty())
        return newer;
    if (!tables.configuration || tables.dispatcher.directory().store_lost())
    {
        since = tables.configuration ? tables.objects.revision() : 0;
        return tables.nodes.peers_reaching_store(now);
    }
    newer = tables.nodes.peers_with_newer_objects(tables.objects.revision(), now);
    bool const told = tables.nodes.relays_store() &&
                      !tables.nodes.follows_store(platform::server_kind, true, now);
    if (newer.empty() && told)
        if (auto const differing = tables.nodes.follower_with_different_servers(
                platform::server_kind, tables.objects.digest(platform::server_kind), now))
            newer.push_back(*differing);
    // News are on their way for a moment, so a difference counts the second time.
    bool const lasting = !newer.empty() && m_differed;
    m_differed = !newer.empty();
    if (!lasting)
        newer.clear();
    return newer;
}

void peer_objects::pull_if_needed()
{
    auto const now = base::steady_clock_source{}.now();
    std::int64_t since = 0;
    auto const source = m_state.with(
        [&](node_state::tables& tables) -> std::optional<serving::node_entry>
        {
            auto const informed = find_better_informed(tables, since, now);
            if (informed.empty())
                return std::nullopt;
            // Any of them, so that one that has just died does not hold this node back.
            std::uniform_int_distribution<std::size_t> pick(0, informed.size() - 1);
            return informed[pick(tables.random)];
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
    for (auto const& kind : followed_kinds())
    {
        store::object_page page;
        page.version = pulled->revision;
        for (auto const& item : objects)
            if (item.kind == kind)
                page.objects.push_back(item);
        apply_events(m_state, kind, page);
    }
}

} // namespace jasminepier::node
