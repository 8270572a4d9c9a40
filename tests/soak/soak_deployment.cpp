#include "tests/soak/soak_deployment.hpp"

#include "tests/soak/checks.hpp"
#include "tests/support/deployment.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>

namespace jasminepier::tests::soak
{
namespace
{

using clock = std::chrono::steady_clock;

constexpr milliseconds poll_interval{10};
constexpr milliseconds warm_up_time{2000};
constexpr milliseconds ready_timeout{15000};
constexpr int connection_threads_per_node = 64;
constexpr std::array non_idempotent_services{"orders-a", "orders-b", "orders-c"};
constexpr std::array zones{"a", "b", "c"};
// Offsets of the ports of the first node's proxies, for callers and for the store.
constexpr int first_caller_port_offset = 10;
constexpr int first_store_port_offset = 110;
// Offset of the first server port. The proxy of each server listens on the port after it.
constexpr int first_server_port_offset = 200;
constexpr int server_port_count = 400;

std::uint16_t offset_port(std::uint16_t port, int offset)
{
    return static_cast<std::uint16_t>(port + offset);
}

std::string make_route(std::string const& name, std::string const& type, std::string const& service,
                       request_kind kind, std::string const& extra_members)
{
    return R"({"name":")" + name + R"(","host":"shop.example","path_prefix":"/)" + name +
           R"(/","route_type":")" + type + R"(","service":")" + service + R"(","timeout_ms":)" +
           std::to_string(test_settings::route_timeout(kind).count()) + extra_members + "}";
}

std::string make_configuration(int version, std::string const& non_idempotent_service)
{
    auto const warm_up =
        R"(,"warmup_per_s":)" + std::to_string(test_settings::cold_requests_per_second) + "}";
    std::string services;
    for (auto const* const name : non_idempotent_services)
        services += std::string(R"({"name":")") + name + "\"" + warm_up + ",";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           make_route("order", "non_idempotent", non_idempotent_service,
                      request_kind::non_idempotent,
                      R"(,"target_latency_ms":300,"max_attempts":1)") +
           "," +
           make_route("check", "idempotent", "checks", request_kind::idempotent,
                      R"(,"target_latency_ms":300,"max_attempts":)" +
                          std::to_string(test_settings::maximum_attempts)) +
           "," +
           make_route("plan", "streaming", "engines", request_kind::stream,
                      R"(,"target_latency_ms":1500,"target_itl_ms":180,"max_attempts":1)") +
           "," +
           make_route("question", "streaming", "engines", request_kind::resumable_stream,
                      R"(,"target_latency_ms":1500,"target_itl_ms":180,"stream_resume":true,)"
                      R"("max_attempts":)" +
                          std::to_string(test_settings::maximum_attempts)) +
           R"(],"services":[)" + services + R"({"name":"checks")" + warm_up +
           R"(,{"name":"engines","engine":{"slots":24,"kv_capacity":34000,"kv_bytes":262144,)"
           R"("link_mbps":38000.0,"moves":true}}],"tenants":[{"name":")" +
           test_settings::customer + R"(","api_keys":["key-1"]}]})";
}

} // namespace

soak_deployment::soak_deployment(soak_options options)
    : m_options(std::move(options)),
      m_zones(std::span(zones).first(m_options.nodes > maximum_small_fleet ? 3 : 2)),
      m_work_guard(boost::asio::make_work_guard(m_context)),
      m_store(std::make_unique<fake_store>(m_options.first_port)),
      m_proxy_thread([this] { m_context.run(); })
{
    // Replaces the peer hosts that nodes publish, so that nodes reach each other through proxies.
    m_store->set_spec_rewriter(
        [](std::string const&, std::string const& name, std::string const& spec)
        {
            auto const number = name.substr(name.rfind('-') + 1);
            auto const host = "\"127.0.2." + number + "\"";
            auto rewritten = spec;
            if (auto const at = rewritten.find(host); at != std::string::npos)
                rewritten.replace(at, host.size(), "\"127.0.3." + number + "\"");
            return rewritten;
        });
}

soak_deployment::~soak_deployment()
{
    m_stop_requested = true;
    m_callers.clear();
    if (m_host_monitor.joinable())
        m_host_monitor.join();
    for (auto& node : m_nodes)
        node.process.reset();
    m_store->set_mode(store_mode::serving);
    for (auto& server : m_servers)
        server->proxy.reset();
    m_nodes.clear();
    m_servers.clear();
    m_work_guard.reset();
    m_context.stop();
    m_proxy_thread.join();
}

bool soak_deployment::start()
{
    start_connection_threads(connection_threads_per_node * m_options.nodes);
    m_host_monitor = std::thread([this] { record_host_stalls(); });
    boost::asio::post(m_context, [this] { watch_proxy_thread(); });
    publish_configuration();
    for (auto const* const service : non_idempotent_services)
        for (auto const* const zone : m_zones)
            start_server(service, zone, false);
    for (auto const* const zone : m_zones)
    {
        start_server("checks", zone, false);
        start_server("checks", zone, false);
        start_server("engines", zone, false);
        start_server("engines", zone, false);
    }
    m_store->take_copy();
    for (int number = 0; number < m_options.nodes; ++number)
        start_node(number);
    for (auto const& node : m_nodes)
        if (!wait_until([&] { return node.process->is_ready(); }, ready_timeout))
            return false;
    std::vector<node_addresses> addresses;
    for (int number = 0; number < m_options.nodes; ++number)
    {
        auto const& ports = m_nodes[static_cast<std::size_t>(number)].process->ports();
        addresses.push_back({offset_port(m_options.first_port, first_caller_port_offset + number),
                             ports.caller_host + ":" + std::to_string(ports.callers),
                             ports.caller_host, ports.addresses});
    }
    // Nodes read the list of servers separately, so servers may become known after the
    // configuration.
    std::this_thread::sleep_for(milliseconds(500));
    for (int number = 0; number < m_options.callers + m_options.burst_callers; ++number)
        m_callers.push_back(std::make_unique<soak_caller>(
            number, m_options.seed * 1000 + static_cast<unsigned>(number), addresses,
            caller_habits{m_options.has_varied_callers, m_options.has_varied_callers,
                          number < m_options.callers ? nullptr : &m_burst}));
    if (m_options.has_deadly_caller)
        m_callers.push_back(std::make_unique<soak_caller>(
            static_cast<int>(m_callers.size()),
            m_options.seed * 1000 + static_cast<unsigned>(m_callers.size()), addresses,
            caller_habits{.deadly_part_number = &m_deadly_part_number}));
    return true;
}

void soak_deployment::start_node(int number)
{
    auto const address_suffix = std::to_string(10 + number);
    node_ports ports{offset_port(m_options.first_port, 1),
                     offset_port(m_options.first_port, 2),
                     offset_port(m_options.first_port, 3),
                     offset_port(m_options.first_port, 4),
                     "127.0.2." + address_suffix,
                     "127.0.3." + address_suffix,
                     m_zones[static_cast<std::size_t>(number) % m_zones.size()]};
    auto const store_port = offset_port(m_options.first_port, first_store_port_offset + number);
    running_node node;
    node.store_proxy =
        std::make_unique<link_proxy>(m_context, endpoint_at(loopback_host, store_port),
                                     endpoint_at(loopback_host, m_options.first_port));
    node.caller_proxy = std::make_unique<link_proxy>(
        m_context,
        endpoint_at(loopback_host,
                    offset_port(m_options.first_port, first_caller_port_offset + number)),
        endpoint_at(ports.caller_host, ports.callers));
    node.peer_proxy =
        std::make_unique<link_proxy>(m_context, endpoint_at(ports.caller_host, ports.peers),
                                     endpoint_at(ports.host, ports.peers), true);
    m_history.process_starts[number].push_back(clock::now());
    node.process = std::make_unique<node_process>("node-" + address_suffix, ports, store_port);
    m_nodes.push_back(std::move(node));
}

void soak_deployment::start_server(std::string const& service, std::string const& zone,
                                   bool is_cold)
{
    auto const port_offset =
        first_server_port_offset + 2 * m_started_server_count++ % server_port_count;
    auto server = std::make_unique<running_server>();
    server->id = "i-" + std::to_string(m_started_server_count) + "-" + service;
    server->service = service;
    server->zone = zone;
    auto const port = offset_port(m_options.first_port, port_offset);
    server->fake = std::make_unique<fake_server>(port, server->id);
    server->proxy =
        std::make_unique<link_proxy>(m_context, endpoint_at(loopback_host, offset_port(port, 1)),
                                     endpoint_at(loopback_host, port));
    auto& record = m_history.servers[server->id];
    record = {service, zone, clock::now(), clock::now(), {}, {}};
    if (is_cold)
        record.cold_until += warm_up_time;
    write_server_entry(*server, "ready");
    m_servers.push_back(std::move(server));
}

void soak_deployment::write_server_entry(running_server const& target, std::string const& state)
{
    auto const proxy_port =
        std::stoi(target.fake->address().substr(target.fake->address().rfind(':') + 1)) + 1;
    auto const warm_up_left = std::chrono::duration_cast<milliseconds>(
        m_history.servers[target.id].cold_until - clock::now());
    m_store->put("servers", target.id,
                 R"({"service":")" + target.service + R"(","address":")" + loopback_host + ":" +
                     std::to_string(proxy_port) + R"(","zone":")" + target.zone +
                     R"(","slots":8,"warmup_left_ms":)" +
                     std::to_string(std::max<std::int64_t>(warm_up_left.count(), 0)) +
                     R"(,"state":")" + state + R"("})");
}

void soak_deployment::collect_arrivals(running_server const& target)
{
    for (auto const& request : target.fake->requests())
    {
        auto const header_value = [&](char const* name)
        { return std::string(request.headers.find(name).value_or("")); };
        auto const deadline = header_value("Deadline-Ms");
        m_history.arrivals.push_back(
            {target.id, target.service, target.zone, header_value("Attempt-Id"), request.arrived_at,
             request.ended_at, request.executed, request.succeeded, header_value("Kv-From"),
             header_value("Tenant"), !header_value("Authorization").empty(),
             milliseconds(deadline.empty() ? 0 : std::stoi(deadline))});
    }
}

void soak_deployment::stop_server(running_server& target)
{
    auto& record = m_history.servers[target.id];
    record.ended_at = clock::now();
    target.proxy.reset();
    collect_arrivals(target);
    target.fake.reset();
    std::erase_if(m_servers, [&](auto const& server) { return server.get() == &target; });
}

soak_deployment::running_server* soak_deployment::select_server(unsigned target_index)
{
    auto& selected = m_servers[target_index % m_servers.size()];
    return selected->is_leaving ? nullptr : selected.get();
}

void soak_deployment::publish_configuration()
{
    auto const service =
        non_idempotent_services[static_cast<std::size_t>(m_configuration_version) % 3];
    ++m_configuration_version;
    m_store->put("config", "main", make_configuration(m_configuration_version, service));
    m_history.configurations.push_back({m_configuration_version, service, clock::now()});
}

void soak_deployment::schedule(milliseconds delay, std::function<void()> action)
{
    m_scheduled_actions.emplace(clock::now() + delay, std::move(action));
}

void soak_deployment::record_disruption(std::string const& subject, milliseconds duration,
                                        bool is_planned)
{
    m_history.disruptions[subject].push_back({clock::now(), clock::now() + duration, is_planned});
    m_history.last_fault_end = std::max(m_history.last_fault_end, clock::now() + duration);
}

void soak_deployment::run(std::vector<planned_fault> const& plan, milliseconds duration)
{
    for (auto const& kind : m_options.hidden_kinds)
        m_store->hide_kind(kind);
    auto const begin = clock::now();
    m_history.last_fault_end = begin;
    for (auto const& fault : plan)
        schedule(fault.start, [this, fault] { inject(fault); });
    while (clock::now() < begin + duration)
    {
        while (!m_scheduled_actions.empty() && m_scheduled_actions.begin()->first <= clock::now())
        {
            auto const action = m_scheduled_actions.extract(m_scheduled_actions.begin());
            action.mapped()();
        }
        crash_servers_with_deadly_prompts();
        record_unexpected_exits();
        std::this_thread::sleep_for(poll_interval);
    }
}

void soak_deployment::record_unexpected_exits()
{
    for (std::size_t number = 0; number < m_nodes.size(); ++number)
    {
        auto& node = m_nodes[number];
        if (!node.is_expected_to_run || node.process->program().running())
            continue;
        m_history.unexpected_exits.push_back(
            node_subject(static_cast<int>(number)) + ": exited with status " +
            std::to_string(node.process->program().wait_for_exit(0)));
        node.is_expected_to_run = false;
    }
}

void soak_deployment::record_host_stalls()
{
    while (!m_stop_requested)
    {
        auto const begin = clock::now();
        std::this_thread::sleep_for(poll_interval);
        if (clock::now() > begin + poll_interval + stall_threshold)
            m_host_stalls.push_back({begin, clock::now()});
    }
}

void soak_deployment::watch_proxy_thread()
{
    if (m_stop_requested)
        return;
    m_proxy_timer.expires_after(poll_interval);
    m_proxy_timer.async_wait(
        [this](boost::system::error_code const&)
        {
            auto const due = m_proxy_timer.expiry();
            if (clock::now() > due + stall_threshold)
                m_proxy_stalls.push_back({due, clock::now()});
            watch_proxy_thread();
        });
}

history soak_deployment::finish()
{
    for (auto& caller : m_callers)
    {
        for (auto& record : caller->finish())
            m_history.requests.push_back(std::move(record));
        std::ranges::copy(caller->stalls(), std::back_inserter(m_host_stalls));
    }
    m_callers.clear();
    m_stop_requested = true;
    m_host_monitor.join();
    std::promise<void> watch_ended;
    boost::asio::post(m_context,
                      [&]
                      {
                          std::ranges::copy(m_proxy_stalls, std::back_inserter(m_host_stalls));
                          watch_ended.set_value();
                      });
    watch_ended.get_future().wait();
    m_history.disruptions[host_subject] = m_host_stalls;
    if (!m_options.output_folder.empty())
        for (std::size_t number = 0; number < m_nodes.size(); ++number)
            std::ofstream(std::filesystem::path(m_options.output_folder) /
                          ("node-" + std::to_string(number) + ".log"))
                << m_nodes[number].process->output();
    for (auto& server : m_servers)
        collect_arrivals(*server);
    return m_history;
}

} // namespace jasminepier::tests::soak
