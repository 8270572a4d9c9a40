/// The request-serving process of an entry VM.
#include "base/background_thread.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/stop_signal.hpp"
#include "inner_protocol/rpc.hpp"
#include "services/entry/entry_peer_handler.hpp"
#include "services/entry/front_handler.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

namespace
{

using namespace jasminepier;

void exchange_with_control(inner_protocol::rpc_client<inner_protocol::control_nodeClient>& control,
                           entry::entry_state& state)
{
    inner_protocol::entry_report report;
    report.applied_revision = state.snapshot()->revision;
    report.known_revision = report.applied_revision;
    report.known_load_sequence = state.load_sequence();
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(update, control.call(
                                        [&](inner_protocol::control_nodeClient& client)
                                        {
                                            inner_protocol::control_update received;
                                            client.exchange(received, report);
                                            return received;
                                        }));
            state.apply(update);
            return {};
        },
        [](base::error const& failure)
        {
            base::log_line(base::log_level::warning, "control_unreachable")
                .field("reason", failure.message);
        });
}

} // namespace

int main(int argc, char** argv)
{
    base::block_stop_signals();
    base::settings_parser parser("Serves callers on a jasminepier entry VM", "jasminepier-entry");
    std::string host = "127.0.0.1";
    std::uint16_t entry_port = 7001;
    std::uint16_t control_port = 7002;
    std::uint16_t entry_peer_port = 7003;
    std::string node_id = "node-1";
    platform::http_object_store_settings platform_settings;
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
    parser.add("workers", workers, "Most connections served at once")
        ->check(base::in_range<std::int64_t>(2, 20000));
    parser.require_distinct_ports({{"entry-port", &entry_port},
                                   {"control-port", &control_port},
                                   {"entry-peer-port", &entry_peer_port}});
    if (auto status = parser.try_parse(argc, argv))
        return *status;
    base::configure_logging(parser.level());

    entry::entry_state state;
    inner_protocol::rpc_client<inner_protocol::control_nodeClient> control(
        host, control_port, std::chrono::milliseconds(1000));
    base::background_thread const exchanging(std::chrono::milliseconds(200),
                                             [&] { exchange_with_control(control, state); });
    entry::plain_calls plain(state, node_id, platform_settings);
    inner_protocol::rpc_server const peers(std::make_shared<inner_protocol::entry_nodeProcessor>(
                                               std::make_shared<entry::entry_peer_handler>(plain)),
                                           host, entry_peer_port);
    Poco::ThreadPool pool(16, workers);
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(workers);
    parameters->setMaxQueued(workers);
    Poco::Net::ServerSocket const socket(Poco::Net::SocketAddress(host, entry_port), 1024);
    Poco::Net::HTTPServer server(new entry::front_handler_factory(state, plain), pool, socket,
                                 parameters);
    server.start();
    base::wait_for_stop_signal();
    server.stopAll(false);
    std::_Exit(0);
}
