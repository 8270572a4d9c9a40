/// Selection of a server for a request.
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

/// A server that was evaluated for a decision.
struct candidate
{
    std::uint32_t server = 0;
    /// Predicted peak of the KV-cache use as a fraction of the capacity; for a plain service,
    /// running requests per batch slot.
    double occupancy = 0;
    /// The server with the lowest score is selected.
    double score = 0;
    /// Reason why the server can't be selected; `none` if it can.
    exclusion_reason reason = exclusion_reason::none;
};

struct route_query
{
    std::string const& model;
    /// Predicted demand of the request.
    demand request_demand;
    std::uint64_t prefix_hash = 0;
    std::span<std::uint32_t const> excluded;
    /// Fraction of a server's memory up to which requests of this kind may fill it.
    double fill_limit = 1;
    double margin_deviations = 0;
    int maximum_candidates = 3;
};

/// The servers of one model, with a consistent-hash ring for prefix affinity.
class server_pool
{
public:
    /// Spreads prefixes over the servers evenly within about 25%.
    static constexpr int ring_points_per_server = 8;
    /// Maximum number of remembered prefix locations. When full, a new one replaces an arbitrary
    /// one.
    static constexpr std::size_t maximum_hints = 4096;

    void assign(std::vector<std::uint32_t> servers, server_table const& table);
    std::vector<std::uint32_t> const& servers() const noexcept { return m_servers; }
    /// Records that a server stored or evicted a prefix. Such events arrive late and some are lost,
    /// so they are only hints.
    void record_prefix(std::uint64_t prefix_hash, std::uint32_t server, bool stored);
    /// Returns the server that is expected to have the prefix cached, or nothing if the pool is
    /// empty.
    std::optional<std::uint32_t> find_affinity_server(std::uint64_t prefix_hash) const;

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

    /// Compares a bounded number of servers and returns the best one, or nothing if the request
    /// fits on none of them. Replaces the contents of `compared` with the compared servers.
    std::optional<std::uint32_t> select(server_pool const& pool, demand_profile const& profile,
                                        route_query const& query, base::time_point now,
                                        base::random_source& random,
                                        std::vector<candidate>& compared) const;
    void set_location(std::string zone, std::string region)
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
