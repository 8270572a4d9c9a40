/// The policies that the decision core is compared with: round robin and least outstanding
/// requests. Both dispatch without queueing and skip servers that are known to be unavailable.
#pragma once

#include "decision/decision_core.hpp"

#include <unordered_map>
#include <vector>

namespace jasminepier::benchmarks
{

enum class baseline_kind
{
    round_robin,
    least_outstanding,
};

/// An entry node with a baseline policy; has the interface of `decision::decision_core` that the
/// simulation uses.
class baseline_node
{
public:
    baseline_node(baseline_kind kind, decision::core_settings const& settings)
        : m_kind(kind), m_servers(settings.node, make_switches()), m_next_server(settings.seed)
    {
    }

    void apply_configuration(configuration::snapshot const& snapshot, base::time_point now)
    {
        m_preset = snapshot.active_preset;
        m_servers.apply_configuration(snapshot, now);
    }
    void apply_report(std::string_view server, decision::reported_load load,
                      base::time_point measured_at, base::time_point now)
    {
        m_servers.apply_report(server, std::move(load), measured_at, now);
    }
    void mark_server_lost(std::string_view server, base::time_point now)
    {
        if (auto const index = m_servers.find(server))
            m_servers.at(*index).lost_at = now;
    }
    std::uint64_t submit(decision::submission const& request, base::time_point)
    {
        auto const ticket = m_next_ticket++;
        m_pending.push_back({ticket, request});
        return ticket;
    }
    bool cancel_waiting(std::uint64_t ticket)
    {
        return std::erase_if(m_pending, [&](pending const& candidate)
                             { return candidate.ticket == ticket; }) > 0;
    }
    void poll(base::time_point now, std::vector<decision::decision_result>& decisions);
    void record_tokens(std::uint64_t, std::int64_t, base::time_point) {}
    void finish(std::uint64_t ticket, decision::generation_outcome, base::time_point)
    {
        auto const found = m_running.find(ticket);
        if (found == m_running.end())
            return;
        --m_servers.at(found->second).local_running;
        m_running.erase(found);
    }
    decision::server_table const& servers() const noexcept { return m_servers; }
    std::size_t queued() const noexcept { return m_pending.size(); }

private:
    struct pending
    {
        std::uint64_t ticket;
        decision::submission request;
    };
    static decision::policy_switches make_switches()
    {
        decision::policy_switches switches;
        switches.cold_slots = decision::toggle::off;
        switches.admission = decision::toggle::off;
        return switches;
    }

    baseline_kind m_kind;
    configuration::preset m_preset;
    decision::server_table m_servers;
    std::vector<pending> m_pending;
    std::unordered_map<std::uint64_t, std::uint32_t> m_running;
    std::uint64_t m_next_server;
    std::uint64_t m_next_ticket = 1;
};

} // namespace jasminepier::benchmarks
