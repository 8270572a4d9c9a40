/// The process of an entry VM on the platform: serves callers, follows the platform's store and
/// reports to its peers.
#include "base/log.hpp"
#include "base/periodic_thread.hpp"
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "platform/settings.hpp"
#include "services/node/caller_session.hpp"
#include "services/node/node_state.hpp"
#include "services/node/operator_handlers.hpp"
#include "services/node/peer_link.hpp"
#include "services/node/peer_objects.hpp"
#include "services/node/server_prober.hpp"
#include "services/node/settings_reload.hpp"
#include "services/node/store_watcher.hpp"

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdlib>
#include <exception>
#include <iostream>

namespace
{

using namespace jasminepier;

// Left before the platform ends the process by force, to close connections in order.
constexpr base::milliseconds stop_margin{400};
// A stopping node goes on until callers have had time to learn of it, even without requests.
constexpr base::milliseconds shortest_stop{3500};
constexpr base::milliseconds stop_step{50};
constexpr base::milliseconds log_flush_limit{100};
// The settings file may change without a signal.
constexpr base::milliseconds settings_check{1000};

/// Serves until running requests have ended or the time is up. The other nodes stop naming this one
/// to callers, while callers that know it still are served.
void stop_gracefully(node::node_state& state, node::peer_link& peers)
{
    base::steady_clock_source const clock;
    auto const begin = clock.now();
    auto const end = begin + state.settings()->shutdown_grace_period - stop_margin;
    state.begin_shutdown(end);
    peers.send_report({});
    base::log_line(base::log_level::info, "stopping").field("running", state.running());
    while (clock.now() < end && (clock.now() < begin + shortest_stop || state.running() > 0))
        std::this_thread::sleep_for(stop_step);
    state.closing().signal();
    std::this_thread::sleep_for(stop_step);
    base::log_line(base::log_level::info, "stopped").field("running", state.running());
}

/// Returns the settings, or nothing after an error that is shown on standard error.
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

/// Ends the process after an exception that nobody handles, such as an address that is in use.
/// Threads of the node run on meanwhile, so nothing is destroyed.
[[noreturn]] void end_after_failure()
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
    base::flush_logs(log_flush_limit);
    std::_Exit(1);
}

/// Serves until the stop signal and ends the process. Nothing is destroyed: threads could wait for
/// the store beyond the time that the platform leaves to a stopping process.
[[noreturn]] void run_node(node::node_settings const& settings, std::uint16_t metrics_port,
                           int workers)
{
    node::node_state state(settings);
    base::log_line(base::log_level::info, "started")
        .field("node", settings.name)
        .field("zone", settings.zone)
        .field("callers", settings.frontend.text())
        .field("store", settings.store.text());
    node::connection_pool pool;
    node::node_registrar registrar(state);
    node::peer_link peers(state);
    node::store_watcher const watcher(state, [&](std::span<store::object const> news)
                                      { peers.publish_changes(news); });
    node::peer_objects const peer_objects(state);
    node::server_prober const prober(state);
    base::periodic_thread const upkeep(std::chrono::milliseconds(1000),
                                       [&]
                                       {
                                           registrar.take_turn();
                                           pool.expire(base::steady_clock_source{}.now());
                                       });
    Poco::ThreadPool threads(4, workers);
    auto* const parameters = new Poco::Net::TCPServerParams;
    parameters->setMaxThreads(workers);
    parameters->setMaxQueued(workers);
    Poco::Net::ServerSocket const socket(
        Poco::Net::SocketAddress(settings.frontend.host, settings.frontend.port), 1024);
    Poco::Net::TCPServer server(new node::caller_session_factory(state, pool), threads, socket,
                                parameters);
    server.start();
    // Readiness is told only once callers can connect.
    node::operator_services const services(state, metrics_port);
    node::settings_reload reload(state, std::getenv(platform::settings_path_variable));
    for (auto signal = base::process_signal::none; signal != base::process_signal::shutdown;)
    {
        signal = base::wait_for_signal(settings_check);
        reload.check(signal == base::process_signal::reload ? "signal" : "changed");
    }
    stop_gracefully(state, peers);
    base::flush_logs(log_flush_limit);
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
    parser.add("workers", workers, "Most caller connections served at once")
        ->check(base::in_range<std::int64_t>(2, 20000));
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    base::configure_logging(parser.minimum_log_level());
    base::start_asynchronous_logging({});
    auto const settings = load_settings();
    if (!settings)
        return 2;
    std::set_terminate(end_after_failure);
    run_node(*settings, metrics_port, workers);
}
