#include "tests/support/deployment.hpp"

#include "configuration/types.hpp"
#include "store/http_object_store.hpp"

#include <array>
#include <thread>

namespace jasminepier::tests
{
namespace
{

std::string zone_for(int number)
{
    constexpr std::array zones{"zone-a", "zone-b", "zone-c"};
    return zones[static_cast<std::size_t>(number - 1) % zones.size()];
}

std::string port_string(int port)
{
    return std::to_string(port);
}

/// Returns the gossip addresses of the first two nodes, which all nodes join at.
std::string gossip_seeds(std::string const& host)
{
    return host + ":" + port_string(gossip_port_base + 1) + "," + host + ":" +
           port_string(gossip_port_base + 2);
}

} // namespace

bool wait_until(std::function<bool()> const& condition, std::chrono::milliseconds timeout)
{
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

deployment::deployment(std::string host) : m_host(std::move(host))
{
    m_processes["platform"] = std::make_unique<process>(
        "stand-in-platform",
        std::vector<std::string>{"--host", m_host, "--port", port_string(platform_port)});
    wait_until([&] { return call(platform_port, "GET", "/objects/zone").status == 200; });
    put("customer", "demo",
        R"({"api_key_sha256":")" + configuration::api_key_digest("demo-key") + "\"}");
    put("service", "assistant", R"({"type":"model","models":["demo"]})");
    put("service", "shop", R"({"type":"plain","non_repeatable_prefixes":["/orders"]})");
    put("secret", "event-id", R"({"key":"0123456789abcdef0123456789abcdef"})");
    for (int zone = 1; zone <= 3; ++zone)
        put("zone", zone_for(zone), R"({"region":"local","state":"in_service"})");
}

void deployment::start_engine(int number, std::vector<std::string> const& arguments)
{
    auto const port = port_string(engine_port_base + number);
    std::vector<std::string> all_arguments{"--host", m_host, "--port", port};
    all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
    auto const name = "engine-" + std::to_string(number);
    m_processes[name] = std::make_unique<process>("stand-in-engine", all_arguments);
    put("server", name,
        R"({"service":"assistant","zone":")" + zone_for(number) + R"(","host":")" + m_host +
            R"(","port":)" + port + "}");
}

void deployment::start_service(int number, std::vector<std::string> const& arguments)
{
    auto const port = port_string(service_port_base + number);
    std::vector<std::string> all_arguments{"--host", m_host, "--port", port};
    all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
    auto const name = "shop-" + std::to_string(number);
    m_processes[name] = std::make_unique<process>("stand-in-service", all_arguments);
    put("server", name,
        R"({"service":"shop","zone":")" + zone_for(number) + R"(","host":")" + m_host +
            R"(","port":)" + port + "}");
}

void deployment::start_node(int number)
{
    auto const name = "node-" + std::to_string(number);
    auto const control_port = port_string(control_port_base + number);
    put("node", name,
        R"({"zone":")" + zone_for(number) + R"(","host":")" + m_host + R"(","gossip_port":)" +
            port_string(gossip_port_base + number) + R"(,"control_port":)" + control_port +
            R"(,"entry_port":)" + port_string(entry_port_base + number) + R"(,"entry_peer_port":)" +
            port_string(entry_peer_port_base + number) + "}");
    m_processes["control-" + std::to_string(number)] = std::make_unique<process>(
        "jasminepier-control", std::vector<std::string>{"--node-id",
                                                        name,
                                                        "--host",
                                                        m_host,
                                                        "--zone",
                                                        zone_for(number),
                                                        "--gossip-port",
                                                        port_string(gossip_port_base + number),
                                                        "--control-port",
                                                        control_port,
                                                        "--entry-port",
                                                        port_string(entry_port_base + number),
                                                        "--entry-peer-port",
                                                        port_string(entry_peer_port_base + number),
                                                        "--seeds",
                                                        gossip_seeds(m_host),
                                                        "--platform-host",
                                                        m_host,
                                                        "--platform-port",
                                                        port_string(platform_port)});
    m_processes["entry-" + std::to_string(number)] = std::make_unique<process>(
        "jasminepier-entry",
        std::vector<std::string>{"--host", m_host, "--entry-port",
                                 port_string(entry_port_base + number), "--control-port",
                                 control_port, "--node-id", name, "--entry-peer-port",
                                 port_string(entry_peer_port_base + number), "--platform-host",
                                 m_host, "--platform-port", port_string(platform_port)});
}

bool deployment::wait_until_ready(int node)
{
    auto const port = static_cast<std::uint16_t>(entry_port_base + node);
    return wait_until([&] { return call(port, "GET", "/ready").status == 200; });
}

void deployment::put(std::string const& kind, std::string const& name, std::string const& value)
{
    auto const path = "/objects/" + kind + "/" + name;
    auto const existing = call(platform_port, "GET", path);
    std::map<std::string, std::string> precondition{{"If-None-Match", "*"}};
    if (existing.status == 200)
    {
        auto const version = base::handle(
            [&]() -> base::result<std::int64_t>
            {
                BOOST_LEAF_AUTO(object, base::parse_json_object(existing.body));
                return base::read_integer(object, "version");
            },
            [](base::error const&) { return std::int64_t{0}; });
        precondition = {{"If-Match", std::to_string(version)}};
    }
    call(platform_port, "PUT", path, value, precondition);
}

void deployment::set_faults(std::uint16_t port, std::string const& faults)
{
    call(port, "POST", "/stand-in/faults", faults);
}

backend::backend_response deployment::call(std::uint16_t port, std::string const& method,
                                           std::string const& path, std::string const& body,
                                           std::map<std::string, std::string> headers)
{
    headers.try_emplace("Authorization", "Bearer demo-key");
    return base::handle(
        [&]() -> base::result<backend::backend_response> {
            return backend::call_backend({m_host, port}, {method, path, headers, body}, {});
        },
        [](base::error const&) { return backend::backend_response{}; });
}

} // namespace jasminepier::tests
