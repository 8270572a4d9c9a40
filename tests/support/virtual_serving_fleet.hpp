/// Distribution of the store's objects among nodes on the platform, in virtual time.
#pragma once

#include "serving/object_catch_up.hpp"
#include "tests/support/virtual_network.hpp"

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace jasminepier::tests
{

/// A store, and nodes that report to each other, pull from each other and follow the store with the
/// directory and the rules of the program. Node i is in zone i modulo the number of zones.
/// Datagrams are lost, delayed and duplicated as in `virtual_network`.
class virtual_serving_fleet
{
public:
    enum class store_access
    {
        reachable,
        /// Connections are reset at once.
        reset,
        /// Calls are never answered.
        silent,
    };

    virtual_serving_fleet(int nodes, int zones, network_settings settings, std::uint64_t seed);

    void run(base::milliseconds duration);
    base::time_point now() const noexcept { return m_now; }
    int size() const noexcept { return static_cast<int>(m_nodes.size()); }

    /// Writes the configuration, an evacuation or a server to the store.
    void change_configuration();
    void change_evacuation(std::string const& zone, bool removed);
    void change_server(int server, bool removed = false);

    /// Blocks datagrams and pulls on the links for which the function returns true.
    void set_blocked_links(std::function<bool(int from, int to)> is_blocked)
    {
        m_blocked_links = std::move(is_blocked);
    }
    void set_store_access(int number, store_access access);
    /// Pulls take 20 ms to this time, besides the time for their bytes if links are limited.
    void set_slowest_pull(base::milliseconds duration) { m_slowest_pull = duration; }
    /// Bytes that carry a configuration.
    struct configuration_size
    {
        /// In a response of the store.
        std::int64_t stored = 0;
        /// In a pull from a peer.
        std::int64_t pulled = 0;
    };
    /// Limits what each node sends to peers, and what it receives from peers and the store, to
    /// `bytes_per_millisecond`, and sets the size of the configuration. Transfers share a link
    /// evenly.
    void set_links(double bytes_per_millisecond, configuration_size size)
    {
        m_link_rate = bytes_per_millisecond;
        m_configuration_size = size;
    }
    /// A frozen node does nothing and receives nothing.
    void set_frozen(int number, bool is_frozen) { m_nodes.at(index(number)).frozen = is_frozen; }
    /// The node shuts down as planned, but runs on.
    void stop(int number)
    {
        m_nodes.at(index(number)).directory.set_phase(serving::node_phase::shutting_down);
    }
    void kill(int number) { m_nodes.at(index(number)).killed = true; }
    /// The node runs the version of 3 December 2026, which reports and compares one revision for
    /// configuration and evacuations.
    void set_earlier_version(int number) { m_nodes.at(index(number)).earlier_version = true; }
    /// The ages of the node's configuration count from now on, as after the end of a disturbance
    /// that kept it from both its peers and the store.
    void restart_ages(int number) { m_nodes.at(index(number)).in_touch_since = m_now; }
    /// The node is left out of the ages.
    void ignore_ages(int number) { m_nodes.at(index(number)).ignored = true; }

    bool follows_store(int number) const { return m_nodes.at(index(number)).follows_store; }
    /// Time from each change to its arrival at each node that is not ignored; the maximum if it
    /// never arrived.
    std::vector<base::milliseconds> configuration_ages() const { return ages("config"); }
    std::vector<base::milliseconds> server_ages() const { return ages("servers"); }
    /// True if no running node lacks an evacuation or server or has one too many.
    bool evacuations_agree() const { return copies_agree("evacuations"); }
    bool servers_agree() const { return copies_agree("servers"); }
    std::uint64_t store_calls() const noexcept { return m_store_calls; }
    /// Pulls that nodes of the present version have started.
    std::uint64_t pulls() const noexcept { return m_pulls; }
    std::uint64_t failed_pulls() const noexcept { return m_failed_pulls; }

private:
    struct report_datagram
    {
        serving::node_state_report state;
        std::vector<store::object> news;
        std::optional<serving::zone_summary> summary;
        bool relay = false;
    };
    struct delivery
    {
        base::time_point arrival;
        std::uint64_t sequence;
        int to;
        std::shared_ptr<report_datagram const> datagram;
        bool operator>(delivery const& other) const noexcept
        {
            return std::tie(arrival, sequence) > std::tie(other.arrival, other.sequence);
        }
    };
    /// The thread that lists and watches one kind.
    struct store_thread
    {
        std::string kind;
        enum class activity
        {
            waiting,
            listing,
            watching,
            /// The response has begun and is arriving.
            receiving,
        } current = activity::listing;
        base::time_point next{};
        base::time_point watch_end{};
        base::time_point next_cancellation_check{};
        std::optional<std::int64_t> version;
        /// The store fell silent during the call, so it is never answered.
        bool lost = false;
        bool was_listed = false;
        bool waited = false;
        bool started = false;
        base::milliseconds backoff{100};
        double remaining_bytes = 0;
    };
    struct running_pull
    {
        serving::object_pull pull;
        base::time_point start;
        /// The end if links are not limited.
        base::time_point end;
        bool succeeds = false;
        double remaining_bytes = 0;
        std::vector<store::object> objects;
    };
    struct member
    {
        member(serving::node_entry entry, serving::object_kinds const& kinds);
        serving::node_directory directory;
        configuration::versioned_store objects;
        serving::object_catch_up catch_up;
        base::random_source random;
        std::array<store_thread, 3> store_threads;
        std::optional<running_pull> pull;
        base::time_point next_check{};
        base::time_point earliest_report{};
        base::time_point next_report{};
        base::time_point next_summary{};
        bool report_due = false;
        bool follows_store = true;
        bool store_call_failed = false;
        std::int64_t sequence = 0;
        store_access access = store_access::reachable;
        bool frozen = false;
        bool killed = false;
        bool earlier_version = false;
        serving::configuration_pull_policy earlier_pull_policy;
        bool ignored = false;
        base::time_point in_touch_since{};
        /// Arrival of each change of the configuration or a server.
        std::vector<std::optional<base::time_point>> arrivals;

        serving::catch_up_view view() const
        {
            return {directory, objects, objects.kind_revision("config") > 0, follows_store,
                    store_call_failed};
        }
        bool runs() const noexcept { return !frozen && !killed; }
    };

    inline static serving::object_kinds const kinds{"config", "evacuations", "servers"};
    static constexpr base::milliseconds step_length{10};
    static constexpr base::milliseconds pull_timeout{800};

    static std::size_t index(int number) { return static_cast<std::size_t>(number); }
    serving::node_entry make_entry(int number) const;
    int number_of(std::string const& name) const;
    std::int64_t write(std::string const& kind, std::string const& name, bool deleted);
    void write_tracked(std::string const& kind, std::string const& name, bool deleted);
    std::vector<base::milliseconds> ages(std::string const& kind) const;
    bool copies_agree(std::string const& kind) const;
    bool is_blocked(int from, int to) const
    {
        return m_blocked_links && (m_blocked_links(from, to) || m_blocked_links(to, from));
    }
    base::milliseconds random_time(int minimum, int maximum);
    void deliver_datagrams();
    void send(int from, std::vector<serving::node_entry> const& recipients,
              report_datagram const& datagram);
    void send_report(int number, std::vector<store::object> const& news);
    void send_summary(int number);
    void apply(int number, std::span<store::object const> objects);
    void step_reports(int number);
    void step_pulls(int number);
    serving::node_state_report make_state(member& sender);
    std::optional<serving::object_pull> plan_pull_of_earlier_version(member& local);
    void start_pull(int number, serving::object_pull const& pull);
    std::int64_t size_of(std::span<store::object const> objects) const;
    /// Transfers that share what a node receives, or what it sends to peers.
    int count_downloads(int number) const;
    int count_uploads(int number) const;
    void move_bytes();
    void step_store(int number, store_thread& thread);
    void start_store_call(int number, store_thread& thread);
    /// Receives the response of a call, whose bytes take their time on a limited link.
    void receive_response(int number, store_thread& thread);
    void finish_store_call(int number, store_thread& thread);
    void fail_store_call(int number, store_thread& thread);

    network_settings m_settings;
    base::milliseconds m_slowest_pull{150};
    base::random_source m_random;
    int m_zones;
    base::time_point m_now{std::chrono::seconds(100)};
    std::vector<member> m_nodes;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_deliveries;
    std::uint64_t m_delivery_count = 0;
    std::function<bool(int, int)> m_blocked_links;
    std::map<std::pair<std::string, std::string>, store::object> m_store;
    std::int64_t m_revision = 100;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_pulls = 0;
    std::uint64_t m_failed_pulls = 0;
    /// 0 if links are not limited.
    double m_link_rate = 0;
    configuration_size m_configuration_size;
    struct tracked_change
    {
        std::string kind;
        std::string name;
        std::int64_t revision;
        base::time_point time;
    };
    std::vector<tracked_change> m_changes;
};

} // namespace jasminepier::tests
