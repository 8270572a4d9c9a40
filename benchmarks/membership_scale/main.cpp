/// Traffic, processor time, memory and spreading times of membership at several fleet sizes, in
/// virtual time. The state machine, the wire encoding and the decisions are those of the control
/// process; sockets and threads are not part of it.
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

void start(virtual_network& network)
{
    if (!network.run_until([&] { return network.all_alive(); }, 5min))
        std::puts("the network did not settle");
    // Updates of the start stop travelling.
    network.run(2min);
}

/// Traffic counts what a node sends, with IP and UDP headers; it receives as much.
void measure_steady(int nodes)
{
    virtual_network network(nodes, regions, {}, seed);
    start(network);
    network.reset_counters();
    auto const before = processor_seconds();
    network.run(60s);
    auto const share = (processor_seconds() - before) / 60 / nodes * 100;
    std::printf("steady nodes=%d sent_bytes_per_second=%.0f sent_messages_per_second=%.2f "
                "processor_percent=%.3f\n",
                nodes, double(network.sent_bytes()) / 60 / nodes,
                double(network.sent_datagrams()) / 60 / nodes, share);
}

void measure_death(int nodes, int repetitions)
{
    std::vector<std::int64_t> times;
    virtual_network network(nodes, regions, {0.01}, seed);
    start(network);
    for (int i = 0; i < repetitions; ++i)
    {
        int const victim = nodes - 1 - i % std::max(1, nodes / 2);
        network.stop(victim);
        auto const time = network.run_until([&] { return network.dead_everywhere(victim); }, 3min);
        times.push_back(time ? time->count() : -1);
        network.resume(victim);
        network.run_until([&] { return network.all_alive(); }, 3min);
        network.run(20s);
    }
    std::sort(times.begin(), times.end());
    std::printf("death nodes=%d loss=0.01 runs=%d median_ms=%lld worst_ms=%lld\n", nodes,
                repetitions, static_cast<long long>(times[times.size() / 2]),
                static_cast<long long>(times.back()));
}

void measure_change(int nodes, int repetitions)
{
    std::vector<std::int64_t> times;
    virtual_fleet fleet(nodes, regions, {0.01}, seed);
    fleet.run(30s);
    for (int i = 0; i < repetitions; ++i)
    {
        auto const time = fleet.run_until_confirmed(fleet.store.put("a"), 60s);
        times.push_back(time ? time->count() : -1);
        fleet.run(5s);
    }
    std::sort(times.begin(), times.end());
    std::printf("change nodes=%d loss=0.01 runs=%d median_ms=%lld worst_ms=%lld\n", nodes,
                repetitions, static_cast<long long>(times[times.size() / 2]),
                static_cast<long long>(times.back()));
}

void measure_false_deaths(int nodes, double loss)
{
    virtual_network network(nodes, regions, {}, seed);
    start(network);
    network.set_loss(loss);
    int most = 0;
    std::int64_t pairs = 0;
    network.run(10min,
                [&, step = 0]() mutable
                {
                    if (++step % 10 != 0)
                        return;
                    most = std::max(most, network.false_deaths());
                    pairs += network.false_deaths();
                });
    std::printf("false_deaths nodes=%d loss=%.2f minutes=10 pair_seconds=%lld most_pairs=%d\n",
                nodes, loss, static_cast<long long>(pairs), most);
}

void measure_platform(int nodes)
{
    virtual_fleet fleet(nodes, regions, {0.01}, seed);
    fleet.store.put("a");
    fleet.run(60s);
    auto calls = [&, last = fleet.store.calls]() mutable
    {
        auto const made = fleet.store.calls - last;
        last = fleet.store.calls;
        return made;
    };
    calls();
    fleet.run(60s);
    auto const steady = calls();
    std::uint64_t peak = 0;
    for (int node = 0; node < nodes; ++node)
        fleet.restart(node);
    std::uint64_t restart = 0;
    for (int second = 0; second < 30; ++second)
    {
        fleet.run(1s);
        auto const made = calls();
        restart += made;
        peak = std::max(peak, made);
    }
    fleet.store.outage = true;
    fleet.run(60s);
    auto const outage = calls();
    fleet.store.outage = false;
    fleet.store.put("b");
    std::uint64_t recovery_peak = 0;
    for (int second = 0; second < 15; ++second)
    {
        fleet.run(1s);
        recovery_peak = std::max(recovery_peak, calls());
    }
    std::printf("platform nodes=%d watchers=%d steady_calls_in_60_s=%llu restart_calls=%llu "
                "restart_peak_per_second=%llu outage_calls_in_60_s=%llu "
                "recovery_peak_per_second=%llu\n",
                nodes, fleet.watchers(), static_cast<unsigned long long>(steady),
                static_cast<unsigned long long>(restart), static_cast<unsigned long long>(peak),
                static_cast<unsigned long long>(outage),
                static_cast<unsigned long long>(recovery_peak));
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<int> sizes{8, 50, 100, 200, 400};
    if (argc > 1)
        sizes = {std::atoi(argv[1])};
    for (int nodes : sizes)
    {
        measure_steady(nodes);
        measure_death(nodes, 7);
        measure_change(nodes, 9);
        for (double loss : {0.01, 0.05, 0.10})
            measure_false_deaths(nodes, loss);
        measure_platform(nodes);
    }
}
