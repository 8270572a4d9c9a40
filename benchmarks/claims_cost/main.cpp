/// Cost of an order against an unclaimed call: latency, platform calls, memory and rate, with real
/// processes on loopback. Usage: claims-cost
#include "base/clock.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "tests/support/deployment.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <future>
#include <thread>
#include <vector>

namespace
{

using namespace jasminepier;

constexpr int sequential_calls = 1000;
constexpr int open_orders = 200;
constexpr auto entry_port = static_cast<std::uint16_t>(tests::entry_port_base + 1);
constexpr auto shop_port = static_cast<std::uint16_t>(tests::service_port_base + 1);

/// Sends one order; returns its latency in milliseconds, or a negative number when it failed.
double send(tests::deployment& running, std::string const& path, bool claimed)
{
    std::map<std::string, std::string> headers;
    if (claimed)
        headers["Idempotency-Key"] = base::random_id();
    auto const begin = std::chrono::steady_clock::now();
    auto const answer = running.call(entry_port, "POST", path, "oak", headers);
    std::chrono::duration<double, std::milli> const taken =
        std::chrono::steady_clock::now() - begin;
    return answer.status == 200 ? taken.count() : -1;
}

struct call_counts
{
    int reads = 0;
    int writes = 0;
};

call_counts platform_calls(tests::deployment& running)
{
    auto const body = running.call(tests::platform_port, "GET", "/stand-in/calls").body;
    return base::handle(
        [&]() -> base::result<call_counts>
        {
            BOOST_LEAF_AUTO(document, base::parse_json_object(body));
            return call_counts{document->optValue<int>("reads", 0),
                               document->optValue<int>("writes", 0)};
        },
        [](base::error const&) { return call_counts{}; });
}

void print_latency(char const* name, std::vector<double> taken)
{
    auto const failed = std::count_if(taken.begin(), taken.end(), [](double t) { return t < 0; });
    std::sort(taken.begin(), taken.end());
    std::printf("%s: p50 %.2f ms, p95 %.2f ms, failed %ld of %zu\n", name, taken[taken.size() / 2],
                taken[taken.size() * 95 / 100], static_cast<long>(failed), taken.size());
}

/// Unclaimed calls and orders in turn, so that both meet the same machine.
void measure_latency(tests::deployment& running)
{
    std::vector<double> unclaimed;
    std::vector<double> claimed;
    auto const before = platform_calls(running);
    for (int i = 0; i < sequential_calls; ++i)
    {
        unclaimed.push_back(send(running, "/v1/services/shop/notes", false));
        claimed.push_back(send(running, "/v1/services/shop/orders", true));
    }
    auto const after = platform_calls(running);
    print_latency("unclaimed call", unclaimed);
    print_latency("order", claimed);
    std::printf("platform calls per order: %.3f writes, %.3f reads (control process included)\n",
                static_cast<double>(after.writes - before.writes) / sequential_calls,
                static_cast<double>(after.reads - before.reads) / sequential_calls);
}

void measure_rate(tests::deployment& running, int callers)
{
    std::atomic<int> done{0};
    std::atomic<int> failed{0};
    auto const begin = std::chrono::steady_clock::now();
    auto const end = begin + std::chrono::seconds(4);
    std::vector<std::jthread> threads;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back(
            [&]
            {
                while (std::chrono::steady_clock::now() < end)
                    ++(send(running, "/v1/services/shop/orders", true) < 0 ? failed : done);
            });
    threads.clear();
    std::chrono::duration<double> const taken = std::chrono::steady_clock::now() - begin;
    std::printf("%d callers: %.0f orders/s, failed %d\n", callers, done / taken.count(),
                failed.load());
}

long resident_kilobytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word)
        if (word == "VmRSS:")
        {
            long kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    return 0;
}

/// Holds calls open at a slow service, in a fresh deployment, so that no memory is warm.
void measure_memory(char const* host, bool claimed)
{
    tests::deployment running(host);
    running.start_service(1);
    running.start_node(1);
    if (!running.wait_until_ready(1))
        return;
    running.set_faults(shop_port, R"({"delay_milliseconds":4000})");
    auto const* path = claimed ? "/v1/services/shop/orders" : "/v1/services/shop/notes";
    auto const pid = running.program("entry-1").pid();
    auto const before = resident_kilobytes(pid);
    std::vector<std::future<double>> open;
    for (int i = 0; i < open_orders; ++i)
        open.push_back(std::async(std::launch::async, [&running, path, claimed]
                                  { return send(running, path, claimed); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    auto const during = resident_kilobytes(pid);
    int failed = 0;
    for (auto& each : open)
        failed += each.get() < 0 ? 1 : 0;
    std::printf("%d open %s: %ld KB more resident (%.1f KB each), failed %d\n", open_orders,
                claimed ? "orders" : "unclaimed calls", during - before,
                static_cast<double>(during - before) / open_orders, failed);
}

} // namespace

int main()
{
    tests::deployment running("127.0.14.20");
    running.start_service(1);
    running.start_node(1);
    if (!running.wait_until_ready(1))
        return 1;
    measure_latency(running);
    for (int const callers : {1, 8, 32})
        measure_rate(running, callers);
    measure_memory("127.0.14.21", false);
    measure_memory("127.0.14.22", true);
    return 0;
}
