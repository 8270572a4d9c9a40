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
    /// Part of the datagrams that is lost, 0 to 1.
    double loss = 0;
    /// Part of the datagrams that arrives twice, 0 to 1.
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

    /// Runs until `duration` has passed. `every_step` is called after each step of 100 ms.
    void run(base::milliseconds duration, std::function<void()> const& after_each_step = {});
    /// Runs until `condition` holds; returns the time it took, or nothing after `limit`.
    std::optional<base::milliseconds> run_until(std::function<bool()> const& condition,
                                                base::milliseconds limit);

    /// A stopped node neither receives nor ticks; `resume` continues it with its old state.
    void stop(int node) { m_nodes.at(index(node)).running = false; }
    void resume(int node) { m_nodes.at(index(node)).running = true; }
    /// Starts the node anew with only `seeds` as contacts.
    void restart(int node, std::vector<int> const& seeds);
    /// Drops datagrams for which the function returns true.
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

    /// The state in which `observer` sees `node`; nothing when it does not know it.
    std::optional<inner_protocol::member_state::type> state(int observer, int node);
    /// True when every running node sees every running node as alive.
    bool all_see_all_alive();
    /// True when every running node other than `node` sees it as dead.
    bool all_see_dead(int node);
    /// Pairs (observer, running node) in which the observer takes the node for dead.
    int false_deaths();

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
    struct event
    {
        base::time_point at;
        std::uint64_t order;
        int from;
        int to;
        std::shared_ptr<membership::gossip_datagram const> message;
        bool operator>(event const& other) const noexcept
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    static std::size_t index(int node) { return static_cast<std::size_t>(node); }
    std::unique_ptr<membership::failure_detector> make_node(int node);
    void send_datagrams(int from, std::vector<membership::outgoing_datagram> const& messages);
    void deliver_until(base::time_point limit);
    void step();
    void exchange_members(int node);

    int m_regions;
    network_settings m_settings;
    membership::detector_settings m_detector_settings;
    base::random_source m_random;
    std::vector<member> m_nodes;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::function<bool(int, int)> m_blocked_links;
    std::function<void(int, membership::gossip_datagram const&)> m_delivery_observer;
    base::time_point m_now{};
    std::uint64_t m_event_count = 0;
    std::int64_t m_latest_incarnation = 1;
    std::uint64_t m_sent_datagrams = 0;
    std::uint64_t m_sent_bytes = 0;
    std::size_t m_largest_datagram_bytes = 0;
};

} // namespace jasminepier::tests
