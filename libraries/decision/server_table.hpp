/// The decision core's view of the backend servers.
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
    leaving,
    unreachable,
    /// The server's report does not give a state.
    none,
};

/// What a server last reported about itself.
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
    /// Empty when the server does not say; it is then taken to serve its service's models.
    std::vector<std::string> models;
};

/// How demand changes ahead for the generations of other nodes, learned from this node's own.
struct demand_profile
{
    /// Demand at each horizon relative to the memory held now.
    std::array<double, horizons.size()> ratio{1, 0.98, 0.95, 0.9, 0.7, 0.3};
    /// Variance of one generation at each horizon, tokens squared.
    std::array<double, horizons.size()> variance{};
    /// Mean memory held by one generation, tokens.
    double held = 400;
    /// Demand that other nodes add to one server per second.
    demand peer_rate;
    /// What other nodes run, relative to what this node runs.
    double peer_ratio = 0;
};

/// What keeps a server from taking a request.
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
    /// Set when the server was lost; it is excluded until a report measured later arrives.
    std::optional<base::time_point> lost_at;

    /// Set by a failed attempt, cleared by a report measured later.
    std::optional<base::time_point> failed_at;

    /// Demand of this node's own generations.
    demand own;
    int local_running = 0;
    /// The part of `own` that was sent after the last report was measured.
    demand own_recent;
    /// This node's own generations that started after the last report was measured.
    int local_unreported = 0;
    /// The reported load without this node's part.
    double peer_kv_tokens = 0;
    int peer_running = 0;
    base::time_point last_time_noted_at{};
    /// Running mean of between-token times, milliseconds; 0 until known.
    double usual_gap = 0;
    cold_start cold;
    /// Positions of this node's generations in the core's table.
    std::vector<std::uint32_t> generations;

    int full_batch() const noexcept { return load.max_running > 0 ? load.max_running : 64; }
};

class server_table
{
public:
    server_table(std::string self, policy_switches switches)
        : m_self(std::move(self)), m_switches(switches)
    {
    }

    void apply_configuration(configuration::snapshot const& snapshot, base::time_point now);
    /// Takes over the static part of a report: state, instance, cold start. Returns the index, or
    /// nothing for an unknown server. Reports older than the last one are ignored.
    std::optional<std::uint32_t> apply_report(std::string_view name, reported_load load,
                                              base::time_point measured_at, base::time_point now);
    std::optional<std::uint32_t> find(std::string_view name) const;
    server_state& at(std::uint32_t index) { return m_servers[index]; }
    server_state const& at(std::uint32_t index) const { return m_servers[index]; }
    std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(m_servers.size()); }
    /// Marks a warm server cold, as its token times show.
    void turn_cold(std::uint32_t index, base::time_point now);
    /// Recomputes the slots that this node holds on a cold server.
    void assign_slots(server_state& server, base::time_point now) const;

    /// Returns why `server` may not take another request of `model` now, memory aside.
    exclusion_reason find_exclusion_reason(server_state const& server, std::string const& model,
                                           base::time_point now) const;
    /// Returns the predicted demand of everything on `server`.
    demand predict(server_state const& server, demand_profile const& profile,
                   base::time_point now) const;
    std::vector<std::string> const& nodes() const noexcept { return m_nodes; }

private:
    server_state& add_or_find(std::string const& name);
    void apply_cold_state(server_state& server, reported_load const& load, base::time_point now);

    std::string m_self;
    policy_switches m_switches;
    std::vector<server_state> m_servers;
    std::unordered_map<std::string, std::uint32_t> m_index;
    std::vector<std::string> m_nodes;
    base::time_point m_nodes_changed_at{};
};

} // namespace jasminepier::decision
