/// Runs node processes under faults drawn from a seed and checks the recorded history.
#include "tests/soak/checks.hpp"
#include "tests/soak/soak_deployment.hpp"
#include "tests/support/port_reservation.hpp"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace
{

using namespace jasminepier::tests::soak;
using jasminepier::tests::reserve_ports;

// Time before the first fault, in which the nodes settle and callers use all of them.
constexpr milliseconds initial_delay{3000};
// Time after the recovery in which requests must succeed.
constexpr milliseconds recovered_observation_time{3000};

constexpr int default_large_fleet = 16;

std::string milliseconds_since(time_point begin, time_point at)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(at - begin).count());
}

void write_history(std::filesystem::path const& folder, history const& recorded, time_point begin)
{
    std::ofstream requests(folder / "calls.txt");
    for (auto const& request : recorded.requests)
        requests << request.id << " node " << request.node << " sent "
                 << milliseconds_since(begin, request.sent_at) << " ended "
                 << milliseconds_since(begin, request.ended_at) << " status " << request.status
                 << (request.is_complete ? " whole" : " broken")
                 << (request.connect_failed ? " not_sent" : "")
                 << (request.disconnected_at ? " left" : "")
                 << (request.deadly_part.empty() ? "" : " " + request.deadly_part) << '\n';
    std::ofstream arrivals(folder / "arrivals.txt");
    for (auto const& arrival : recorded.arrivals)
        arrivals << arrival.id << " server " << arrival.server << " arrived "
                 << milliseconds_since(begin, arrival.arrived_at) << " ended "
                 << (arrival.ended_at ? milliseconds_since(begin, *arrival.ended_at) : "-")
                 << (arrival.executed ? "" : " rejected") << (arrival.succeeded ? " succeeded" : "")
                 << " from " << arrival.copy_source << '\n';
    std::ofstream disruptions(folder / "disruptions.txt");
    for (auto const& [subject, spans] : recorded.disruptions)
        for (auto const& span : spans)
            disruptions << subject << " " << milliseconds_since(begin, span.from) << " "
                        << milliseconds_since(begin, span.to) << '\n';
}

/// Ends the program without destroying the parts that have been started.
[[noreturn]] void exit_without_start(soak_options const& options, std::string const& reason)
{
    std::cerr << "cannot start";
    if (options.first_port != 0)
        std::cerr << " with the ports from " << options.first_port << " on";
    std::cerr << ": " << reason << std::endl;
    std::_Exit(2);
}

} // namespace

int main(int argc, char** argv)
{
    soak_options options;
    int seconds = 14;
    std::string output_folder;
    bool print_plan_only = false;
    CLI::App application{
        "Injects faults drawn from a seed into running nodes and checks the recorded history."};
    application.add_option("--seed", options.seed, "Seed of the faults and the callers");
    application.add_option("--seconds", seconds, "Duration in which faults begin, in seconds")
        ->check(CLI::Range(1, 600));
    auto* const node_option = application.add_option("--nodes", options.nodes, "Number of nodes")
                                  ->check(CLI::Range(1, maximum_nodes));
    application.add_option("--callers", options.callers, "Number of callers")
        ->check(CLI::Range(1, 200));
    bool planned_work_only = false;
    application.add_flag("--planned-work", planned_work_only,
                         "Only stop and reload nodes and change the configuration, beside bursts");
    bool overlapping_changes_only = false;
    application.add_flag("--overlapping-changes", overlapping_changes_only,
                         "Change several kinds of objects at the same time while nodes are cut off "
                         "or stop and prompts crash engines, in a fleet of 16 nodes by default");
    bool restores_store = false;
    application.add_flag("--restorations", restores_store,
                         "Also restore the store from a copy every few seconds");
    application.add_option("--first-port", options.first_port,
                           "First of 700 consecutive ports; reserves free ones if it is not given");
    application.add_option("--hide", options.hidden_kinds,
                           "Object kinds whose changes the store hides from the nodes");
    application.add_option("--keep", output_folder,
                           "Folder for the recorded history and the output of the nodes");
    application.add_flag("--print-plan", print_plan_only, "Print the planned faults and exit");
    CLI11_PARSE(application, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);

    auto const plan_end = initial_delay + std::chrono::seconds(seconds);
    auto plan = (planned_work_only          ? make_planned_work
                 : overlapping_changes_only ? make_overlapping_changes
                                            : make_plan)(options.seed, initial_delay, plan_end);
    if (restores_store)
        add_restorations(plan, options.seed, initial_delay, plan_end);
    if (overlapping_changes_only)
    {
        options.has_deadly_caller = true;
        if (node_option->empty())
            options.nodes = default_large_fleet;
    }
    if (planned_work_only)
    {
        options.has_varied_callers = true;
        options.burst_callers = options.callers;
    }
    std::cout << "seed " << options.seed << ", " << plan.size() << " faults\n";
    for (auto const& fault : plan)
        std::cout << describe(fault) << '\n';
    if (print_plan_only)
        return 0;
    if (!output_folder.empty())
        std::filesystem::create_directories(output_folder);
    options.output_folder = output_folder;
    std::unique_ptr<soak_deployment> soak;
    try
    {
        if (options.first_port == 0)
            options.first_port = reserve_ports(port_count);
        soak = std::make_unique<soak_deployment>(options);
        if (!soak->start())
        {
            std::cerr << "a node did not become ready in time\n";
            return 2;
        }
    }
    catch (Poco::Exception const& failure)
    {
        exit_without_start(options, failure.displayText());
    }
    catch (std::exception const& failure)
    {
        exit_without_start(options, failure.what());
    }
    auto const begin = std::chrono::steady_clock::now();
    soak->run(plan, initial_delay + std::chrono::seconds(seconds) + limits::recovery_time +
                        recovered_observation_time);
    auto const recorded = soak->finish();
    auto const undisturbed_count =
        std::count_if(recorded.requests.begin(), recorded.requests.end(),
                      [&](auto const& request)
                      { return is_node_undisturbed(recorded, request.node, request.sent_at); });
    std::size_t violation_count = 0;
    for (auto const& check : all_checks())
        for (auto const& violation : check.find_violations(recorded))
        {
            std::cout << "BROKEN " << check.name << ": " << violation << '\n';
            ++violation_count;
        }
    auto const served_count = std::count_if(
        recorded.requests.begin(), recorded.requests.end(),
        [](auto const& request) { return request.status == 200 && request.is_complete; });
    std::cout << recorded.requests.size() << " requests, " << undisturbed_count
              << " at undisturbed nodes, " << served_count << " served, "
              << recorded.arrivals.size() << " arrivals, " << violation_count
              << " broken guarantees\n";
    if (!output_folder.empty())
        write_history(output_folder, recorded, begin);
    return violation_count == 0 ? 0 : 1;
}
