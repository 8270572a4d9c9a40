#include "benchmarks/replay/decision_cost.hpp"

#include "benchmarks/replay/fleet.hpp"
#include "decision/decision_core.hpp"

#include <algorithm>
#include <cstdio>
#include <malloc.h>
#include <memory>
#include <vector>

namespace jasminepier::benchmarks
{
namespace
{

constexpr int full_size_nodes = 400;

double heap_bytes()
{
    // glibc allocates large blocks with mmap and counts them separately.
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns a virtual time. The clock's origin is long before it, so that no startup delay applies.
base::time_point virtual_time(double seconds)
{
    return base::time_point(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6))) +
           std::chrono::seconds(1000);
}

void apply_reports(decision::decision_core& core, int servers, double now_seconds)
{
    simulated_engine engine;
    for (int i = 0; i < servers; ++i)
        core.apply_report(engine_name(i), engine.report(), virtual_time(now_seconds),
                          virtual_time(now_seconds));
}

std::unique_ptr<decision::decision_core> make_core(int servers, int nodes)
{
    auto core = std::make_unique<decision::decision_core>(
        decision::core_settings{node_name(0), zone_name(0), 1, {}});
    core->apply_configuration(make_configuration({}, servers, nodes, -1), virtual_time(0));
    apply_reports(*core, servers, 0);
    return core;
}

std::uint64_t submit_and_decide(decision::decision_core& core, int customer, double now_seconds,
                                std::vector<decision::decision_result>& decisions)
{
    decision::submission request;
    request.service = service_name;
    request.model = model_name;
    request.customer = customer_name(customer);
    request.prompt_tokens = 200;
    request.prefix_hash = static_cast<std::uint64_t>(customer) + 1;
    auto const ticket = core.submit(request, virtual_time(now_seconds));
    decisions.clear();
    core.poll(virtual_time(now_seconds), decisions);
    return ticket;
}

/// Returns the median nanoseconds to submit and decide one request, and the mean nanoseconds to
/// record ten tokens and the end of the generation.
std::pair<double, double> time_requests(int servers, int nodes)
{
    auto const core = make_core(servers, nodes);
    std::vector<decision::decision_result> decisions;
    constexpr int request_count = 20000;
    std::vector<double> decision_nanoseconds(request_count);
    double bookkeeping_nanoseconds = 0;
    double now_seconds = 0;
    for (int i = 0; i < request_count; ++i)
    {
        now_seconds += 0.0001;
        auto const decision_start = std::chrono::steady_clock::now();
        auto const ticket = submit_and_decide(*core, i % 100, now_seconds, decisions);
        auto const decision_end = std::chrono::steady_clock::now();
        for (int token = 0; token < 10; ++token)
            core->record_tokens(ticket, 1, virtual_time(now_seconds));
        core->finish(ticket, decision::generation_outcome::completed, virtual_time(now_seconds));
        auto const bookkeeping_end = std::chrono::steady_clock::now();
        decision_nanoseconds[static_cast<std::size_t>(i)] =
            std::chrono::duration<double, std::nano>(decision_end - decision_start).count();
        bookkeeping_nanoseconds +=
            std::chrono::duration<double, std::nano>(bookkeeping_end - decision_end).count() /
            request_count;
    }
    std::nth_element(decision_nanoseconds.begin(), decision_nanoseconds.begin() + request_count / 2,
                     decision_nanoseconds.end());
    return {decision_nanoseconds[request_count / 2], bookkeeping_nanoseconds};
}

void print_memory()
{
    auto const small_core = make_core(1000, 8);
    double const bytes_before_large_core = heap_bytes();
    auto const large_core = make_core(2000, 8);
    double const large_core_bytes = heap_bytes() - bytes_before_large_core;
    double const bytes_before_small_core = heap_bytes();
    auto const second_small_core = make_core(1000, 8);
    double const server_bytes =
        (large_core_bytes - (heap_bytes() - bytes_before_small_core)) / 1000;

    std::vector<decision::decision_result> decisions;
    double const bytes_before_generations = heap_bytes();
    constexpr int generations = 5000;
    for (int i = 0; i < generations; ++i)
        submit_and_decide(*large_core, 0, 0.001, decisions);
    double const generation_bytes = (heap_bytes() - bytes_before_generations) / generations;

    double const bytes_before_customers = heap_bytes();
    constexpr int customers = 1000;
    for (int i = 1; i <= customers; ++i)
    {
        auto const ticket = submit_and_decide(*small_core, i, 0.001, decisions);
        small_core->record_tokens(ticket, 50, virtual_time(0.002));
        small_core->finish(ticket, decision::generation_outcome::completed, virtual_time(0.002));
    }
    double const customer_bytes = (heap_bytes() - bytes_before_customers) / customers;
    std::printf("bytes per server %.0f, per customer and kind %.0f, per running generation %.0f\n",
                server_bytes, customer_bytes, generation_bytes);
}

} // namespace

void print_decision_cost()
{
    struct fleet_size
    {
        int servers;
        int nodes;
    };
    for (auto const& size : {fleet_size{12, 8}, fleet_size{2000, full_size_nodes}})
    {
        auto const [median_decision_nanoseconds, mean_bookkeeping_nanoseconds] =
            time_requests(size.servers, size.nodes);
        std::printf("servers %4d: %.0f ns per decision (median), %.0f ns for 10 tokens and the "
                    "finish (mean)\n",
                    size.servers, median_decision_nanoseconds, mean_bookkeeping_nanoseconds);
    }
    print_memory();
}

} // namespace jasminepier::benchmarks
