#include "services/node/peer_object_sync.hpp"

#include "base/log.hpp"
#include "inner_protocol/compressed_value_cache.hpp"
#include "platform/objects.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/object_updates.hpp"
#include "store/object_version.hpp"

#include <algorithm>

namespace jasminepier::node
{
namespace
{

constexpr std::chrono::milliseconds pull_timeout{800};

class node_peer_handler : public inner_protocol::node_peerIf
{
public:
    explicit node_peer_handler(node_state& state) : m_state(state) {}

    void pull_objects(inner_protocol::configuration_page& page, std::int64_t since,
                      std::int64_t held_configuration, bool accepts_compressed) override
    {
        auto const objects = m_state.with(
            [&](node_state::tables& tables)
            {
                return serving::select_pulled_objects(tables.catch_up.kinds(), tables.objects,
                                                      since, held_configuration);
            });
        page.revision = since;
        for (auto const& object : objects)
        {
            page.objects.push_back(accepts_compressed ? m_compressed_values.convert(object)
                                                      : inner_protocol::to_thrift(object));
            page.revision = std::max(page.revision, object.version);
        }
    }

private:
    node_state& m_state;
    inner_protocol::compressed_value_cache m_compressed_values;
};

} // namespace

peer_object_sync::peer_object_sync(node_state& state)
    : m_state(state), m_server(std::make_unique<inner_protocol::rpc_server>(
                          std::make_shared<inner_protocol::node_peerProcessor>(
                              std::make_shared<node_peer_handler>(state)),
                          state.settings()->host, state.settings()->peer_port)),
      m_pull_thread(serving::object_catch_up::check_interval, [this] { pull_if_needed(); })
{
}

void peer_object_sync::log_lag(base::time_point now)
{
    auto const events = m_state.with([&](node_state::tables& tables)
                                     { return tables.catch_up.take_lag_events(now); });
    for (auto const& event : events)
    {
        std::string asked_peers;
        for (auto const& name : event.asked_peers)
            asked_peers += (asked_peers.empty() ? "" : ",") + name;
        observe_event("objects", event.is_behind ? "behind" : "caught_up");
        base::log_line(event.is_behind ? base::log_level::warning : base::log_level::info,
                       event.is_behind ? "objects_behind" : "objects_caught_up")
            .field("kind", event.kind)
            .field("held", store::format_version(event.held))
            .field("known", store::format_version(event.known))
            .field("behind_ms", event.duration.count())
            .field("asked", asked_peers);
    }
}

void peer_object_sync::pull_if_needed()
{
    auto const now = base::steady_clock_source{}.now();
    auto const pull = m_state.with(
        [&](node_state::tables& tables)
        { return tables.catch_up.plan_pull(tables.catch_up_view(), now, tables.random); });
    if (pull)
    {
        bool const succeeded = pull_objects(*pull);
        m_state.with(
            [&](node_state::tables& tables)
            {
                tables.catch_up.record_pull(*pull, succeeded, tables.catch_up_view(),
                                            base::steady_clock_source{}.now());
            });
    }
    log_lag(base::steady_clock_source{}.now());
}

bool peer_object_sync::pull_objects(serving::object_pull const& pull)
{
    auto const start = base::steady_clock_source{}.now();
    inner_protocol::rpc_client<inner_protocol::node_peerClient> client(
        pull.peer.peer_host, pull.peer.peer_port, pull_timeout);
    auto const pulled = client.call(
        [&](inner_protocol::node_peerClient& peer)
        {
            inner_protocol::configuration_page page;
            peer.pull_objects(page, pull.since, pull.held_configuration, true);
            return page;
        });
    auto const elapsed =
        std::chrono::duration_cast<base::milliseconds>(base::steady_clock_source{}.now() - start);
    if (!pulled)
    {
        observe_event("peer_pull", "failed");
        base::log_line(base::log_level::info, "peer_pull_failed")
            .field("peer", pull.peer.name)
            .field("reason", serving::to_string(pull.reason))
            .field("since", store::format_version(pull.since))
            .field("received_bytes", client.received_bytes())
            .field("elapsed_ms", elapsed.count());
        return false;
    }
    auto const objects = inner_protocol::from_thrift(pulled->objects);
    if (objects.empty())
        return true;
    base::log_line(base::log_level::info, "objects_pulled")
        .field("peer", pull.peer.name)
        .field("objects", objects.size())
        .field("reason", serving::to_string(pull.reason))
        .field("since", store::format_version(pull.since))
        .field("revision", store::format_version(pulled->revision))
        .field("received_bytes", client.received_bytes())
        .field("elapsed_ms", elapsed.count());
    auto kinds = watched_kinds();
    // Before the servers, so that a new version does not start without its order.
    if (m_state.settings()->rollouts)
        kinds.insert(std::find(kinds.begin(), kinds.end(), platform::server_kind),
                     platform::rollout_kind);
    for (auto const& kind : kinds)
    {
        store::object_page page;
        page.version = pulled->revision;
        for (auto const& object : objects)
            if (object.kind == kind)
                page.objects.push_back(object);
        apply_changes(m_state, kind, page);
    }
    return true;
}

} // namespace jasminepier::node
