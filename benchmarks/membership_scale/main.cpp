/// Measures the traffic, processor time and propagation times of membership at several fleet sizes,
/// in virtual time. The state machine, the wire encoding and the decisions are those of the control
/// process; sockets and threads are left out.
#include "inner_protocol/datagram.hpp"
#include "tests/support/virtual_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

namespace
{

using namespace jasminepier;
using namespace std::chrono_literals;
using tests::network_settings;
using tests::virtual_fleet;
using tests::virtual_network;

constexpr int regions = 5;
constexpr std::uint64_t seed = 20261204;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void start_network(virtual_network& network)
{
    if (!network.run_until([&] { return network.all_see_all_alive(); }, 5min))
        std::puts("the network did not settle");
    // Until the initial updates are no longer gossiped.
    network.run(2min);
}

/// Sent bytes include IP and UDP headers; a node receives as much as it sends.
void measure_steady(int nodes)
{
    virtual_network network(nodes, regions, {}, seed);
    start_network(network);
    // With 400 nodes it takes about eight minutes until the initial updates have been sent often
    // enough.
    network.run_until([&] { return network.node(0).pending_updates() == 0; }, 15min);
    network.run(30s);
    network.reset_counters();
    auto const seconds_before = processor_seconds();
    network.run(60s);
    auto const processor_percent = (processor_seconds() - seconds_before) / 60 / nodes * 100;
    std::printf("steady nodes=%d sent_bytes_per_second=%.0f sent_messages_per_second=%.2f "
                "processor_percent=%.3f\n",
                nodes, double(network.sent_bytes()) / 60 / nodes,
                double(network.sent_datagrams()) / 60 / nodes, processor_percent);
}

void measure_death(int nodes, int repetitions)
{
    std::vector<std::int64_t> durations;
    virtual_network network(nodes, regions, {0.01}, seed);
    start_network(network);
    for (int i = 0; i < repetitions; ++i)
    {
        int const stopped_node = nodes - 1 - i % std::max(1, nodes / 2);
        network.stop(stopped_node);
        auto const duration =
            network.run_until([&] { return network.all_see_dead(stopped_node); }, 3min);
        durations.push_back(duration ? duration->count() : -1);
        network.resume(stopped_node);
        network.run_until([&] { return network.all_see_all_alive(); }, 3min);
        network.run(20s);
    }
    std::sort(durations.begin(), durations.end());
    std::printf("death nodes=%d loss=0.01 runs=%d median_ms=%lld worst_ms=%lld\n", nodes,
                repetitions, static_cast<long long>(durations[durations.size() / 2]),
                static_cast<long long>(durations.back()));
}

void measure_change(int nodes, int repetitions)
{
    std::vector<std::int64_t> durations;
    virtual_fleet fleet(nodes, regions, {0.01}, seed);
    fleet.run(30s);
    for (int i = 0; i < repetitions; ++i)
    {
        auto const duration = fleet.run_until_all_confirm(fleet.store.write("a"), 60s);
        durations.push_back(duration ? duration->count() : -1);
        fleet.run(5s);
    }
    std::sort(durations.begin(), durations.end());
    std::printf("change nodes=%d loss=0.01 runs=%d median_ms=%lld worst_ms=%lld\n", nodes,
                repetitions, static_cast<long long>(durations[durations.size() / 2]),
                static_cast<long long>(durations.back()));
}

void measure_false_deaths(int nodes, double loss)
{
    virtual_network network(nodes, regions, {}, seed);
    start_network(network);
    network.set_loss(loss);
    int maximum_pairs = 0;
    std::int64_t pair_seconds = 0;
    network.run(10min,
                [&, step = 0]() mutable
                {
                    if (++step % 10 != 0)
                        return;
                    maximum_pairs = std::max(maximum_pairs, network.false_death_count());
                    pair_seconds += network.false_death_count();
                });
    std::printf("false_deaths nodes=%d loss=%.2f minutes=10 pair_seconds=%lld most_pairs=%d\n",
                nodes, loss, static_cast<long long>(pair_seconds), maximum_pairs);
}

void measure_platform(int nodes)
{
    virtual_fleet fleet(nodes, regions, {0.01}, seed);
    fleet.store.write("a");
    fleet.run(60s);
    auto calls_since_last_query = [&, previous_calls = fleet.store.call_count]() mutable
    {
        auto const new_calls = fleet.store.call_count - previous_calls;
        previous_calls = fleet.store.call_count;
        return new_calls;
    };
    calls_since_last_query();
    fleet.run(60s);
    auto const steady = calls_since_last_query();
    std::uint64_t peak = 0;
    for (int node = 0; node < nodes; ++node)
        fleet.restart(node);
    std::uint64_t restart = 0;
    for (int second = 0; second < 30; ++second)
    {
        fleet.run(1s);
        auto const new_calls = calls_since_last_query();
        restart += new_calls;
        peak = std::max(peak, new_calls);
    }
    fleet.store.unavailable = true;
    fleet.run(60s);
    auto const outage = calls_since_last_query();
    fleet.store.unavailable = false;
    fleet.store.write("b");
    std::uint64_t recovery_peak = 0;
    for (int second = 0; second < 15; ++second)
    {
        fleet.run(1s);
        recovery_peak = std::max(recovery_peak, calls_since_last_query());
    }
    std::printf("platform nodes=%d watchers=%d steady_calls_in_60_s=%llu restart_calls=%llu "
                "restart_peak_per_second=%llu outage_calls_in_60_s=%llu "
                "recovery_peak_per_second=%llu\n",
                nodes, fleet.watcher_count(), static_cast<unsigned long long>(steady),
                static_cast<unsigned long long>(restart), static_cast<unsigned long long>(peak),
                static_cast<unsigned long long>(outage),
                static_cast<unsigned long long>(recovery_peak));
}

/// Computes what observers send per second with 5 servers per node (2,000 servers of 15 models on
/// 400 nodes). Observers, and the nodes that use a server, are selected as the control process
/// does.
void measure_loads(int nodes)
{
    int const servers = nodes * 5;
    std::vector<membership::member_record> members(static_cast<std::size_t>(nodes));
    for (int i = 0; i < nodes; ++i)
    {
        members[std::size_t(i)].node_id = virtual_network::name(i);
        members[std::size_t(i)].region = "region-" + std::to_string(i % regions);
    }
    std::vector<membership::server_candidate> candidates;
    candidates.reserve(std::size_t(servers));
    for (int i = 0; i < servers; ++i)
        candidates.push_back({"engine-" + std::to_string(i),
                              "region-" + std::to_string(i % regions),
                              {"model-" + std::to_string(i / regions % 15)}});
    auto const seconds_before = processor_seconds();
    std::map<std::string, std::string> observer_of_server;
    for (auto const& candidate : candidates)
        observer_of_server[candidate.id] = membership::select_observer(candidate, members);
    // Number of digests by observer and user.
    std::map<std::pair<std::string, std::string>, int> digests;
    std::size_t used_servers = 0;
    for (auto const& member : members)
        for (auto const& id : membership::select_server_subset(member.node_id, member.region,
                                                               members.size(), candidates))
        {
            ++used_servers;
            if (observer_of_server[id] != member.node_id)
                ++digests[{observer_of_server[id], member.node_id}];
        }
    auto const seconds = processor_seconds() - seconds_before;
    membership::load_digest digest{};
    digest.server_id = "engine-1234";
    digest.sequence = 1796367600000;
    digest.running = digest.waiting = 100;
    digest.kv_used_tokens = digest.kv_capacity_tokens = 1500000;
    digest.max_running = 256;
    digest.description = 1 << 30;
    membership::gossip_datagram header;
    header.sender = header.target = "node-123";
    header.configuration_revision = 1796367600;
    auto const header_bytes = inner_protocol::encode_datagram(header).size();
    // One digest in ten also contains the instance, the models and the role.
    auto const full_digest_extra_bytes = 32U + 10U;
    auto const digest_bytes =
        membership::maximum_encoded_size(digest) + full_digest_extra_bytes / 10;
    auto const digests_per_datagram =
        (membership::maximum_datagram_bytes - header_bytes) / digest_bytes;
    std::map<std::string, std::pair<std::size_t, std::size_t>> traffic_by_observer;
    std::size_t bytes = 0;
    std::size_t datagram_count = 0;
    for (auto const& [observer_and_user, count] : digests)
    {
        auto const datagrams =
            (std::size_t(count) + digests_per_datagram - 1) / digests_per_datagram;
        auto const traffic_bytes =
            datagrams * (header_bytes + 28) + std::size_t(count) * digest_bytes;
        bytes += traffic_bytes;
        datagram_count += datagrams;
        traffic_by_observer[observer_and_user.first].first += traffic_bytes;
    }
    std::size_t maximum_bytes = 0;
    for (auto const& [id, traffic] : traffic_by_observer)
        maximum_bytes = std::max(maximum_bytes, traffic.first);
    std::printf("loads nodes=%d servers=%d used_per_node=%.1f digest_bytes=%zu "
                "sent_bytes_per_second=%.0f most_sent_bytes_per_second=%zu "
                "sent_messages_per_second=%.1f assignment_of_all_nodes_ms=%.1f\n",
                nodes, servers, double(used_servers) / nodes, digest_bytes, double(bytes) / nodes,
                maximum_bytes, double(datagram_count) / nodes, seconds * 1000);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<int> sizes{8, 50, 100, 200, 400};
    if (argc > 1)
        sizes = {std::atoi(argv[1])};
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (int nodes : sizes)
    {
        measure_steady(nodes);
        measure_loads(nodes);
        measure_death(nodes, 7);
        measure_change(nodes, 9);
        for (double loss : {0.01, 0.05, 0.10})
            measure_false_deaths(nodes, loss);
        measure_platform(nodes);
    }
}
