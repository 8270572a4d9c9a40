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
    network.set_on_delivery(
        [this](int to, membership::gossip_datagram const& message) {
            m_nodes.at(std::size_t(to))
                .sync.observe(message.sender, message.configuration_revision);
        });
}

void virtual_fleet::restart(int node)
{
    m_nodes.at(std::size_t(node)) = state{};
    m_nodes.at(std::size_t(node)).started = network.now();
    network.restart(node, {0, 1, 2});
}

void virtual_fleet::step()
{
    for (int node = 0; node < network.size(); ++node)
    {
        if (!network.running(node))
            continue;
        auto& own = m_nodes.at(std::size_t(node));
        read_platform(node, own);
        if (m_settings.use_pulls)
            pull_from_peers(node, own);
        own.sync.set_own_revision(own.copy.confirmed_revision());
        network.node(node).set_configuration_revision(own.copy.confirmed_revision());
        check_reverts(own);
    }
}

bool virtual_fleet::reads_platform(int node, state const& own)
{
    auto& detector = network.node(node);
    membership::reach seen;
    seen.started = own.started;
    seen.peers_named = true;
    seen.configuration_merged = own.copy.confirmed_revision() > 0;
    seen.last_peer_contact = detector.last_contact();
    bool const watcher = membership::watches_platform(detector.members(), detector.self().region,
                                                      detector.self().node_id);
    return membership::reads_platform(network.now(), seen, watcher, detector.settled());
}

void virtual_fleet::read_platform(int node, state& own)
{
    if (network.now() < own.next_watch || !own.backoff.may_call(network.now()) ||
        !reads_platform(node, own))
        return;
    bool const waits = own.listed && own.copy.complete_through() >= store.version();
    own.next_watch = network.now() + watch_latency;
    // A waiting long poll is one call, however often this simulation looks at it.
    if (waits && !store.outage && network.now() - own.last_call < watch_time)
        return;
    own.last_call = network.now();
    // A listing ends with its first failed call.
    store.calls += own.listed || store.outage ? 1 : listed_kinds;
    if (store.outage)
        return own.backoff.failed(network.now(), m_random);
    own.backoff.succeeded();
    auto const lag =
        static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(store.longest_lag + 1));
    if (!own.listed)
        own.copy.merge_listing({{"zone", store.list(lag)}});
    else
        own.copy.merge_watch(own.copy.complete_through(),
                             store.watch(own.copy.complete_through(), lag));
    own.listed = true;
}

void virtual_fleet::pull_from_peers(int node, state& own)
{
    for (auto position = own.pulls.begin(); position != own.pulls.end();)
    {
        if (position->ends > network.now())
        {
            ++position;
            continue;
        }
        auto const& peer = m_nodes.at(std::size_t(position->peer)).copy;
        auto const since = own.copy.confirmed_revision();
        if (position->succeeds)
            own.copy.merge_peer(since, peer.confirmed_revision(), peer.objects_newer_than(since));
        own.sync.finish_pull(network.now(), virtual_network::name(position->peer),
                             position->succeeds);
        position = own.pulls.erase(position);
    }
    auto const chosen = own.sync.next_pull(network.now(), m_random);
    if (!chosen)
        return;
    int const peer = std::stoi(chosen->substr(chosen->find('-') + 1));
    bool const slow = m_settings.slow_every > 0 && peer % m_settings.slow_every == 1;
    bool const reached =
        network.running(peer) && !network.cut(node, peer) && !network.cut(peer, node) && !slow;
    own.pulls.push_back({network.now() + (reached ? pull_time : pull_timeout), peer, reached});
}

void virtual_fleet::check_reverts(state& own)
{
    for (auto const& held : own.copy.objects_newer_than(0))
    {
        auto& highest = own.highest[held.name];
        if (held.version < highest)
            ++m_reverts;
        highest = held.version;
    }
}

bool virtual_fleet::confirmed(std::int64_t revision)
{
    for (int node = 0; node < network.size(); ++node)
        if (network.running(node) && replica_of(node).confirmed_revision() < revision)
            return false;
    return true;
}

std::optional<base::milliseconds> virtual_fleet::run_until_confirmed(std::int64_t revision,
                                                                     base::milliseconds limit)
{
    auto const start = network.now();
    while (!confirmed(revision))
    {
        if (network.now() - start > limit)
            return std::nullopt;
        run(base::milliseconds(100));
    }
    return std::chrono::duration_cast<base::milliseconds>(network.now() - start);
}

int virtual_fleet::watchers()
{
    int count = 0;
    for (int node = 0; node < network.size(); ++node)
        count +=
            network.running(node) && membership::watches_platform(network.node(node).members(),
                                                                  network.node(node).self().region,
                                                                  virtual_network::name(node))
                ? 1
                : 0;
    return count;
}

} // namespace jasminepier::tests
