/// Configuration distribution over a virtual network, with a platform that may be unavailable or
/// return stale reads.
#pragma once

#include "configuration/replica.hpp"
#include "membership/platform_reading.hpp"
#include "membership/selection.hpp"
#include "tests/support/virtual_network.hpp"

#include <map>

namespace jasminepier::tests
{

/// A store for objects of one kind, with the reads of the platform's object API.
class virtual_platform
{
public:
    std::int64_t write(std::string const& name, bool deleted = false);
    /// Returns the objects as of `lag` versions ago.
    store::object_page list(std::int64_t lag) const;
    store::object_page watch(std::int64_t from_version, std::int64_t lag) const;
    std::int64_t version() const noexcept { return m_version; }

    bool unavailable = false;
    /// Maximum staleness of a read, in versions; each read draws its lag at random.
    std::int64_t maximum_lag = 0;
    std::uint64_t call_count = 0;

private:
    std::vector<store::object> m_write_log;
    std::int64_t m_version = 0;
};

struct pull_settings
{
    /// Pulls from every n-th node time out; 0 disables this.
    int slow_node_interval = 0;
    /// Tests disable pulls to measure their effect.
    bool use_pulls = true;
};

class virtual_fleet
{
public:
    virtual_fleet(int nodes, int regions, network_settings settings, std::uint64_t seed,
                  pull_settings pulls = {});

    void run(base::milliseconds duration)
    {
        network.run(duration, [this] { step(); });
    }
    /// Runs until all running nodes have confirmed `revision`. Returns the time it took, or nothing
    /// if it exceeds `limit`.
    std::optional<base::milliseconds> run_until_all_confirm(std::int64_t revision,
                                                            base::milliseconds limit);
    bool all_confirm(std::int64_t revision);
    /// Replaces the node by a new process without any state.
    void restart(int node);
    configuration::replica const& replica_of(int node) const
    {
        return m_nodes.at(std::size_t(node)).replica;
    }
    int watcher_count();
    /// Number of times that an object on any node was replaced by an older version.
    int version_regressions() const noexcept { return m_version_regressions; }

    virtual_network network;
    virtual_platform store;

private:
    struct pull
    {
        base::time_point end_time;
        int peer;
        bool succeeds;
    };
    struct node_state
    {
        configuration::replica replica;
        membership::pull_scheduler scheduler;
        membership::watch_backoff backoff;
        bool has_listing = false;
        base::time_point next_watch;
        base::time_point started;
        base::time_point last_call;
        std::vector<pull> pulls;
        std::map<std::string, std::int64_t> highest_versions;
    };
    void step();
    bool should_read_platform(int node, node_state const& local);
    void read_platform(int node, node_state& local);
    void pull_from_peers(int node, node_state& local);
    void count_version_regressions(node_state& local);

    pull_settings m_settings;
    base::random_source m_random;
    std::vector<node_state> m_nodes;
    int m_version_regressions = 0;
};

} // namespace jasminepier::tests
