/// The control process of an entry VM.
#include "base/background_thread.hpp"
#include "base/settings.hpp"
#include "base/stop_signal.hpp"
#include "platform/http_object_store.hpp"
#include "services/control/control_handler.hpp"
#include "services/control/load_collector.hpp"
#include "services/control/platform_watcher.hpp"

int main(int argc, char** argv)
{
    using namespace jasminepier;
    base::block_stop_signals();
    base::settings_parser parser("Control process of a jasminepier entry VM",
                                 "jasminepier-control");
    std::string node_id = "node-1";
    std::string host = "127.0.0.1";
    std::uint16_t control_port = 7002;
    platform::http_object_store_settings platform_settings;
    platform_settings.port = 9000;
    parser.add("node-id", node_id, "Name of this entry VM, unique among entry VMs");
    parser.add("host", host, "IP address of this entry VM")->check(base::ip_address());
    parser.add_port("control-port", control_port, "Port for peers and the local entry process");
    parser.add("platform-host", platform_settings.host, "IP address of the platform's object API")
        ->check(base::ip_address());
    parser.add_port("platform-port", platform_settings.port, "Port of the platform's object API");
    if (auto status = parser.try_parse(argc, argv))
        return *status;
    base::configure_logging(parser.level());

    platform::http_object_store store(platform_settings);
    control::control_state state;
    control::platform_watcher watcher(store, state);
    inner_protocol::rpc_server const server(
        std::make_shared<inner_protocol::control_nodeProcessor>(
            std::make_shared<control::control_handler>(state, node_id)),
        host, control_port);
    base::background_thread const watching(std::chrono::milliseconds(200), [&] { watcher.step(); });
    base::background_thread const collecting(std::chrono::milliseconds(1000),
                                             [&] { control::collect_loads(state); });
    base::wait_for_stop_signal();
    std::_Exit(0);
}
