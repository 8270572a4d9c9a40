/// The decision core's table of backend servers.
#pragma once

#include "base/clock.hpp"
#include "configuration/snapshot.hpp"
#include "decision/cold_start.hpp"
#include "decision/occupancy.hpp"
#include "decision/policy.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminepier::decision
{

enum class reported_state
{
    cold,
    warm,
    /// The server is draining.
    leaving,
    unreachable,
    /// The server's report doesn't contain a state.
    none,
};

/// The last load report of a server.
struct reported_load
{
    std::string instance;
    reported_state state = reported_state::none;
    int running = 0;
    int waiting = 0;
    std::int64_t kv_used_tokens = 0;
    /// 0 for plain services.
    std::int64_t kv_capacity_tokens = 0;
    /// 0 when not reported.
    int cold_capacity = 0;
    /// 0 when not reported.
    int max_running = 0;
    /// Empty if not reported; the server is then assumed to serve all models of its service.
    std::vector<std::string> models;
};

/// Statistics of this node's generations, from which the demand of other nodes' generations is
/// extrapolated.
struct demand_profile
{
    /// Demand at each horizon relative to the current KV-cache use.
    std::array<double, horizons.size()> ratio{1, 0.98, 0.95, 0.9, 0.7, 0.3};
    /// Variance of one generation's demand at each horizon, tokens squared.
    std::array<double, horizons.size()> variance{};
    /// Mean KV-cache use of one generation, tokens.
    double mean_kv_tokens = 400;
    /// Demand that the other nodes together add to one server per second.
    demand peer_rate;
    /// Generations of all other nodes per generation of this node.
    double peer_ratio = 0;
};

/// The reason why a server can't take a request. From `cold_full` on, the reasons pass by
/// themselves and waiting helps.
enum class exclusion_reason
{
    none,
    zone_out,
    leaving,
    unreachable,
    other_model,
    cold_full,
    batch_full,
    memory_full,
};

std::string_view to_string(exclusion_reason value) noexcept;

struct server_state
{
    std::string name;
    std::string service;
    std::string zone;
    std::string region;
    bool listed = false;
    bool leaving = false;
    bool zone_in_service = true;

    reported_load load;
    bool reported = false;
    base::time_point measured_at{};
    /// Set when the server was lost. The server is excluded until a report measured later arrives.
    std::optional<base::time_point> lost_at;

    /// Set by a failed attempt, cleared by a report measured later.
    std::optional<base::time_point> failed_at;

    /// Predicted demand of this node's generations.
    demand local_demand;
    int local_running = 0;
    /// The part of `local_demand` that was dispatched after the last report was measured.
    demand local_unreported_demand;
    /// Number of this node's generations dispatched after the last report was measured.
    int local_unreported = 0;
    /// The reported load minus this node's part of it: load of the other nodes.
    double peer_kv_tokens = 0;
    int peer_running = 0;
    /// When the last token time was counted.
    base::time_point last_token_time_at{};
    /// Exponential moving average of the between-token times, milliseconds; 0 until known.
    double mean_token_interval = 0;
    cold_start cold;
    /// Indexes of this node's generations in the core's table.
    std::vector<std::uint32_t> generations;

    /// Maximum batch size; 64 if the server doesn't report it.
    int batch_slots() const noexcept { return load.max_running > 0 ? load.max_running : 64; }
};

class server_table
{
public:
    server_table(std::string local_node, policy_switches switches)
        : m_local_node(std::move(local_node)), m_switches(switches)
    {
    }

    void apply_configuration(configuration::snapshot const& snapshot, base::time_point now);
    /// Applies a load report. Returns the server's index, or nothing if the report was not applied
    /// or carries no load: the server is unknown or unreachable, or the report is older than the
    /// last one.
    std::optional<std::uint32_t> apply_report(std::string_view name, reported_load load,
                                              base::time_point measured_at, base::time_point now);
    std::optional<std::uint32_t> find(std::string_view name) const;
    server_state& at(std::uint32_t index) { return m_servers[index]; }
    server_state const& at(std::uint32_t index) const { return m_servers[index]; }
    std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(m_servers.size()); }
    /// Marks a server cold because of slow token times.
    void mark_cold(std::uint32_t index, base::time_point now);
    /// Recomputes the slots of a cold server that are assigned to this node.
    void assign_slots(server_state& server, base::time_point now) const;

    /// Returns the reason why `server` can't take another request for `model` now, or `none`.
    /// Doesn't consider memory.
    exclusion_reason find_exclusion_reason(server_state const& server, std::string const& model,
                                           base::time_point now) const;
    /// Returns the predicted demand of all generations on `server`, including those of other nodes.
    demand predict_total_demand(server_state const& server, demand_profile const& profile,
                                base::time_point now) const;
    std::vector<std::string> const& nodes() const noexcept { return m_nodes; }

private:
    server_state& find_or_add(std::string const& name);
    void apply_cold_state(server_state& server, reported_load const& load, base::time_point now);

    std::string m_local_node;
    policy_switches m_switches;
    std::vector<server_state> m_servers;
    std::unordered_map<std::string, std::uint32_t> m_index;
    std::vector<std::string> m_nodes;
    base::time_point m_nodes_changed_at{};
};

} // namespace jasminepier::decision
