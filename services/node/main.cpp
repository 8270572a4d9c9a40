/// The node process of an entry VM: serves callers, watches the platform's store and exchanges
/// reports with its peers.
#include "base/log.hpp"
#include "base/periodic_thread.hpp"
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "platform/settings.hpp"
#include "services/node/auxiliary_endpoints.hpp"
#include "services/node/caller_session.hpp"
#include "services/node/node_state.hpp"
#include "services/node/peer_link.hpp"
#include "services/node/peer_object_sync.hpp"
#include "services/node/rollout_agent.hpp"
#include "services/node/server_crashes.hpp"
#include "services/node/server_prober.hpp"
#include "services/node/settings_reloader.hpp"
#include "services/node/store_watcher.hpp"
#include "services/node/version_recorder.hpp"

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace
{

using namespace jasminepier;

// Times before the end of the grace period at which the last responses are sent and the process
// exits; for short grace periods, these fractions of it.
constexpr base::milliseconds maximum_response_margin{400};
constexpr base::milliseconds maximum_exit_margin{150};
constexpr int response_margin_fraction = 8;
constexpr int exit_margin_fraction = 20;
// A node without requests keeps serving until callers have had time to learn of its shutdown.
constexpr base::milliseconds minimum_shutdown_duration{3500};
constexpr base::milliseconds shutdown_poll_interval{20};
constexpr base::milliseconds log_flush_timeout{100};
// The settings file may change without a SIGHUP, so the node also checks it regularly.
constexpr base::milliseconds settings_check_interval{1000};
// Serve connections that close others because the bound is reached, until these have ended.
constexpr int spare_workers = 16;

/// Serves the active requests, and new ones that end in time, until all have ended or the grace
/// period is over. Meanwhile, peers no longer return this node's address to callers.
void shut_down_gracefully(node::node_state& state, node::peer_link& peers)
{
    base::steady_clock_source const clock;
    auto const begin = clock.now();
    auto const grace_period = state.settings()->shutdown_grace_period;
    auto const response_end =
        begin + grace_period -
        std::min(maximum_response_margin, grace_period / response_margin_fraction);
    auto const exit_time =
        begin + grace_period - std::min(maximum_exit_margin, grace_period / exit_margin_fraction);
    auto const wait_for_active_requests = [&]
    {
        while (clock.now() < exit_time && state.active_requests() > 0)
            std::this_thread::sleep_for(shutdown_poll_interval);
    };
    state.begin_shutdown(begin, response_end);
    peers.send_report({});
    base::log_line(base::log_level::info, "stopping").field("running", state.active_requests());
    while (clock.now() < begin + minimum_shutdown_duration && clock.now() < response_end)
        std::this_thread::sleep_for(shutdown_poll_interval);
    // Requests that are still running at `response_end` are answered with an error.
    wait_for_active_requests();
    // A request that was read in the meantime is still answered.
    state.stop_reading();
    wait_for_active_requests();
    base::log_line(base::log_level::info, "stopped")
        .field("running", state.active_requests())
        .field("elapsed_ms", state.shutdown().admission().elapsed(clock.now()).count());
}

/// Reads the settings file. Prints the error and returns nothing if the file is invalid.
std::optional<node::node_settings> load_settings()
{
    auto const* const path = std::getenv(platform::settings_path_variable);
    if (path == nullptr)
    {
        std::cerr << platform::settings_path_variable << " is not set\n";
        return std::nullopt;
    }
    return base::handle(
        [&]() -> base::result<std::optional<node::node_settings>>
        {
            BOOST_LEAF_AUTO(settings, platform::read_settings(path));
            return std::optional(settings);
        },
        [](base::error const& failure) -> std::optional<node::node_settings>
        {
            std::cerr << failure.message << '\n';
            return std::nullopt;
        });
}

/// Terminate handler: logs an unhandled exception, such as an address in use, and exits with status
/// 1. Destroys nothing, since other threads are still running.
[[noreturn]] void terminate_after_exception()
{
    std::string reason = "unknown";
    try
    {
        if (auto const failure = std::current_exception())
            std::rethrow_exception(failure);
    }
    catch (Poco::Exception const& failure)
    {
        reason = failure.displayText();
    }
    catch (std::exception const& failure)
    {
        reason = failure.what();
    }
    base::log_line(base::log_level::error, "failed").field("reason", reason);
    base::flush_logs(log_flush_timeout);
    std::_Exit(1);
}

/// Serves until the shutdown signal, then exits the process. Destroys nothing: joining threads that
/// wait for the store could take longer than the platform's grace period.
[[noreturn]] void run_node(node::node_settings const& settings, std::uint16_t metrics_port)
{
    http::return_freed_memory();
    node::node_state state(settings);
    auto const& caller_limits = state.caller_memory().limits();
    base::log_line(base::log_level::info, "started")
        .field("node", settings.name)
        .field("zone", settings.zone)
        .field("callers", settings.caller_endpoint.text())
        .field("store", settings.store.text())
        .field("caller_bytes", caller_limits.bytes)
        .field("caller_connections", caller_limits.connections);
    node::connection_pool pool;
    node::node_registrar registrar(state);
    node::version_recorder versions(state);
    node::peer_link peers(state);
    node::store_watcher const watcher(state, [&](std::span<store::object const> changes)
                                      { peers.publish_changes(changes); });
    node::peer_object_sync const object_sync(state);
    node::server_prober const prober(state);
    std::optional<node::rollout_agent> rollouts;
    if (settings.rollouts)
        rollouts.emplace(state);
    base::periodic_thread const maintenance(std::chrono::milliseconds(1000),
                                            [&]
                                            {
                                                registrar.run_maintenance();
                                                versions.run_maintenance();
                                                node::confirm_server_crashes(state);
                                                pool.close_expired(
                                                    base::steady_clock_source{}.now());
                                            });
    auto const workers = caller_limits.connections + spare_workers;
    Poco::ThreadPool worker_pool(4, workers);
    auto* const server_parameters = new Poco::Net::TCPServerParams;
    server_parameters->setMaxThreads(workers);
    server_parameters->setMaxQueued(caller_limits.queued_connections);
    Poco::Net::ServerSocket const socket(
        Poco::Net::SocketAddress(settings.caller_endpoint.host, settings.caller_endpoint.port),
        1024);
    Poco::Net::TCPServer server(new node::caller_session_factory(state, pool), worker_pool, socket,
                                server_parameters);
    server.start();
    // The readiness endpoint opens only once callers can connect.
    node::auxiliary_endpoints const endpoints(state, metrics_port);
    node::settings_reloader reloader(state, std::getenv(platform::settings_path_variable));
    for (auto signal = base::process_signal::none; signal != base::process_signal::shutdown;)
    {
        signal = base::wait_for_signal(settings_check_interval);
        reloader.reload_if_changed(signal == base::process_signal::reload ? "signal" : "changed");
    }
    shut_down_gracefully(state, peers);
    base::flush_logs(log_flush_timeout);
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    base::block_process_signals();
    base::settings_parser parser("Serves callers on a VM of the platform", "jasminepier-node");
    std::uint16_t metrics_port = 0;
    int workers = 1024;
    parser.add_port("metrics-port", metrics_port, "Port for metrics; 0 serves none");
    parser.add("workers", workers, "Maximum number of caller connections served at once")
        ->check(base::in_range<std::int64_t>(2, 20000));
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    base::configure_logging(parser.minimum_log_level());
    base::start_asynchronous_logging({});
    auto settings = load_settings();
    if (!settings)
        return 2;
    std::set_terminate(terminate_after_exception);
    settings->workers = workers;
    run_node(*settings, metrics_port);
}
