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
    // Large blocks are mapped and counted apart.
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// A virtual time well after every start-up delay.
base::time_point at(double seconds)
{
    return base::time_point(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6))) +
           std::chrono::seconds(1000);
}

void report_all(decision::decision_core& core, int servers, double now)
{
    simulated_engine engine;
    for (int i = 0; i < servers; ++i)
        core.apply_report(engine_name(i), engine.report(), at(now), at(now));
}

std::unique_ptr<decision::decision_core> make_core(int servers, int nodes)
{
    auto core = std::make_unique<decision::decision_core>(
        decision::core_settings{node_name(0), zone_name(0), 1, {}});
    core->apply_configuration(make_configuration({}, servers, nodes, -1), at(0));
    report_all(*core, servers, 0);
    return core;
}

std::uint64_t send(decision::decision_core& core, int customer, double now,
                   std::vector<decision::decision_result>& decisions)
{
    decision::submission request;
    request.service = service_name;
    request.model = model_name;
    request.customer = customer_name(customer);
    request.prompt_tokens = 200;
    request.prefix_hash = static_cast<std::uint64_t>(customer) + 1;
    auto const ticket = core.submit(request, at(now));
    decisions.clear();
    core.poll(at(now), decisions);
    return ticket;
}

/// Returns nanoseconds for one request: submit, decide, ten token notes and the finish.
std::pair<double, double> time_requests(int servers, int nodes)
{
    auto const core = make_core(servers, nodes);
    std::vector<decision::decision_result> decisions;
    constexpr int rounds = 20000;
    std::vector<double> decide(rounds);
    double rest = 0;
    double now = 0;
    for (int i = 0; i < rounds; ++i)
    {
        now += 0.0001;
        auto const start = std::chrono::steady_clock::now();
        auto const ticket = send(*core, i % 100, now, decisions);
        auto const decided = std::chrono::steady_clock::now();
        for (int token = 0; token < 10; ++token)
            core->record_tokens(ticket, 1, at(now));
        core->finish(ticket, decision::generation_outcome::completed, at(now));
        auto const end = std::chrono::steady_clock::now();
        decide[static_cast<std::size_t>(i)] =
            std::chrono::duration<double, std::nano>(decided - start).count();
        rest += std::chrono::duration<double, std::nano>(end - decided).count() / rounds;
    }
    std::nth_element(decide.begin(), decide.begin() + rounds / 2, decide.end());
    return {decide[rounds / 2], rest};
}

void print_memory()
{
    auto const small = make_core(1000, 8);
    double const before_servers = heap_bytes();
    auto const more = make_core(2000, 8);
    double const large = heap_bytes() - before_servers;
    double const before_half = heap_bytes();
    auto const half = make_core(1000, 8);
    double const server_bytes = (large - (heap_bytes() - before_half)) / 1000;

    std::vector<decision::decision_result> decisions;
    double const before_running = heap_bytes();
    constexpr int generations = 5000;
    for (int i = 0; i < generations; ++i)
        send(*more, 0, 0.001, decisions);
    double const generation_bytes = (heap_bytes() - before_running) / generations;

    double const before_customers = heap_bytes();
    constexpr int customers = 1000;
    for (int i = 1; i <= customers; ++i)
    {
        auto const ticket = send(*small, i, 0.001, decisions);
        small->record_tokens(ticket, 50, at(0.002));
        small->finish(ticket, decision::generation_outcome::completed, at(0.002));
    }
    double const customer_bytes = (heap_bytes() - before_customers) / customers;
    std::printf("bytes per server %.0f, per customer and kind %.0f, per running generation %.0f\n",
                server_bytes, customer_bytes, generation_bytes);
}

} // namespace

void print_speed()
{
    struct fleet_size
    {
        int servers;
        int nodes;
    };
    for (auto const& size : {fleet_size{12, 8}, fleet_size{2000, full_size_nodes}})
    {
        auto const [decide, rest] = time_requests(size.servers, size.nodes);
        std::printf("servers %4d: %.0f ns per decision (median), %.0f ns for 10 tokens and the "
                    "finish (mean)\n",
                    size.servers, decide, rest);
    }
    print_memory();
}

} // namespace jasminepier::benchmarks
