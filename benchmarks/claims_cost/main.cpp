/// Measures what claims cost: latency, platform calls, memory and rate of non-idempotent calls,
/// which are claimed, and of idempotent ones, with real processes on loopback. Usage: claims-cost
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

constexpr int sequential_request_count = 1000;
constexpr int open_request_count = 200;
constexpr auto entry_port = static_cast<std::uint16_t>(tests::entry_port_base + 1);
constexpr auto shop_port = static_cast<std::uint16_t>(tests::service_port_base + 1);

/// Returns the latency in milliseconds, or a negative number if the call failed.
double send_request(tests::deployment& deployment, std::string const& path, bool claimed)
{
    std::map<std::string, std::string> headers;
    if (claimed)
        headers["Idempotency-Key"] = base::random_id();
    auto const start = std::chrono::steady_clock::now();
    auto const response = deployment.call(entry_port, "POST", path, "oak", headers);
    std::chrono::duration<double, std::milli> const latency =
        std::chrono::steady_clock::now() - start;
    return response.status == 200 ? latency.count() : -1;
}

struct platform_call_counts
{
    int reads = 0;
    int writes = 0;
};

platform_call_counts read_platform_calls(tests::deployment& deployment)
{
    auto const body = deployment.call(tests::platform_port, "GET", "/stand-in/calls").body;
    return base::handle(
        [&]() -> base::result<platform_call_counts>
        {
            BOOST_LEAF_AUTO(document, base::parse_json_object(body));
            return platform_call_counts{document->optValue<int>("reads", 0),
                                        document->optValue<int>("writes", 0)};
        },
        [](base::error const&) { return platform_call_counts{}; });
}

void print_latency(char const* name, std::vector<double> latencies)
{
    auto const failed =
        std::count_if(latencies.begin(), latencies.end(), [](double t) { return t < 0; });
    std::sort(latencies.begin(), latencies.end());
    std::printf("%s: p50 %.2f ms, p95 %.2f ms, failed %ld of %zu\n", name,
                latencies[latencies.size() / 2], latencies[latencies.size() * 95 / 100],
                static_cast<long>(failed), latencies.size());
}

/// Alternates unclaimed and claimed calls, so that both run under the same conditions.
void measure_latency(tests::deployment& deployment)
{
    std::vector<double> unclaimed_latencies;
    std::vector<double> claimed_latencies;
    auto const calls_before = read_platform_calls(deployment);
    for (int i = 0; i < sequential_request_count; ++i)
    {
        unclaimed_latencies.push_back(send_request(deployment, "/v1/services/shop/notes", false));
        claimed_latencies.push_back(send_request(deployment, "/v1/services/shop/orders", true));
    }
    auto const calls_after = read_platform_calls(deployment);
    print_latency("unclaimed call", unclaimed_latencies);
    print_latency("order", claimed_latencies);
    std::printf(
        "platform calls per order: %.3f writes, %.3f reads (control process included)\n",
        static_cast<double>(calls_after.writes - calls_before.writes) / sequential_request_count,
        static_cast<double>(calls_after.reads - calls_before.reads) / sequential_request_count);
}

void measure_rate(tests::deployment& deployment, int caller_count)
{
    std::atomic<int> completed{0};
    std::atomic<int> failed{0};
    auto const start = std::chrono::steady_clock::now();
    auto const end = start + std::chrono::seconds(4);
    std::vector<std::jthread> threads;
    threads.reserve(static_cast<std::size_t>(caller_count));
    for (int i = 0; i < caller_count; ++i)
        threads.emplace_back(
            [&]
            {
                while (std::chrono::steady_clock::now() < end)
                    ++(send_request(deployment, "/v1/services/shop/orders", true) < 0 ? failed
                                                                                      : completed);
            });
    threads.clear();
    std::chrono::duration<double> const elapsed = std::chrono::steady_clock::now() - start;
    std::printf("%d callers: %.0f orders/s, failed %d\n", caller_count, completed / elapsed.count(),
                failed.load());
}

long resident_kilobytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string label;
    while (status >> label)
        if (label == "VmRSS:")
        {
            long kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    return 0;
}

/// Keeps many calls to a slow service open. Uses a new deployment, so that the entry process can't
/// reuse memory of earlier calls.
void measure_memory(char const* host, bool claimed)
{
    tests::deployment deployment(host);
    deployment.start_service(1);
    deployment.start_node(1);
    if (!deployment.wait_until_ready(1))
        return;
    deployment.set_faults(shop_port, R"({"delay_milliseconds":4000})");
    auto const* path = claimed ? "/v1/services/shop/orders" : "/v1/services/shop/notes";
    auto const pid = deployment.program("entry-1").pid();
    auto const kilobytes_before = resident_kilobytes(pid);
    std::vector<std::future<double>> requests;
    requests.reserve(open_request_count);
    for (int i = 0; i < open_request_count; ++i)
        requests.push_back(std::async(std::launch::async, [&deployment, path, claimed]
                                      { return send_request(deployment, path, claimed); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    auto const kilobytes_during = resident_kilobytes(pid);
    int failed = 0;
    for (auto& request : requests)
        failed += request.get() < 0 ? 1 : 0;
    std::printf("%d open %s: %ld KB more resident (%.1f KB each), failed %d\n", open_request_count,
                claimed ? "orders" : "unclaimed calls", kilobytes_during - kilobytes_before,
                static_cast<double>(kilobytes_during - kilobytes_before) / open_request_count,
                failed);
}

} // namespace

int main()
{
    tests::deployment deployment("127.0.14.20");
    deployment.start_service(1);
    deployment.start_node(1);
    if (!deployment.wait_until_ready(1))
        return 1;
    measure_latency(deployment);
    for (int const caller_count : {1, 8, 32})
        measure_rate(deployment, caller_count);
    measure_memory("127.0.14.21", false);
    measure_memory("127.0.14.22", true);
    return 0;
}
