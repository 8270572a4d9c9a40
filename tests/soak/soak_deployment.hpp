/// The deployment under test: node processes, in-process fakes of the store and the servers, and a
/// proxy on each link.
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
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace jasminepier::tests::soak
{

/// Number of consecutive ports that a deployment uses.
inline constexpr int port_count = 700;

/// The nodes of larger fleets are in three zones instead of two.
inline constexpr int maximum_small_fleet = 12;
/// Limited by the ports and loopback addresses.
inline constexpr int maximum_nodes = 90;

struct soak_options
{
    int nodes = 3;
    int callers = 10;
    unsigned seed = 1;
    /// Additional callers, which send only during bursts.
    int burst_callers = 0;
    /// Callers keep their connections and send short and long requests.
    bool has_varied_callers = false;
    /// First of `port_count` ports.
    std::uint16_t first_port = 0;
    /// One more caller sends prompts that crash engines, when the plan says so.
    bool has_deadly_caller = false;
    /// Object kinds that the store hides from the nodes, to show that a check detects it.
    std::vector<std::string> hidden_kinds;
    /// Folder for the output of the nodes; empty to discard it.
    std::string output_folder;
};

/// Injects faults on the thread that calls `run`; nodes, servers and callers run concurrently.
class soak_deployment
{
public:
    explicit soak_deployment(soak_options options);
    ~soak_deployment();

    /// Starts the nodes, servers and callers. Returns false if a node does not become ready in
    /// time.
    bool start();
    /// Injects the faults of the plan; returns after `duration`.
    void run(std::vector<planned_fault> const& plan, milliseconds duration);
    /// Stops the callers and returns the recorded history.
    history finish();

private:
    struct running_server
    {
        std::string id;
        std::string service;
        std::string zone;
        std::unique_ptr<fake_server> fake;
        std::unique_ptr<link_proxy> proxy;
        bool is_leaving = false;
    };
    struct running_node
    {
        std::unique_ptr<node_process> process;
        std::unique_ptr<link_proxy> caller_proxy;
        std::unique_ptr<link_proxy> store_proxy;
        std::unique_ptr<link_proxy> peer_proxy;
        /// The process is paused, killed or shutting down.
        bool has_active_fault = false;
        bool is_expected_to_run = true;
        int reload_count = 0;
    };

    void start_node(int number);
    void start_server(std::string const& service, std::string const& zone, bool is_cold);
    void write_server_entry(running_server const& target, std::string const& state);
    void stop_server(running_server& target);
    /// Ends the server without notice and starts another in its place.
    void crash_server(running_server& target);
    void crash_servers_with_deadly_prompts();
    void collect_arrivals(running_server const& target);
    /// Returns null if the selected server is leaving (draining or removed).
    running_server* select_server(unsigned target_index);
    void publish_configuration();
    void inject(planned_fault const& fault);
    void inject_link_fault(link_proxy& link, std::string const& subject,
                           planned_fault const& fault);
    void inject_node_fault(int number, planned_fault const& fault);
    void shut_down_node(int number);
    void inject_server_fault(planned_fault const& fault);
    void inject_store_fault(planned_fault const& fault);
    void restore_store(planned_fault const& fault);
    void evacuate_zone(planned_fault const& fault);
    void start_burst(planned_fault const& fault);
    void start_deadly_prompts(planned_fault const& fault);
    void schedule(milliseconds delay, std::function<void()> action);
    void record_disruption(std::string const& subject, milliseconds duration,
                           bool is_planned = false);
    void record_unexpected_exits();
    void record_host_stalls();
    /// Records when the thread of the proxies runs late.
    void watch_proxy_thread();

    soak_options m_options;
    /// The first two or three zones.
    std::span<char const* const> m_zones;
    history m_history;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work_guard;
    std::unique_ptr<fake_store> m_store;
    std::thread m_proxy_thread;
    std::vector<std::unique_ptr<running_server>> m_servers;
    std::vector<running_node> m_nodes;
    std::atomic<bool> m_burst{false};
    time_point m_burst_end;
    /// Number of the prompt part that crashes engines now, or 0.
    std::atomic<int> m_deadly_part_number{0};
    int m_deadly_part_count = 0;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::multimap<time_point, std::function<void()>> m_scheduled_actions;
    time_point m_store_fault_end;
    int m_started_server_count = 0;
    int m_configuration_version = 0;
    std::atomic<bool> m_stop_requested{false};
    std::vector<time_span> m_host_stalls;
    boost::asio::steady_timer m_proxy_timer{m_context};
    /// Used on the thread of the proxies.
    std::vector<time_span> m_proxy_stalls;
    std::thread m_host_monitor;
};

} // namespace jasminepier::tests::soak
