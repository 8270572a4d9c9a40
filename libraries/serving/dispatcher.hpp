/// Decides which server runs a request, which request waits and which is refused.
#pragma once

#include "base/clock.hpp"
#include "serving/fleet_configuration.hpp"
#include "serving/node_retry_budget.hpp"
#include "serving/outcome_history.hpp"
#include "serving/server_directory.hpp"
#include "serving/server_load.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminepier::serving
{

/// What a request is expected to take.
struct request_demand
{
    std::int64_t prompt_tokens = 0;
    std::int64_t expected_output_tokens = 0;
    int priority = 0;
};

/// Why a server is not used for a request.
enum class exclusion_reason
{
    none,
    leaving,
    zone_evacuated,
    unreachable,
    cold,
    /// Every place or all cache memory is taken.
    full,
    /// The request has failed there already.
    already_tried,
};

std::string_view to_string(exclusion_reason reason) noexcept;

enum class selection_purpose
{
    /// A request that has not been sent yet or is sent again.
    new_work,
    /// A running generation that leaves its server.
    handover,
};

struct selection_query
{
    std::string_view service;
    request_demand demand;
    std::span<std::string const> excluded_servers;
    selection_purpose purpose = selection_purpose::new_work;
    /// Zone that is preferred; the node's own for new work, the source's for a handover.
    std::string_view preferred_zone;
};

/// A server as it was chosen, with the inputs that decided.
struct selected_server
{
    std::string id;
    std::string address;
    std::string zone;
    double score = 0;
    /// Requests of all nodes on the server and their expected part of its memory.
    int running = 0;
    double occupancy = 0;
    /// Age of the oldest peer report that was used.
    base::milliseconds load_age{0};
};

/// Either a server, or the reasons why there is none.
struct server_selection
{
    std::optional<selected_server> server;
    /// The obstacle of the server that came closest: `full` and `cold` pass by themselves.
    exclusion_reason reason = exclusion_reason::none;
    bool worth_waiting() const noexcept
    {
        return reason == exclusion_reason::full || reason == exclusion_reason::cold;
    }
};

/// How the use of a server ended, as evidence about the server.
enum class attempt_outcome
{
    succeeded,
    /// The server answered that it takes no more work.
    declined,
    /// The server failed the request or broke off.
    failed,
    /// No connection was established.
    unreachable,
    /// The caller left or the node gave up; says nothing about the server.
    inconclusive,
};

using attempt_id = std::uint64_t;

struct dispatcher_settings
{
    std::string node;
    std::string zone;
    retry_budget_limits retry_limits;
};

/// The state of all servers as one node sees it: the store's list, its own runs, its peers' reports
/// and the evidence of its own answers. Every call takes the current time. Not synchronized.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_settings settings) : m_settings(std::move(settings)) {}

    void set_configuration(std::shared_ptr<fleet_configuration const> configuration);
    void set_retry_budget_limits(retry_budget_limits bound) noexcept
    {
        m_settings.retry_limits = bound;
    }
    /// Evacuated zones receive nothing new.
    void set_evacuated_zones(std::set<std::string> zones) { m_evacuated = std::move(zones); }
    std::set<std::string> const& evacuated_zones() const noexcept { return m_evacuated; }
    /// Names of the nodes that live, this one included.
    void set_live_nodes(std::vector<std::string> nodes) { m_live_nodes = std::move(nodes); }
    server_directory& directory() noexcept { return m_directory; }
    server_directory const& directory() const noexcept { return m_directory; }

    /// Chooses one of the services of a route by weight; null without any.
    service const* select_service(route const& chosen, base::random_source& random) const;
    server_selection select_server(selection_query const& query, base::time_point now,
                                   base::random_source& random) const;

    /// Records that a request is sent to a server. `leaving` is called when the server begins to
    /// leave, on the thread that reports it.
    attempt_id begin_attempt(std::string const& server, request_demand demand, base::time_point now,
                             std::function<void()> leaving);
    /// When a run is to be copied from its leaving engine, counted from the notice. The runs of all
    /// nodes take turns on the engine's link, since a run's last copy would otherwise wait behind
    /// the first copies of the others while its stream stands still. Every node derives the same
    /// order from the reports, so no message is needed.
    base::milliseconds copy_start_delay(attempt_id number) const;
    /// True when all runs that take their turn before this one have left the engine.
    bool may_start_copy(attempt_id number) const;
    /// Says whether a run is handed over when its server leaves.
    void set_can_hand_over(attempt_id number, bool can_hand_over);
    /// Addresses of the servers of this node's runs on engines, by id.
    std::map<std::string, std::string> servers_in_use() const;
    /// The first event of the run has arrived.
    void record_first_event(attempt_id run);
    void end_attempt(attempt_id run, attempt_outcome outcome, base::time_point now);
    /// Records evidence that does not end a run.
    void record_outcome(std::string const& server, attempt_outcome outcome, base::time_point now);
    /// True when the run's server drains or is gone.
    bool is_leaving(std::string const& server) const;
    /// Calls `leaving` of the runs whose servers began to leave.
    void notify_leaving();

    /// Ends the grace of lapsed servers and drops what is known of forgotten ones. Returns true
    /// when a server changed its phase.
    bool expire(base::time_point now);

    /// Counts a request for the retry bound of its service.
    void add_request(std::string const& service, base::time_point now);
    /// Takes one retry of the service's bound.
    bool try_spend_retry(std::string const& service, base::time_point now);

    /// Own use of the servers, for the report to peers.
    std::vector<server_load> local_loads(base::time_point now) const;
    /// Takes over a peer's report.
    void merge_peer(std::string const& node, std::span<server_load const> loads,
                    base::time_point now);
    /// Forgets a peer whose reports have ended.
    void forget_peer(std::string const& node);

    /// Waiting requests, so that less urgent ones do not pass more urgent ones.
    void add_waiting(std::string const& service, int priority);
    void remove_waiting(std::string const& service, int priority);
    bool more_urgent_waiting(std::string const& service, int priority) const;

private:
    struct run
    {
        std::string server;
        request_demand demand;
        bool first_event = false;
        bool can_hand_over = false;
        std::function<void()> leaving;
    };
    struct usage
    {
        int running = 0;
        std::int64_t reserved_tokens = 0;
        std::int64_t unread_prompt_tokens = 0;
    };
    struct server_health
    {
        outcome_history outcomes;
        base::time_point unreachable_until{};
        int unreachable_in_a_row = 0;
        /// Sends of the last second, for the bound of cold servers.
        std::deque<base::time_point> sends;
    };
    struct peer_report
    {
        std::vector<server_load> loads;
        base::time_point received{};
    };
    /// All nodes' use of one server.
    struct combined_load
    {
        usage used;
        double attempts = 0;
        double failures = 0;
        int nodes_without_contact = 0;
        base::milliseconds oldest{0};
    };

    base::milliseconds copy_time(std::string const& server, std::int64_t tokens) const;
    combined_load combine(std::string const& id, base::time_point now) const;
    exclusion_reason find_exclusion_reason(listed_server const& server, service const& kind,
                                           combined_load const& load, selection_query const& query,
                                           base::time_point now) const;
    double score(listed_server const& server, service const& kind, combined_load const& load,
                 selection_query const& query, double usual_failures) const;
    bool cold_allowance_left(listed_server const& server, service const& kind,
                             base::time_point now) const;

    dispatcher_settings m_settings;
    std::shared_ptr<fleet_configuration const> m_configuration =
        std::make_shared<fleet_configuration>();
    server_directory m_directory;
    std::set<std::string> m_evacuated;
    std::vector<std::string> m_live_nodes;
    std::unordered_map<attempt_id, run> m_attempts;
    attempt_id m_next_attempt_id = 1;
    std::unordered_map<std::string, usage> m_local_usage;
    std::unordered_map<std::string, server_health> m_server_health;
    std::map<std::string, peer_report> m_peers;
    std::map<std::string, node_retry_budget> m_retry_budgets;
    std::map<std::string, std::multiset<int>> m_waiting;
};

} // namespace jasminepier::serving
