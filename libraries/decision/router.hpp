/// Chooses a server for one request.
#pragma once

#include "base/clock.hpp"
#include "decision/server_table.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminepier::decision
{

/// One server that was compared for a decision.
struct candidate
{
    std::uint32_t server = 0;
    /// Predicted peak of memory in use, as a part of the capacity.
    double occupancy = 0;
    double score = 0;
    exclusion_reason reason = exclusion_reason::none;
};

struct route_query
{
    std::string const& model;
    demand added;
    std::uint64_t prefix_hash = 0;
    std::span<std::uint32_t const> excluded;
    /// Part of a server's memory that the request's kind may use.
    double fill_limit = 1;
    double deviations = 0;
    int candidates = 3;
};

/// The servers of one model with a hash ring for prefix affinity.
class server_pool
{
public:
    /// Points of each server on the ring; they spread prefixes evenly within about 25%.
    static constexpr int ring_points = 8;
    /// Most remembered places of cached prefixes; further hints replace older ones at random.
    static constexpr std::size_t maximum_hints = 4096;

    void assign(std::vector<std::uint32_t> servers, server_table const& table);
    std::vector<std::uint32_t> const& servers() const noexcept { return m_servers; }
    /// Records a cache event. Events come late and with gaps, so they are hints only.
    void note_prefix(std::uint64_t prefix_hash, std::uint32_t server, bool stored);
    /// Returns the server that is expected to hold the prefix.
    std::optional<std::uint32_t> affinity_server(std::uint64_t prefix_hash) const;

private:
    std::vector<std::uint32_t> m_servers;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> m_ring;
    std::unordered_map<std::uint64_t, std::uint32_t> m_hints;
};

class router
{
public:
    router(server_table const& table, policy_switches switches, std::string zone)
        : m_table(table), m_switches(switches), m_zone(std::move(zone))
    {
    }

    /// Compares a bounded number of servers and returns the chosen one, or nothing when the request
    /// fits on none of them. `seen` receives the servers compared.
    std::optional<std::uint32_t> choose(server_pool const& pool, demand_profile const& profile,
                                        route_query const& query, base::time_point now,
                                        base::random_source& random,
                                        std::vector<candidate>& seen) const;
    void set_place(std::string zone, std::string region)
    {
        m_zone = std::move(zone);
        m_region = std::move(region);
    }

private:
    candidate evaluate(std::uint32_t index, demand_profile const& profile, route_query const& query,
                       base::time_point now) const;
    double distance(server_state const& server) const;

    server_table const& m_table;
    policy_switches m_switches;
    std::string m_zone;
    std::string m_region;
};

} // namespace jasminepier::decision
