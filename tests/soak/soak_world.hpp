/// The deployment of a soak: nodes as processes, stand-ins, and a proxy in front of each link.
#pragma once

#include "tests/soak/fault_plan.hpp"
#include "tests/soak/history.hpp"
#include "tests/soak/soak_caller.hpp"
#include "tests/support/fake_server.hpp"
#include "tests/support/fake_store.hpp"
#include "tests/support/node_process.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jasminepier::tests::soak
{

struct world_options
{
    int nodes = 3;
    int callers = 10;
    unsigned seed = 1;
    std::uint16_t first_port = 25000;
    /// Kinds of objects whose changes the nodes miss, to show that a check notices it.
    std::vector<std::string> hidden_kinds;
    /// Where outputs of the nodes are kept; empty for nowhere.
    std::string output_folder;
};

/// Runs faults on the thread that calls it; everything else runs on threads of its own.
class soak_world
{
public:
    explicit soak_world(world_options options);
    ~soak_world();

    /// Waits until all nodes are ready; returns false when they are not in time.
    bool start();
    /// Applies the plan from now on and goes on until `length` has passed.
    void play(std::vector<planned_fault> const& plan, milliseconds length);
    /// Ends everything and returns what was seen.
    history finish();

private:
    struct running_server
    {
        std::string id;
        std::string service;
        std::string zone;
        std::unique_ptr<fake_server> server;
        std::unique_ptr<link_proxy> proxy;
        bool leaving = false;
    };
    struct running_node
    {
        std::unique_ptr<node_process> process;
        std::unique_ptr<link_proxy> callers;
        std::unique_ptr<link_proxy> store;
        std::unique_ptr<link_proxy> peers;
        /// A fault has the process now.
        bool taken = false;
        bool expected_to_run = true;
        int reloads = 0;
    };

    void start_node(int number);
    void start_server(std::string const& service, std::string const& zone, bool cold);
    void write_server(running_server const& target, std::string const& state);
    void end_server(running_server& target);
    void collect_arrivals(running_server const& target);
    running_server* pick_server(unsigned target);
    void write_configuration();
    void apply(planned_fault const& fault);
    void disturb_link(link_proxy& link, std::string const& subject, planned_fault const& fault);
    void disturb_node(int number, planned_fault const& fault);
    void stop_node(int number);
    void disturb_server(planned_fault const& fault);
    void disturb_store(planned_fault const& fault);
    void evacuate_zone(planned_fault const& fault);
    void after(milliseconds time, std::function<void()> action);
    void note_disruption(std::string const& subject, milliseconds length);
    void check_processes();
    void watch_host();

    world_options m_options;
    history m_history;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_proxy_thread;
    std::unique_ptr<fake_store> m_store;
    std::vector<std::unique_ptr<running_server>> m_servers;
    std::vector<running_node> m_nodes;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::multimap<time_point, std::function<void()>> m_due;
    time_point m_store_disturbed_until;
    int m_started_servers = 0;
    int m_version = 0;
    std::atomic<bool> m_finishing{false};
    std::vector<time_span> m_host_stalls;
    std::thread m_host_watch;
};

} // namespace jasminepier::tests::soak
