/// A network of failure detectors in virtual time, for tests and benchmarks.
#pragma once

#include "membership/failure_detector.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace jasminepier::tests
{

struct network_settings
{
    /// Fraction of datagrams that are lost, 0 to 1.
    double loss = 0;
    /// Fraction of datagrams that arrive twice, 0 to 1.
    double duplication = 0;
    base::milliseconds minimum_delay{1};
    base::milliseconds maximum_delay{5};
};

/// Nodes are numbered from 0; node i is in region i modulo the number of regions.
class virtual_network
{
public:
    virtual_network(int nodes, int regions, network_settings settings, std::uint64_t seed,
                    membership::detector_settings detector = {});

    /// Runs for `duration`, in steps of 100 ms.
    void run(base::milliseconds duration, std::function<void()> const& after_each_step = {});
    /// Runs until `condition` returns true. Returns the time it took, or nothing if it exceeds
    /// `limit`.
    std::optional<base::milliseconds> run_until(std::function<bool()> const& condition,
                                                base::milliseconds limit);

    /// A stopped node neither receives nor ticks; `resume` continues it with its previous state.
    void stop(int node) { m_nodes.at(index(node)).running = false; }
    void resume(int node) { m_nodes.at(index(node)).running = true; }
    /// Replaces the node by a new process that has only `seeds` as contact points.
    void restart(int node, std::vector<int> const& seeds);
    /// Drops datagrams on the links for which the function returns true.
    void set_blocked_links(std::function<bool(int from, int to)> is_blocked)
    {
        m_blocked_links = std::move(is_blocked);
    }
    /// Called for each datagram that a running node receives.
    void
    set_delivery_observer(std::function<void(int to, membership::gossip_datagram const&)> observer)
    {
        m_delivery_observer = std::move(observer);
    }
    bool is_running(int node) const { return m_nodes.at(index(node)).running; }
    bool is_blocked(int from, int to) const { return m_blocked_links && m_blocked_links(from, to); }
    void set_loss(double loss) { m_settings.loss = loss; }

    membership::failure_detector& node(int number) { return *m_nodes.at(index(number)).detector; }
    int size() const noexcept { return static_cast<int>(m_nodes.size()); }
    int region_of(int node) const noexcept { return node % m_regions; }
    static std::string name(int node) { return "node-" + std::to_string(node); }
    base::time_point now() const noexcept { return m_now; }

    /// Returns the state of `node` as observed by `observer`, or nothing if `observer` has no
    /// record.
    std::optional<inner_protocol::member_state::type> state(int observer, int node);
    /// Returns true if every running node sees every running node as alive.
    bool all_see_all_alive();
    /// Returns true if every running node other than `node` sees it as dead.
    bool all_see_dead(int node);
    /// Returns the number of pairs (observer, running node) in which the observer sees the node as
    /// dead.
    int false_death_count();

    std::uint64_t sent_datagrams() const noexcept { return m_sent_datagrams; }
    std::uint64_t sent_bytes() const noexcept { return m_sent_bytes; }
    std::size_t largest_datagram_bytes() const noexcept { return m_largest_datagram_bytes; }
    void reset_counters() { m_sent_datagrams = m_sent_bytes = 0; }

private:
    struct member
    {
        std::unique_ptr<membership::failure_detector> detector;
        bool running = true;
    };
    struct delivery
    {
        base::time_point arrival_time;
        std::uint64_t sequence;
        int from;
        int to;
        std::shared_ptr<membership::gossip_datagram const> message;
        bool operator>(delivery const& other) const noexcept
        {
            return std::tie(arrival_time, sequence) > std::tie(other.arrival_time, other.sequence);
        }
    };
    static std::size_t index(int node) { return static_cast<std::size_t>(node); }
    std::unique_ptr<membership::failure_detector> make_node(int node);
    void send_datagrams(int from, std::vector<membership::outgoing_datagram> const& messages);
    void deliver_until(base::time_point limit);
    void step();
    void push_pull_members(int node);

    int m_regions;
    network_settings m_settings;
    membership::detector_settings m_detector_settings;
    base::random_source m_random;
    std::vector<member> m_nodes;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_deliveries;
    std::function<bool(int, int)> m_blocked_links;
    std::function<void(int, membership::gossip_datagram const&)> m_delivery_observer;
    base::time_point m_now{};
    std::uint64_t m_delivery_count = 0;
    std::int64_t m_latest_incarnation = 1;
    std::uint64_t m_sent_datagrams = 0;
    std::uint64_t m_sent_bytes = 0;
    std::size_t m_largest_datagram_bytes = 0;
};

} // namespace jasminepier::tests
