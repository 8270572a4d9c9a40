/// Keeps the control process's configuration up to date from the platform.
#pragma once

#include "base/log.hpp"
#include "services/control/control_state.hpp"

namespace jasminepier::control
{

template <platform::object_store Store>
class platform_watcher
{
public:
    platform_watcher(Store& store, control_state& state) : m_store(store), m_state(state) {}

    /// Lists everything once, then waits for changes. Called again and again.
    void step()
    {
        base::handle([this]() -> base::result<void> { return m_listed ? watch() : list(); },
                     [this](base::error const& failure)
                     {
                         // A version that is too old to watch from needs a new list.
                         m_listed = m_listed && failure.kind != base::error_kind::conflict;
                         base::log_line(base::log_level::warning, "platform_read_failed")
                             .field("kind", base::to_string(failure.kind))
                             .field("reason", failure.message);
                     });
    }

private:
    base::result<void> list()
    {
        std::int64_t version = -1;
        std::vector<platform::object> objects;
        for (auto const& kind : configuration::distributed_kinds())
        {
            BOOST_LEAF_AUTO(page, m_store.list(kind));
            // Watching from the oldest of the listed versions misses no change between the lists.
            version = version < 0 ? page.version : std::min(version, page.version);
            objects.insert(objects.end(), page.objects.begin(), page.objects.end());
        }
        // Merged at once: a node that serves with some kinds missing refuses known customers.
        m_state.merge(objects);
        m_version = version;
        m_listed = true;
        return {};
    }

    base::result<void> watch()
    {
        BOOST_LEAF_AUTO(page, m_store.watch(m_version, configuration::distributed_kinds()));
        m_state.merge(page.objects);
        m_version = std::max(m_version, page.version);
        return {};
    }

    Store& m_store;
    control_state& m_state;
    std::int64_t m_version = 0;
    bool m_listed = false;
};

} // namespace jasminepier::control
