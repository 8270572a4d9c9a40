/// The faults of `soak_deployment`.
#include "tests/soak/checks.hpp"
#include "tests/soak/soak_deployment.hpp"

#include <algorithm>
#include <csignal>

namespace jasminepier::tests::soak
{
namespace
{

using clock = std::chrono::steady_clock;

constexpr milliseconds exit_poll_interval{10};
// On the platform, servers renew their store entries every 1.2 s and are removed after missing
// three renewals.
constexpr milliseconds crash_detection_time{1000};
constexpr milliseconds replacement_delay{1000};
// Servers serve a little longer than the time in which nodes must notice that they are draining.
constexpr milliseconds drain_time = limits::drain_propagation + milliseconds(700);
constexpr milliseconds restart_delay{300};
// Servers whose entries expired during a store outage register again within 2 s after it.
constexpr milliseconds entry_restore_delay{1500};
// After which the writes that a restored store has lost are there again.
constexpr milliseconds rewrite_delay{300};
constexpr std::string_view node_kind = "jasminepier-nodes";
constexpr milliseconds slow_event_interval{90};
constexpr milliseconds normal_event_interval{20};

} // namespace

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
    case fault_kind::store_restored:
        return restore_store(fault);
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
        // The signal would end a program that does not handle signals yet.
        if (node.process->program().has_blocked(SIGHUP))
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
    m_history.shutdowns.push_back(
        {number, clock::now(), {}, 0, !node.process->program().has_blocked(SIGTERM)});
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
            return schedule(exit_poll_interval, *poll_exit);
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
    schedule(exit_poll_interval, *poll_exit);
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

void soak_deployment::restore_store(planned_fault const& fault)
{
    if (clock::now() < m_store_fault_end)
        return;
    m_store_fault_end = clock::now() + fault.duration + rewrite_delay;
    record_disruption(store_subject, fault.duration + rewrite_delay);
    m_store->set_mode(store_mode::unavailable);
    schedule(fault.duration,
             [this]
             {
                 auto lost = m_store->restore_copy();
                 // The operator and the servers write again what they wrote, the nodes themselves.
                 std::erase_if(lost, [](auto const& write) { return write.kind == node_kind; });
                 m_store->set_mode(store_mode::serving);
                 schedule(rewrite_delay,
                          [this, lost]
                          {
                              m_store->write_again(lost);
                              m_store->take_copy();
                          });
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

} // namespace jasminepier::tests::soak
