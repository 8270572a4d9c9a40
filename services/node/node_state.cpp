#include "services/node/node_state.hpp"

#include "platform/objects.hpp"

#include <algorithm>
#include <chrono>

namespace jasminepier::node
{
namespace
{

serving::node_entry describe(node_settings const& settings)
{
    return {settings.name, settings.zone, settings.callers.text(), settings.host,
            settings.peer_port};
}

} // namespace

node_state::node_state(node_settings settings)
    : m_settings(std::make_shared<node_settings const>(std::move(settings))),
      m_tables{serving::dispatcher({m_settings->name, m_settings->zone, m_settings->retries}),
               serving::node_directory(describe(*m_settings)),
               nullptr,
               {},
               base::random_source(std::random_device{}()),
               {}},
      m_started(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
{
    m_tables.dispatcher.set_nodes({m_settings->name});
}

std::int64_t node_state::tables::configuration_revision() const
{
    return std::max(objects.kind_revision(platform::configuration_kind),
                    objects.kind_revision(platform::evacuation_kind));
}

void node_state::reload(node_settings const& changed)
{
    std::lock_guard lock(m_mutex);
    auto merged = *m_settings;
    merged.stop_grace = changed.stop_grace;
    merged.longest_address_life = changed.longest_address_life;
    merged.retries = changed.retries;
    m_settings = std::make_shared<node_settings const>(std::move(merged));
    m_tables.dispatcher.set_retry_bound(changed.retries);
}

void node_state::begin_stop(base::time_point end)
{
    m_stop_end = end;
    m_stopping = true;
    with([](tables& held) { held.nodes.set_phase(serving::node_phase::stopping); });
}

void wake_waiting(node_state::tables& held)
{
    for (auto* waiting : held.waiting)
        waiting->signal();
}

} // namespace jasminepier::node
