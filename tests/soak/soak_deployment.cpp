#include "tests/soak/soak_deployment.hpp"

#include "tests/soak/checks.hpp"
#include "tests/support/deployment.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace jasminepier::tests::soak
{
namespace
{

using clock = std::chrono::steady_clock;

constexpr milliseconds poll_interval{10};
// On the platform, servers renew their store entries every 1.2 s and are removed after missing
// three renewals.
constexpr milliseconds crash_detection_time{1000};
constexpr milliseconds replacement_delay{1000};
// Servers serve a little longer than the time in which nodes must notice that they are draining.
constexpr milliseconds drain_time = limits::drain_propagation + milliseconds(700);
constexpr milliseconds warm_up_time{2000};
constexpr milliseconds restart_delay{300};
// Servers whose entries expired during a store outage register again within 2 s after it.
constexpr milliseconds entry_restore_delay{1500};
constexpr milliseconds slow_event_interval{90};
constexpr milliseconds normal_event_interval{20};
constexpr milliseconds ready_timeout{15000};
constexpr int connection_threads_per_node = 64;
// A thread that wakes up this late shows that the host is overloaded.
constexpr milliseconds stall_threshold{100};
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

void soak_deployment::crash_server(running_server& target)
{
    auto const id = target.id;
    record_disruption(id, crash_detection_time);
    bool const was_leaving = target.is_leaving;
    auto const start_replacement = [this, service = target.service, zone = target.zone]
    { start_server(service, zone, true); };
    stop_server(target);
    // A leaving server has its replacement already.
    if (was_leaving)
        return;
    schedule(crash_detection_time,
             [this, id]
             {
                 m_store->remove("servers", id);
                 m_history.servers[id].leaving_at = clock::now();
             });
    schedule(replacement_delay, start_replacement);
}

void soak_deployment::crash_servers_with_deadly_prompts()
{
    auto const has_crashed = [](auto const& server) { return server->fake->has_crashed(); };
    for (auto found = std::find_if(m_servers.begin(), m_servers.end(), has_crashed);
         found != m_servers.end();
         found = std::find_if(m_servers.begin(), m_servers.end(), has_crashed))
        crash_server(**found);
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

void soak_deployment::inject(planned_fault const& fault)
{
    auto const number = static_cast<int>(fault.target_index % m_nodes.size());
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    switch (fault.kind)
    {
    case fault_kind::caller_link:
        return inject_link_fault(*node.caller_proxy, node_subject(number), fault);
    case fault_kind::store_link:
        return inject_link_fault(*node.store_proxy, node_subject(number), fault);
    case fault_kind::peer_link:
        return inject_link_fault(*node.peer_proxy, node_subject(number), fault);
    case fault_kind::server_link:
    case fault_kind::server_crash:
    case fault_kind::server_drain:
    case fault_kind::server_removal:
    case fault_kind::server_slowdown:
        return inject_server_fault(fault);
    case fault_kind::node_pause:
    case fault_kind::node_kill:
    case fault_kind::node_stop:
    case fault_kind::node_reload:
        return inject_node_fault(number, fault);
    case fault_kind::store_refusal:
    case fault_kind::store_silence:
    case fault_kind::store_lost_answers:
    case fault_kind::store_lost_history:
    case fault_kind::store_lapsed_entries:
        return inject_store_fault(fault);
    case fault_kind::configuration_change:
        return publish_configuration();
    case fault_kind::zone_evacuation:
        return evacuate_zone(fault);
    case fault_kind::burst:
        return start_burst(fault);
    case fault_kind::deadly_prompts:
        return start_deadly_prompts(fault);
    }
}

void soak_deployment::inject_link_fault(link_proxy& link, std::string const& subject,
                                        planned_fault const& fault)
{
    if (link.state() != link_state::clear)
        return;
    record_disruption(subject, fault.duration);
    link.set_state(fault.link);
    if (fault.link == link_state::refusing)
        link.reset_connections();
    schedule(fault.duration,
             [this, subject, proxy = &link]
             {
                 // The proxy may have been destroyed along with its server.
                 for (auto const& node : m_nodes)
                     for (auto* const proxy_of_node :
                          {node.caller_proxy.get(), node.store_proxy.get(), node.peer_proxy.get()})
                         if (proxy_of_node == proxy)
                             proxy_of_node->set_state(link_state::clear);
                 for (auto const& server : m_servers)
                     if (server->id == subject && server->proxy.get() == proxy)
                         server->proxy->set_state(link_state::clear);
             });
}

void soak_deployment::inject_node_fault(int number, planned_fault const& fault)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    // A node may be told to reload while it shuts down.
    bool const is_shutting_down =
        node.has_active_fault && !node.is_expected_to_run && node.process->program().running();
    if (node.has_active_fault && !(is_shutting_down && fault.kind == fault_kind::node_reload))
        return;
    if (fault.kind == fault_kind::node_reload)
    {
        node.process->rewrite_settings("# change " + std::to_string(++node.reload_count) + "\n");
        node.process->program().send_signal(SIGHUP);
        return;
    }
    node.has_active_fault = true;
    auto const restart = [this, number, &node]
    {
        m_history.process_starts[number].push_back(clock::now());
        node.process->restart();
        node.has_active_fault = false;
        node.is_expected_to_run = true;
    };
    switch (fault.kind)
    {
    case fault_kind::node_pause:
        record_disruption(node_subject(number), fault.duration);
        node.process->program().send_signal(SIGSTOP);
        schedule(fault.duration,
                 [&node]
                 {
                     node.process->program().send_signal(SIGCONT);
                     node.has_active_fault = false;
                 });
        return;
    case fault_kind::node_kill:
        record_disruption(node_subject(number), fault.duration);
        node.is_expected_to_run = false;
        node.process->program().send_signal(SIGKILL);
        schedule(fault.duration, restart);
        return;
    default:
        return shut_down_node(number);
    }
}

void soak_deployment::shut_down_node(int number)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    node.is_expected_to_run = false;
    auto const shutdown_index = m_history.shutdowns.size();
    m_history.shutdowns.push_back({number, clock::now(), {}, 0});
    record_disruption(node_subject(number), test_settings::shutdown_grace_period + restart_delay,
                      true);
    auto const disruption_index = m_history.disruptions[node_subject(number)].size() - 1;
    node.process->program().send_signal(SIGTERM);
    // Like the platform, restart() kills a process that is still running after its grace period.
    auto const poll_exit = std::make_shared<std::function<void()>>();
    *poll_exit = [this, number, shutdown_index, disruption_index, poll_exit]
    {
        auto& stopping = m_nodes[static_cast<std::size_t>(number)];
        auto& record = m_history.shutdowns[shutdown_index];
        bool const grace_period_expired =
            clock::now() > record.signalled_at + test_settings::shutdown_grace_period;
        if (stopping.process->program().running() && !grace_period_expired)
            return schedule(poll_interval, *poll_exit);
        if (!grace_period_expired)
        {
            record.exited_at = clock::now();
            record.exit_status = stopping.process->program().wait_for_exit(0);
        }
        schedule(restart_delay,
                 [this, number, disruption_index]
                 {
                     auto& restarted = m_nodes[static_cast<std::size_t>(number)];
                     m_history.disruptions[node_subject(number)][disruption_index].to =
                         clock::now();
                     m_history.process_starts[number].push_back(clock::now());
                     restarted.process->restart();
                     restarted.has_active_fault = false;
                     restarted.is_expected_to_run = true;
                 });
    };
    schedule(poll_interval, *poll_exit);
}

void soak_deployment::inject_server_fault(planned_fault const& fault)
{
    auto* const target = select_server(fault.target_index);
    if (target == nullptr)
        return;
    auto const id = target->id;
    auto const find_server = [this, id]() -> running_server*
    {
        for (auto const& server : m_servers)
            if (server->id == id)
                return server.get();
        return nullptr;
    };
    auto const start_replacement = [this, service = target->service, zone = target->zone]
    { start_server(service, zone, true); };
    switch (fault.kind)
    {
    case fault_kind::server_link:
        return inject_link_fault(*target->proxy, id, fault);
    case fault_kind::server_slowdown:
        target->fake->set_event_interval(slow_event_interval);
        schedule(fault.duration,
                 [find_server]
                 {
                     if (auto* const slowed = find_server())
                         slowed->fake->set_event_interval(normal_event_interval);
                 });
        return;
    case fault_kind::server_crash:
        return crash_server(*target);
    default:
        break;
    }
    target->is_leaving = true;
    target->fake->start_draining();
    if (fault.kind == fault_kind::server_drain)
        write_server_entry(*target, "draining");
    else
        m_store->remove("servers", id);
    m_history.servers[id].leaving_at = clock::now();
    schedule(drain_time,
             [this, find_server, id]
             {
                 m_store->remove("servers", id);
                 if (auto* const drained = find_server())
                     stop_server(*drained);
             });
    schedule(replacement_delay, start_replacement);
}

void soak_deployment::inject_store_fault(planned_fault const& fault)
{
    if (fault.kind == fault_kind::store_lost_history)
        return m_store->drop_history();
    if (clock::now() < m_store_fault_end)
        return;
    m_store_fault_end = clock::now() + fault.duration;
    bool const expires_entries = fault.kind == fault_kind::store_lapsed_entries;
    // The disruption lasts until the expired entry is restored, which happens after the outage.
    record_disruption(store_subject,
                      fault.duration + (expires_entries ? entry_restore_delay : milliseconds(0)));
    m_store->set_mode(fault.kind == fault_kind::store_refusal   ? store_mode::unavailable
                      : fault.kind == fault_kind::store_silence ? store_mode::unresponsive
                      : expires_entries                         ? store_mode::unavailable
                                                                : store_mode::dropping_responses);
    schedule(fault.duration, [this] { m_store->set_mode(store_mode::serving); });
    auto* const expired_server = select_server(fault.target_index);
    if (!expires_entries || expired_server == nullptr)
        return;
    m_store->remove("servers", expired_server->id);
    schedule(fault.duration + entry_restore_delay,
             [this, id = expired_server->id]
             {
                 for (auto const& server : m_servers)
                     if (server->id == id && !server->is_leaving)
                         write_server_entry(*server, "ready");
             });
}

void soak_deployment::evacuate_zone(planned_fault const& fault)
{
    std::string const zone = m_zones[fault.target_index % m_zones.size()];
    std::size_t active_count = 0;
    for (auto const& previous : m_history.evacuations)
    {
        if (previous.withdrawn_at)
            continue;
        if (++active_count == m_zones.size() - 1 || previous.zone == zone)
            return;
    }
    m_store->put("evacuations", zone, "{}");
    auto const index = m_history.evacuations.size();
    m_history.evacuations.push_back({zone, clock::now(), {}});
    schedule(fault.duration,
             [this, zone, index]
             {
                 m_history.evacuations[index].withdrawn_at = clock::now();
                 m_store->remove("evacuations", zone);
             });
}

void soak_deployment::start_burst(planned_fault const& fault)
{
    m_burst = true;
    m_burst_end = std::max(m_burst_end, clock::now() + fault.duration);
    schedule(fault.duration, [this] { m_burst = clock::now() < m_burst_end; });
}

void soak_deployment::start_deadly_prompts(planned_fault const& fault)
{
    auto const number = ++m_deadly_part_count;
    m_deadly_part_number = number;
    // The crashes end later than their cause.
    m_history.last_fault_end =
        std::max(m_history.last_fault_end, clock::now() + fault.duration + replacement_delay);
    schedule(fault.duration,
             [this, number]
             {
                 auto expected = number;
                 m_deadly_part_number.compare_exchange_strong(expected, 0);
             });
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

history soak_deployment::finish()
{
    for (auto& caller : m_callers)
        for (auto& record : caller->finish())
            m_history.requests.push_back(std::move(record));
    m_callers.clear();
    m_stop_requested = true;
    m_host_monitor.join();
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
