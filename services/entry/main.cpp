/// The request-serving process of an entry VM.
#include "base/log.hpp"
#include "base/periodic_thread.hpp"
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "inner_protocol/rpc.hpp"
#include "services/entry/caller_memory.hpp"
#include "services/entry/control_link.hpp"
#include "services/entry/entry_peer_handler.hpp"
#include "services/entry/front_handler.hpp"

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <algorithm>

namespace
{

using namespace jasminepier;

constexpr std::size_t bytes_per_mebibyte = std::size_t{1024} * 1024;
// Serve connections that close others because the bound is reached, until these have ended.
constexpr int spare_workers = 16;

/// Waits until the addresses cached by callers have expired, then rejects new requests and waits
/// for running ones; see docs/design.md section 4.4. A `drain_limit` of 0 means no limit.
void shut_down_gracefully(entry::serving_state& serving, entry::plain_calls const& plain,
                          Poco::Net::TCPServer& server, std::chrono::seconds drain_limit)
{
    constexpr std::chrono::seconds address_margin{5};
    // Covers the five minutes in which a service may respond to a non-idempotent call, and
    // recording.
    constexpr std::chrono::minutes maximum_outcome_wait{10};
    auto const address_wait =
        std::chrono::seconds(serving.settings().address_time_to_live_seconds) + address_margin;
    auto const begin = base::steady_clock_source{}.now();
    // Time to send the last responses before the process exits.
    constexpr std::chrono::milliseconds response_margin{500};
    serving.shutdown().begin(begin, drain_limit.count() == 0 ? std::nullopt
                                                             : std::optional<base::time_point>(
                                                                   begin + address_wait +
                                                                   drain_limit - response_margin));
    serving.set_phase(entry::shutdown_phase::leaving);
    base::log_line(base::log_level::info, "stopping")
        .field("phase", "leaving")
        .field("running", serving.active_requests());
    std::this_thread::sleep_for(address_wait);
    serving.set_phase(entry::shutdown_phase::refusing);
    base::log_line(base::log_level::info, "stopping")
        .field("phase", "refusing")
        .field("running", serving.active_requests());
    auto const drain_deadline = std::chrono::steady_clock::now() + drain_limit;
    auto const within_limit = [&]
    { return drain_limit.count() == 0 || std::chrono::steady_clock::now() < drain_deadline; };
    while (serving.active_requests() > 0 && within_limit())
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    // Requests that were accepted in the meantime are rejected before the process exits.
    server.stop();
    while (serving.active_requests() > 0 && within_limit())
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    // If the process exited now, the outcome of open non-idempotent calls would be unknown. The
    // limit lets the process exit even if the platform stays unavailable.
    auto const outcome_deadline = std::chrono::steady_clock::now() + maximum_outcome_wait;
    while (plain.open_claims() > 0 && within_limit() &&
           std::chrono::steady_clock::now() < outcome_deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    base::log_line(base::log_level::info, "stopping")
        .field("phase", "ended")
        .field("open_claims", plain.open_claims())
        .field("running", serving.active_requests());
}

} // namespace

int main(int argc, char** argv)
{
    base::block_process_signals();
    base::settings_parser parser("Serves callers on a jasminepier entry VM", "jasminepier-entry");
    std::string host = "127.0.0.1";
    std::uint16_t entry_port = 7001;
    std::uint16_t control_port = 7002;
    std::uint16_t entry_peer_port = 7003;
    std::string node_id = "node-1";
    store::http_object_store_settings platform_settings;
    platform_settings.port = 9000;
    int workers = 1024;
    parser.add("host", host, "IP address of this entry VM")->check(base::ip_address());
    parser.add_port("entry-port", entry_port, "Port for callers");
    parser.add_port("control-port", control_port, "Port of the control process on this VM");
    parser.add_port("entry-peer-port", entry_peer_port, "Port for other entry nodes");
    parser.add("node-id", node_id, "Name of this entry VM, unique among entry VMs");
    parser.add("platform-host", platform_settings.host, "IP address of the platform's object API")
        ->check(base::ip_address());
    parser.add_port("platform-port", platform_settings.port, "Port of the platform's object API");
    parser.add("workers", workers, "Maximum number of connections served concurrently")
        ->check(base::in_range<std::int64_t>(2, 20000));
    parser.require_distinct_ports({{"entry-port", &entry_port},
                                   {"control-port", &control_port},
                                   {"entry-peer-port", &entry_peer_port}});
    entry::serving_settings serving_settings;
    int engine_silence_milliseconds =
        static_cast<int>(serving_settings.engine_silence_timeout.count());
    int drain_limit = 0;
    int memory_mebibytes = 0;
    int maximum_descriptors = 0;
    parser
        .add("engine-silence-milliseconds", engine_silence_milliseconds,
             "Milliseconds without data from an engine before its stream is resumed")
        ->check(base::in_range<std::int64_t>(100, 600000));
    parser
        .add("address-time-to-live", serving_settings.address_time_to_live_seconds,
             "Seconds for which callers may cache the addresses of entry VMs")
        ->check(base::in_range<std::int64_t>(0, 3600));
    parser
        .add("drain-limit", drain_limit,
             "Seconds that a graceful shutdown waits for active requests; 0 means no limit")
        ->check(base::in_range<std::int64_t>(0, 86400));
    parser
        .add("memory-mib", memory_mebibytes,
             "Resident memory that callers must not make the process exceed, MiB; 0 means no bound")
        ->check(base::in_range<std::int64_t>(0, 16777216));
    parser
        .add("maximum-descriptors", maximum_descriptors,
             "Descriptors that callers must not make the process exceed; 0 means no bound")
        ->check(base::in_range<std::int64_t>(0, 16777216));
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    base::configure_logging(parser.minimum_log_level());

    serving_settings.engine_silence_timeout =
        std::chrono::milliseconds(engine_silence_milliseconds);
    serving_settings.local_address = host + ":" + std::to_string(entry_port);
    // Limits that are not stated bound nothing.
    serving_settings.process.memory_bytes =
        static_cast<std::size_t>(memory_mebibytes) * bytes_per_mebibyte;
    serving_settings.process.sockets = maximum_descriptors;
    serving_settings.process.workers = workers;
    http::return_freed_memory();
    entry::serving_state serving(serving_settings);
    auto const& caller_limits = serving.caller_memory().limits();
    entry::entry_state state(node_id, serving.shutdown());
    entry::control_link link(state, serving, host, control_port);
    base::periodic_thread const control_exchange_thread(std::chrono::milliseconds(200),
                                                        [&] { link.exchange(); });
    entry::plain_calls plain(state, serving.shutdown(), node_id, platform_settings);
    inner_protocol::rpc_server const peers(std::make_shared<inner_protocol::entry_nodeProcessor>(
                                               std::make_shared<entry::entry_peer_handler>(plain)),
                                           host, entry_peer_port);
    bool const is_bounded = memory_mebibytes > 0 || maximum_descriptors > 0;
    auto const threads = is_bounded ? caller_limits.connections + spare_workers : workers;
    Poco::ThreadPool pool(16, std::max(threads, 16));
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(threads);
    parameters->setMaxQueued(caller_limits.queued_connections);
    // Limits how long an idle caller occupies a worker.
    parameters->setTimeout(Poco::Timespan(20, 0));
    Poco::Net::ServerSocket const socket(Poco::Net::SocketAddress(host, entry_port), 1024);
    Poco::Net::TCPServer server(
        new entry::caller_connection_factory(
            serving.caller_memory(), parameters,
            new entry::front_handler_factory({state, serving, plain, link})),
        pool, socket, parameters);
    server.start();
    base::wait_for_shutdown_signal();
    shut_down_gracefully(serving, plain, server, std::chrono::seconds(drain_limit));
    std::_Exit(0);
}
