#include "tests/support/virtual_fleet.hpp"

namespace jasminepier::tests
{
namespace
{

constexpr base::milliseconds pull_time{20};
constexpr base::milliseconds pull_timeout{2000};
// A long poll answers within this time of a change.
constexpr base::milliseconds watch_latency{100};
constexpr base::milliseconds watch_time{5000};
// The control process lists this many kinds with a call each.
constexpr std::uint64_t listed_kinds = 9;

} // namespace

std::int64_t virtual_platform::put(std::string const& name, bool deleted)
{
    m_log.push_back({"zone", name, ++m_version, std::to_string(m_version), deleted});
    return m_version;
}

store::object_page virtual_platform::list(std::int64_t lag) const
{
    store::object_page page{std::max<std::int64_t>(0, m_version - lag), {}};
    std::map<std::string, store::object> held;
    for (auto const& written : m_log)
        if (written.version <= page.version)
            held[written.name] = written;
    for (auto const& [name, written] : held)
        if (!written.deleted)
            page.objects.push_back(written);
    return page;
}

store::object_page virtual_platform::watch(std::int64_t from, std::int64_t lag) const
{
    store::object_page page{std::max(from, m_version - lag), {}};
    for (auto const& written : m_log)
        if (written.version > from && written.version <= page.version)
            page.objects.push_back(written);
    return page;
}

virtual_fleet::virtual_fleet(int nodes, int regions, network_settings settings, std::uint64_t seed,
                             fleet_settings fleet)
    : network(nodes, regions, settings, seed), m_settings(fleet), m_random(seed + 1),
      m_nodes(static_cast<std::size_t>(nodes))
{
    network.set_delivery_observer(
        [this](int to, membership::gossip_datagram const& message)
        {
            m_nodes.at(std::size_t(to))
                .scheduler.record_peer_revision(message.sender, message.configuration_revision);
        });
}

void virtual_fleet::restart(int node)
{
    m_nodes.at(std::size_t(node)) = node_state{};
    m_nodes.at(std::size_t(node)).started = network.now();
    network.restart(node, {0, 1, 2});
}

void virtual_fleet::step()
{
    for (int node = 0; node < network.size(); ++node)
    {
        if (!network.is_running(node))
            continue;
        auto& local = m_nodes.at(std::size_t(node));
        read_platform(node, local);
        if (m_settings.use_pulls)
            pull_from_peers(node, local);
        local.scheduler.set_local_revision(local.replica.confirmed_revision());
        network.node(node).set_configuration_revision(local.replica.confirmed_revision());
        count_version_regressions(local);
    }
}

bool virtual_fleet::should_read_platform(int node, node_state const& local)
{
    auto& detector = network.node(node);
    membership::connectivity_state connectivity;
    connectivity.started = local.started;
    connectivity.has_peer_addresses = true;
    connectivity.has_configuration = local.replica.confirmed_revision() > 0;
    connectivity.last_peer_contact = detector.last_peer_contact();
    bool const is_watcher = membership::is_platform_watcher(
        detector.members(), detector.self().region, detector.self().node_id);
    return membership::should_read_platform(network.now(), connectivity, is_watcher,
                                            detector.member_lists_agree());
}

void virtual_fleet::read_platform(int node, node_state& local)
{
    if (network.now() < local.next_watch || !local.backoff.may_call(network.now()) ||
        !should_read_platform(node, local))
        return;
    bool const waits = local.listed && local.replica.complete_through() >= store.version();
    local.next_watch = network.now() + watch_latency;
    // A waiting long poll is one call, however often this simulation looks at it.
    if (waits && !store.outage && network.now() - local.last_call < watch_time)
        return;
    local.last_call = network.now();
    // A listing ends with its first failed call.
    store.calls += local.listed || store.outage ? 1 : listed_kinds;
    if (store.outage)
        return local.backoff.record_failure(network.now(), m_random);
    local.backoff.record_success();
    auto const lag =
        static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(store.maximum_lag + 1));
    if (!local.listed)
        local.replica.merge_listing({{"zone", store.list(lag)}});
    else
        local.replica.merge_watch(local.replica.complete_through(),
                                  store.watch(local.replica.complete_through(), lag));
    local.listed = true;
}

void virtual_fleet::pull_from_peers(int node, node_state& local)
{
    for (auto position = local.pulls.begin(); position != local.pulls.end();)
    {
        if (position->ends > network.now())
        {
            ++position;
            continue;
        }
        auto const& peer = m_nodes.at(std::size_t(position->peer)).replica;
        auto const since = local.replica.confirmed_revision();
        if (position->succeeds)
            local.replica.merge_peer(since, peer.confirmed_revision(),
                                     peer.objects_newer_than(since));
        local.scheduler.finish_pull(network.now(), virtual_network::name(position->peer),
                                    position->succeeds);
        position = local.pulls.erase(position);
    }
    auto const chosen = local.scheduler.start_pull(network.now(), m_random);
    if (!chosen)
        return;
    int const peer = std::stoi(chosen->substr(chosen->find('-') + 1));
    bool const slow =
        m_settings.slow_node_interval > 0 && peer % m_settings.slow_node_interval == 1;
    bool const reached = network.is_running(peer) && !network.is_blocked(node, peer) &&
                         !network.is_blocked(peer, node) && !slow;
    local.pulls.push_back({network.now() + (reached ? pull_time : pull_timeout), peer, reached});
}

void virtual_fleet::count_version_regressions(node_state& local)
{
    for (auto const& held : local.replica.objects_newer_than(0))
    {
        auto& highest = local.highest[held.name];
        if (held.version < highest)
            ++m_version_regressions;
        highest = held.version;
    }
}

bool virtual_fleet::all_confirm(std::int64_t revision)
{
    for (int node = 0; node < network.size(); ++node)
        if (network.is_running(node) && replica_of(node).confirmed_revision() < revision)
            return false;
    return true;
}

std::optional<base::milliseconds> virtual_fleet::run_until_all_confirm(std::int64_t revision,
                                                                       base::milliseconds limit)
{
    auto const start = network.now();
    while (!all_confirm(revision))
    {
        if (network.now() - start > limit)
            return std::nullopt;
        run(base::milliseconds(100));
    }
    return std::chrono::duration_cast<base::milliseconds>(network.now() - start);
}

int virtual_fleet::watcher_count()
{
    int count = 0;
    for (int node = 0; node < network.size(); ++node)
        count += network.is_running(node) &&
                         membership::is_platform_watcher(network.node(node).members(),
                                                         network.node(node).self().region,
                                                         virtual_network::name(node))
                     ? 1
                     : 0;
    return count;
}

} // namespace jasminepier::tests
