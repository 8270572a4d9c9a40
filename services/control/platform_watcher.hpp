/// Reads the configuration from the platform while this node is responsible for it.
#pragma once

#include "base/log.hpp"
#include "membership/revision_sync.hpp"
#include "services/control/membership_agent.hpp"

#include <random>

namespace jasminepier::control
{

template <store::object_store Store>
class platform_watcher
{
public:
    platform_watcher(Store& store, control_state& state, membership_agent& agent)
        : m_store(store), m_state(state), m_agent(agent), m_random(std::random_device{}())
    {
    }

    /// Lists all objects first, then watches for changes with each call. Does nothing while this
    /// node isn't responsible or backs off after a failure. One thread calls it in a loop.
    void run_once()
    {
        bool const should_read = m_agent.should_read_platform();
        m_state.set_watching_platform(should_read);
        if (!should_read || !m_backoff.may_call(clock.now()))
            return;
        base::handle(
            [this]() -> base::result<void>
            {
                BOOST_LEAF_CHECK(m_has_listing ? watch() : list());
                m_backoff.record_success();
                m_state.record_platform_contact(clock.now());
                return {};
            },
            [this](base::error const& failure)
            {
                m_backoff.record_failure(clock.now(), m_random);
                // A conflict means that the version is too old to watch from; list again.
                m_has_listing = m_has_listing && failure.kind != base::error_kind::conflict;
                base::log_line(base::log_level::warning, "platform_read_failed")
                    .field("kind", base::to_string(failure.kind))
                    .field("reason", failure.message);
            });
    }

private:
    static constexpr base::steady_clock_source clock{};

    base::result<void> list()
    {
        std::vector<configuration::kind_listing> listings;
        for (auto const& kind : configuration::replicated_kinds())
        {
            BOOST_LEAF_AUTO(page, m_store.list(kind));
            listings.push_back({kind, std::move(page)});
        }
        // Merges all kinds together: a node that serves with some kinds missing rejects existing
        // customers.
        m_state.merge_listing(listings);
        m_has_listing = true;
        return {};
    }

    base::result<void> watch()
    {
        // A node that becomes a watcher again continues from the version that it has pulled from
        // peers meanwhile.
        auto const from_version = m_state.complete_through();
        BOOST_LEAF_AUTO(page, m_store.watch(from_version, configuration::replicated_kinds()));
        m_state.merge_watch(from_version, page);
        return {};
    }

    Store& m_store;
    control_state& m_state;
    membership_agent& m_agent;
    base::random_source m_random;
    membership::watch_backoff m_backoff;
    bool m_has_listing = false;
};

} // namespace jasminepier::control
