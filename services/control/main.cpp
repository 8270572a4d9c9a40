/// The control process of an entry VM.
#include "base/periodic_thread.hpp"
#include "base/process_signals.hpp"
#include "base/settings.hpp"
#include "services/control/control_handler.hpp"
#include "services/control/control_metrics.hpp"
#include "services/control/load_collector.hpp"
#include "services/control/peer_exchange.hpp"
#include "services/control/placement_runner.hpp"
#include "services/control/platform_watcher.hpp"
#include "store/http_object_store.hpp"

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

#include <thread>

namespace
{

using namespace jasminepier;

// Time for the state `leaving` to reach every node: immediate gossip reaches 400 nodes in less than
// three probe rounds of a second.
constexpr std::chrono::milliseconds leave_dissemination_time{3000};
// Duration of a long poll. A successful poll shows that the platform is reachable; an isolated node
// must detect the loss of both its peers and the platform within 10 s.
constexpr std::chrono::milliseconds platform_watch_timeout{5000};

struct control_settings
{
    std::string node_id = "node-1";
    std::string host = "127.0.0.1";
    std::string region = "local";
    std::string zone = "zone-a";
    std::uint16_t gossip_port = 7000;
    std::uint16_t control_port = 7002;
    std::uint16_t entry_port = 7001;
    std::uint16_t entry_peer_port = 7003;
    std::uint16_t metrics_port = 0;
    std::string seeds;
    store::http_object_store_settings platform;
    placement::command_rate_limits rate_limits;
};

/// Parses comma-separated addresses. Fails with invalid_setting if one is malformed.
base::result<std::vector<membership::contact_point>> parse_seeds(std::string const& text)
{
    std::vector<membership::contact_point> seeds;
    for (auto const& seed : Poco::StringTokenizer(
             text, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY))
    {
        auto const colon = seed.rfind(':');
        Poco::Net::IPAddress address;
        unsigned port = 0;
        if (colon == std::string::npos ||
            !Poco::Net::IPAddress::tryParse(seed.substr(0, colon), address) ||
            !Poco::NumberParser::tryParseUnsigned(seed.substr(colon + 1), port) || port < 1 ||
            port > 65535)
            return base::fail(base::error_kind::invalid_setting,
                              "'" + seed + "' is not allowed; use IP-ADDRESS:PORT");
        seeds.push_back({"", address.toString(), static_cast<int>(port)});
    }
    return seeds;
}

std::string validate_seeds(std::string const& text)
{
    return base::handle(
        [&]() -> base::result<std::string>
        {
            BOOST_LEAF_CHECK(parse_seeds(text));
            return std::string();
        },
        [](base::error const& failure) { return failure.message; });
}

void define_settings(base::settings_parser& parser, control_settings& settings)
{
    parser.add("node-id", settings.node_id, "Name of this entry VM, unique among entry VMs");
    parser.add("host", settings.host, "IP address of this entry VM")->check(base::ip_address());
    parser.add("region", settings.region, "Region of this entry VM");
    parser.add("zone", settings.zone, "Availability zone of this entry VM");
    parser.add_port("gossip-port", settings.gossip_port, "UDP port for other control processes");
    parser.add_port("control-port", settings.control_port,
                    "Port for peers and the local entry process");
    parser.add_port("entry-port", settings.entry_port, "Port of the entry process for callers");
    parser.add_port("entry-peer-port", settings.entry_peer_port,
                    "Port of the entry process for other entry processes");
    parser.add("metrics-port", settings.metrics_port, "Port of GET /metrics; 0 turns it off")
        ->check(base::in_range<std::int64_t>(0, 65535));
    parser
        .add("seeds", settings.seeds,
             "Gossip addresses (IP:PORT) of entry VMs to join, separated by commas")
        ->check(CLI::Validator(validate_seeds, ""));
    parser.add("platform-host", settings.platform.host, "IP address of the platform's object API")
        ->check(base::ip_address());
    parser.add_port("platform-port", settings.platform.port, "Port of the platform's object API");
    parser
        .add("model-loads", settings.rate_limits.maximum_loads_per_window,
             "Model loads started in any 10 seconds")
        ->check(base::in_range<std::int64_t>(1, 1000));
    parser.require_distinct_ports({{"control-port", &settings.control_port},
                                   {"entry-port", &settings.entry_port},
                                   {"entry-peer-port", &settings.entry_peer_port},
                                   {"metrics-port", &settings.metrics_port}});
}

inner_protocol::member_record make_local_record(control_settings const& settings)
{
    inner_protocol::member_record self;
    self.node_id = settings.node_id;
    // Wall-clock seconds are higher than the incarnation of an earlier process of this node.
    self.incarnation = base::unix_seconds();
    self.region = settings.region;
    self.zone = settings.zone;
    self.host = settings.host;
    self.gossip_port = settings.gossip_port;
    self.control_port = settings.control_port;
    self.entry_port = settings.entry_port;
    self.entry_peer_port = settings.entry_peer_port;
    return self;
}

std::vector<membership::contact_point> parse_checked_seeds(control_settings const& settings)
{
    return base::handle([&] { return parse_seeds(settings.seeds); }, [](base::error const&)
                        { return std::vector<membership::contact_point>(); });
}

} // namespace

int main(int argc, char** argv)
{
    base::block_process_signals();
    base::settings_parser parser("Control process of a jasminepier entry VM",
                                 "jasminepier-control");
    control_settings settings;
    settings.platform.port = 9000;
    settings.platform.watch_timeout = platform_watch_timeout;
    define_settings(parser, settings);
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    base::configure_logging(parser.minimum_log_level());

    store::http_object_store store(settings.platform);
    control::control_state state;
    control::membership_agent agent(state, make_local_record(settings),
                                    parse_checked_seeds(settings));
    control::platform_watcher watcher(store, state, agent);
    control::load_collector collector(state, agent);
    auto const handler = std::make_shared<control::control_handler>(state, agent);
    inner_protocol::rpc_server const server(
        std::make_shared<inner_protocol::control_nodeProcessor>(handler), settings.host,
        settings.control_port);
    using thread = base::periodic_thread;
    using std::chrono::milliseconds;
    thread const gossip_thread(milliseconds(0), [&] { agent.run_tick(); });
    thread const watch_thread(milliseconds(100), [&] { watcher.run_once(); });
    thread const pull_thread(milliseconds(50),
                             [&] { control::pull_configuration_if_due(agent, state); });
    // The second thread pulls from another peer while one peer is slow.
    thread const second_pull_thread(milliseconds(100),
                                    [&] { control::pull_configuration_if_due(agent, state); });
    thread const push_pull_thread(milliseconds(200),
                                  [&] { control::push_pull_members_if_due(agent); });
    thread const load_thread(milliseconds(1000), [&] { collector.run_round(); });
    std::unique_ptr<control::metrics_listener> metrics;
    if (settings.metrics_port != 0)
        metrics = std::make_unique<control::metrics_listener>(state, settings.host,
                                                              settings.metrics_port);
    control::placement_runner const placement_thread(state, settings.node_id, settings.platform,
                                                     settings.rate_limits);
    base::wait_for_shutdown_signal();
    handler->begin_shutdown();
    agent.set_leaving(true);
    std::this_thread::sleep_for(leave_dissemination_time);
    // The entry process needs the control process until its last stream has ended.
    while (handler->is_entry_draining())
        std::this_thread::sleep_for(milliseconds(100));
    std::_Exit(0);
}
