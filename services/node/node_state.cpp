#include "services/node/node_state.hpp"

#include "platform/objects.hpp"

#include <chrono>

namespace jasminepier::node
{
namespace
{

serving::node_entry make_node_entry(node_settings const& settings)
{
    return {settings.name, settings.zone, settings.caller_endpoint.text(), settings.host,
            settings.peer_port};
}

} // namespace

node_state::node_state(node_settings settings)
    : m_settings(std::make_shared<node_settings const>(std::move(settings))),
      m_tables{serving::dispatcher({m_settings->name, m_settings->zone, m_settings->retry_limits}),
               serving::node_directory(make_node_entry(*m_settings)),
               nullptr,
               {},
               base::random_source(std::random_device{}()),
               true,
               false,
               std::nullopt,
               std::nullopt,
               {},
               serving::object_catch_up({platform::configuration_kind, platform::evacuation_kind,
                                         platform::server_kind})},
      m_started_unix_milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count()),
      m_caller_memory(http::derive_account_limits(
          {m_settings->memory_bytes, m_settings->sockets, m_settings->workers}))
{
    if (m_settings->rollouts)
        m_tables.dispatcher.rollouts().enable(*m_settings->rollouts, m_tables.random());
    m_tables.dispatcher.set_fleet_view({{m_settings->name}, 1, false});
}

void node_state::update_settings(node_settings const& changed)
{
    std::lock_guard lock(m_mutex);
    auto merged = *m_settings;
    merged.shutdown_grace_period = changed.shutdown_grace_period;
    merged.maximum_address_ttl = changed.maximum_address_ttl;
    merged.retry_limits = changed.retry_limits;
    m_settings = std::make_shared<node_settings const>(std::move(merged));
    m_tables.dispatcher.set_retry_budget_limits(changed.retry_limits);
}

void node_state::begin_shutdown(base::time_point now, base::time_point end)
{
    with([](tables& state) { state.nodes.set_phase(serving::node_phase::shutting_down); });
    m_shutdown.begin(now, end);
}

void notify_waiting_requests(node_state::tables& tables)
{
    for (auto* request : tables.waiting_requests)
        request->signal();
}

} // namespace jasminepier::node
