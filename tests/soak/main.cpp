/// Plays seeded faults against running nodes and checks what callers and servers saw.
#include "tests/soak/checks.hpp"
#include "tests/soak/soak_world.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace
{

using namespace jasminepier::tests::soak;

// Nodes have settled and callers use all of them before the first fault.
constexpr milliseconds settle_time{3000};
// The time after recovery in which callers are served again.
constexpr milliseconds recovered_time{3000};

std::string time_text(time_point begin, time_point at)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(at - begin).count());
}

void write_history(std::filesystem::path const& folder, history const& seen, time_point begin)
{
    std::ofstream calls(folder / "calls.txt");
    for (auto const& call : seen.calls)
        calls << call.id << " node " << call.node << " sent " << time_text(begin, call.sent)
              << " ended " << time_text(begin, call.ended) << " status " << call.status
              << (call.whole ? " whole" : " broken") << (call.not_sent ? " not_sent" : "")
              << (call.left ? " left" : "") << '\n';
    std::ofstream arrivals(folder / "arrivals.txt");
    for (auto const& item : seen.arrivals)
        arrivals << item.id << " server " << item.server << " arrived "
                 << time_text(begin, item.arrived) << " ended "
                 << (item.ended ? time_text(begin, *item.ended) : "-")
                 << (item.executed ? "" : " rejected") << (item.succeeded ? " succeeded" : "")
                 << " from " << item.continues_from << '\n';
    std::ofstream disruptions(folder / "disruptions.txt");
    for (auto const& [subject, spans] : seen.disruptions)
        for (auto const& span : spans)
            disruptions << subject << " " << time_text(begin, span.from) << " "
                        << time_text(begin, span.to) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    world_options options;
    int seconds = 14;
    std::string keep;
    bool print_only = false;
    CLI::App application{"Plays seeded faults against running nodes and checks the promises."};
    application.add_option("--seed", options.seed, "Seed of the faults and of the callers");
    application.add_option("--seconds", seconds, "Time in which faults begin")
        ->check(CLI::Range(1, 600));
    application.add_option("--nodes", options.nodes, "Nodes")->check(CLI::Range(1, 30));
    application.add_option("--callers", options.callers, "Callers")->check(CLI::Range(1, 200));
    application.add_option("--first-port", options.first_port, "First of 700 ports");
    application.add_option("--hide", options.hidden_kinds,
                           "Kinds of objects whose changes the nodes miss");
    application.add_option("--keep", keep, "Folder for the records of a run that fails");
    application.add_flag("--print-plan", print_only, "Print the faults and end");
    CLI11_PARSE(application, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);

    auto const plan =
        make_plan(options.seed, settle_time, settle_time + std::chrono::seconds(seconds));
    std::cout << "seed " << options.seed << ", " << plan.size() << " faults\n";
    for (auto const& fault : plan)
        std::cout << describe(fault) << '\n';
    if (print_only)
        return 0;
    if (!keep.empty())
        std::filesystem::create_directories(keep);
    options.output_folder = keep;
    std::unique_ptr<soak_world> world;
    try
    {
        world = std::make_unique<soak_world>(options);
        if (!world->start())
        {
            std::cerr << "the nodes did not become ready\n";
            return 2;
        }
    }
    catch (std::exception const& failure)
    {
        std::cerr << "cannot start: " << failure.what() << '\n';
        std::_Exit(2);
    }
    auto const begin = std::chrono::steady_clock::now();
    world->play(plan,
                settle_time + std::chrono::seconds(seconds) + bounds::recovery + recovered_time);
    auto const seen = world->finish();
    auto const timely =
        std::count_if(seen.calls.begin(), seen.calls.end(),
                      [&](auto const& call) { return in_touch(seen, call.node, call.sent); });
    std::size_t broken = 0;
    for (auto const& check : all_checks())
        for (auto const& text : check.run(seen))
        {
            std::cout << "BROKEN " << check.name << ": " << text << '\n';
            ++broken;
        }
    auto const served =
        std::count_if(seen.calls.begin(), seen.calls.end(),
                      [](auto const& call) { return call.status == 200 && call.whole; });
    std::cout << seen.calls.size() << " requests, " << timely << " at undisturbed nodes, " << served
              << " served, " << seen.arrivals.size() << " arrivals, " << broken
              << " broken promises\n";
    if (!keep.empty())
        write_history(keep, seen, begin);
    return broken == 0 ? 0 : 1;
}
