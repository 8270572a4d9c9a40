#include "tests/support/virtual_fleet.hpp"

namespace jasminepier::tests
{
namespace
{

constexpr base::milliseconds pull_duration{20};
constexpr base::milliseconds pull_timeout{2000};
// Time from a change to the response of a long poll.
constexpr base::milliseconds watch_latency{100};
constexpr base::milliseconds watch_duration{5000};
// The control process lists this many kinds, with one call each.
constexpr std::uint64_t listed_kind_count = 9;

} // namespace

std::int64_t virtual_platform::write(std::string const& name, bool deleted)
{
    m_write_log.push_back({"zone", name, ++m_version, std::to_string(m_version), deleted});
    return m_version;
}

store::object_page virtual_platform::list(std::int64_t lag) const
{
    store::object_page page{std::max<std::int64_t>(0, m_version - lag), {}};
    std::map<std::string, store::object> visible_objects;
    for (auto const& logged_object : m_write_log)
        if (logged_object.version <= page.version)
            visible_objects[logged_object.name] = logged_object;
    for (auto const& [name, logged_object] : visible_objects)
        if (!logged_object.deleted)
            page.objects.push_back(logged_object);
    return page;
}

store::object_page virtual_platform::watch(std::int64_t from_version, std::int64_t lag) const
{
    store::object_page page{std::max(from_version, m_version - lag), {}};
    for (auto const& logged_object : m_write_log)
        if (logged_object.version > from_version && logged_object.version <= page.version)
            page.objects.push_back(logged_object);
    return page;
}

virtual_fleet::virtual_fleet(int nodes, int regions, network_settings settings, std::uint64_t seed,
                             pull_settings pulls)
    : network(nodes, regions, settings, seed), m_settings(pulls), m_random(seed + 1),
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
    bool const long_poll_waits =
        local.has_listing && local.replica.complete_through() >= store.version();
    local.next_watch = network.now() + watch_latency;
    // A waiting long poll counts as one call, in however many simulation steps it is polled.
    if (long_poll_waits && !store.unavailable && network.now() - local.last_call < watch_duration)
        return;
    local.last_call = network.now();
    // A listing stops at its first failed call.
    store.call_count += local.has_listing || store.unavailable ? 1 : listed_kind_count;
    if (store.unavailable)
        return local.backoff.record_failure(network.now(), m_random);
    local.backoff.record_success();
    auto const lag =
        static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(store.maximum_lag + 1));
    if (!local.has_listing)
        local.replica.merge_listing({{"zone", store.list(lag)}});
    else
        local.replica.merge_watch(local.replica.complete_through(),
                                  store.watch(local.replica.complete_through(), lag));
    local.has_listing = true;
}

void virtual_fleet::pull_from_peers(int node, node_state& local)
{
    for (auto position = local.pulls.begin(); position != local.pulls.end();)
    {
        if (position->end_time > network.now())
        {
            ++position;
            continue;
        }
        auto const& peer = m_nodes.at(std::size_t(position->peer)).replica;
        auto const since_revision = local.replica.confirmed_revision();
        if (position->succeeds)
            local.replica.merge_peer(since_revision, peer.confirmed_revision(),
                                     peer.objects_newer_than(since_revision));
        local.scheduler.finish_pull(network.now(), virtual_network::name(position->peer),
                                    position->succeeds);
        position = local.pulls.erase(position);
    }
    auto const selected_id = local.scheduler.start_pull(network.now(), m_random);
    if (!selected_id)
        return;
    int const peer = std::stoi(selected_id->substr(selected_id->find('-') + 1));
    bool const is_slow =
        m_settings.slow_node_interval > 0 && peer % m_settings.slow_node_interval == 1;
    bool const succeeds = network.is_running(peer) && !network.is_blocked(node, peer) &&
                          !network.is_blocked(peer, node) && !is_slow;
    local.pulls.push_back(
        {network.now() + (succeeds ? pull_duration : pull_timeout), peer, succeeds});
}

void virtual_fleet::count_version_regressions(node_state& local)
{
    for (auto const& object : local.replica.objects_newer_than(0))
    {
        auto& highest_version = local.highest_versions[object.name];
        if (object.version < highest_version)
            ++m_version_regressions;
        highest_version = object.version;
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
