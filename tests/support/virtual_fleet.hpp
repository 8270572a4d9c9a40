/// Configuration distribution over a virtual network, with a platform that fails and lags.
#pragma once

#include "configuration/replica.hpp"
#include "membership/platform_reading.hpp"
#include "membership/selection.hpp"
#include "tests/support/virtual_network.hpp"

#include <map>

namespace jasminepier::tests
{

/// A store with one kind of object, read as the platform's object API allows.
class virtual_platform
{
public:
    std::int64_t put(std::string const& name, bool deleted = false);
    /// Everything as of `lag` versions ago.
    store::object_page list(std::int64_t lag) const;
    store::object_page watch(std::int64_t from, std::int64_t lag) const;
    std::int64_t version() const noexcept { return m_version; }

    bool outage = false;
    /// Versions by which reads may lag; a lag is chosen for each read.
    std::int64_t maximum_lag = 0;
    std::uint64_t calls = 0;

private:
    std::vector<store::object> m_log;
    std::int64_t m_version = 0;
};

struct fleet_settings
{
    /// Every n-th node answers pulls only after the callers have given up; 0 for none.
    int slow_node_interval = 0;
    /// Lets tests show what peers are worth.
    bool use_pulls = true;
};

class virtual_fleet
{
public:
    virtual_fleet(int nodes, int regions, network_settings settings, std::uint64_t seed,
                  fleet_settings fleet = {});

    void run(base::milliseconds duration)
    {
        network.run(duration, [this] { step(); });
    }
    /// Runs until all running nodes confirm `revision`; returns the time, or nothing after `limit`.
    std::optional<base::milliseconds> run_until_all_confirm(std::int64_t revision,
                                                            base::milliseconds limit);
    bool all_confirm(std::int64_t revision);
    /// Replaces the node by one that knows nothing.
    void restart(int node);
    configuration::replica const& replica_of(int node) const
    {
        return m_nodes.at(std::size_t(node)).replica;
    }
    int watcher_count();
    /// Times that an object went back to an older version on any node.
    int version_regressions() const noexcept { return m_version_regressions; }

    virtual_network network;
    virtual_platform store;

private:
    struct pull
    {
        base::time_point ends;
        int peer;
        bool succeeds;
    };
    struct node_state
    {
        configuration::replica replica;
        membership::pull_scheduler scheduler;
        membership::watch_backoff backoff;
        bool listed = false;
        base::time_point next_watch;
        base::time_point started;
        base::time_point last_call;
        std::vector<pull> pulls;
        std::map<std::string, std::int64_t> highest;
    };
    void step();
    bool should_read_platform(int node, node_state const& local);
    void read_platform(int node, node_state& local);
    void pull_from_peers(int node, node_state& local);
    void count_version_regressions(node_state& local);

    fleet_settings m_settings;
    base::random_source m_random;
    std::vector<node_state> m_nodes;
    int m_version_regressions = 0;
};

} // namespace jasminepier::tests
