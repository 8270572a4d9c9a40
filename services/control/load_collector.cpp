#include "services/control/load_collector.hpp"

#include "backend/http_exchange.hpp"
#include "backend/load_report.hpp"
#include "base/hash.hpp"
#include "services/control/control_metrics.hpp"

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>

namespace jasminepier::control
{
namespace
{

constexpr backend::exchange_timeouts poll_timeouts{std::chrono::milliseconds(300),
                                                   std::chrono::milliseconds(700)};
constexpr std::size_t maximum_report_bytes = 64U << 10U;
// A node of the largest fleet observes 5 servers; an unreachable server takes up to a second.
constexpr std::size_t maximum_poll_threads = 8;
// After a change of instance, models, role or subscribers, the full digest is sent in this many
// rounds to tolerate the loss of a datagram, and afterwards in every tenth round.
constexpr int full_digest_rounds = 3;
constexpr std::uint64_t full_digest_interval = 10;
// A single poll may fail by chance; after two in a row the server is reported as unreachable.
constexpr int unreachable_after_failures = 2;

base::result<backend::load_report> fetch_load_report(configuration::server const& server)
{
    BOOST_LEAF_AUTO(response,
                    backend::call_backend({server.host, server.port}, {"GET", "/load", {}, ""},
                                          poll_timeouts, maximum_report_bytes));
    if (response.status != 200)
        return base::fail(base::error_kind::server_failed,
                          "server returned an error for GET /load");
    return backend::parse_load_report(response.body);
}

std::optional<backend::load_report> try_fetch_load_report(configuration::server const& server)
{
    return base::handle(
        [&]() -> base::result<std::optional<backend::load_report>>
        {
            BOOST_LEAF_AUTO(report, fetch_load_report(server));
            return std::optional(std::move(report));
        },
        [](base::error const&) { return std::optional<backend::load_report>(); });
}

std::int32_t hash_description(backend::load_report const& report)
{
    if (report.state == backend::server_state::unreachable)
        return 0;
    std::string text = report.instance + '\n' + report.role;
    for (auto const& model : report.models)
        text += '\n' + model;
    // 0 is reserved for an unreachable server.
    return static_cast<std::int32_t>(base::stable_hash(text) >> 33U) | 1;
}

inner_protocol::load_digest make_load_digest(std::string const& server,
                                             backend::load_report const& report)
{
    inner_protocol::load_digest digest;
    digest.server_id = server;
    digest.instance = report.instance;
    digest.state = static_cast<int>(report.state);
    digest.running = report.running;
    digest.waiting = report.waiting;
    digest.kv_used_tokens = report.kv_used_tokens;
    digest.kv_capacity_tokens = report.kv_capacity_tokens;
    digest.cold_capacity = report.cold_capacity;
    digest.max_running = report.max_running;
    digest.preemptions = report.preemptions;
    digest.models = report.models;
    digest.role = report.role;
    digest.description = hash_description(report);
    return digest;
}

std::int64_t wall_clock_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::vector<membership::server_candidate>
list_server_candidates(configuration::snapshot const& snapshot)
{
    std::vector<membership::server_candidate> candidates;
    for (auto const& [name, server] : snapshot.servers)
    {
        auto const zone = snapshot.zones.find(server.zone);
        auto const service = snapshot.services.find(server.service);
        membership::server_candidate candidate{name, {}, {}};
        if (zone != snapshot.zones.end())
            candidate.region = zone->second.region;
        if (service != snapshot.services.end())
            candidate.models = service->second.models;
        if (candidate.models.empty())
            candidate.models.push_back(server.service);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

} // namespace

void load_collector::run_round()
{
    refresh_assignments();
    std::vector<inner_protocol::load_digest> digests;
    poll_servers(digests);
    distribute_digests(digests);
}

void load_collector::refresh_assignments()
{
    auto const snapshot = m_state.snapshot();
    auto const members = m_agent.members();
    std::vector<inner_protocol::member_record> live_members;
    std::vector<std::string> live_nodes;
    for (auto const& record : members)
        if (record.state != inner_protocol::member_state::dead)
        {
            live_members.push_back(record);
            live_nodes.push_back(record.node_id);
        }
    if (live_nodes == m_live_nodes && snapshot->revision == m_assignment_revision)
        return;
    m_live_nodes = live_nodes;
    m_assignment_revision = snapshot->revision;
    auto const self = m_agent.self();
    auto const candidates = list_server_candidates(*snapshot);
    std::map<std::string, observed_server> observed;
    for (auto const& candidate : candidates)
        if (membership::select_observer(candidate, members) == self.node_id)
            observed[candidate.id] = {snapshot->servers.at(candidate.id), {}, 0};
    for (auto const& member : live_members)
        for (auto const& id : membership::select_server_subset(member.node_id, member.region,
                                                               live_nodes.size(), candidates))
            if (auto const found = observed.find(id); found != observed.end())
                found->second.subscribers.push_back(member.node_id);
    for (auto& [id, entry] : observed)
        if (auto const previous = m_observed.find(id); previous != m_observed.end())
            entry.consecutive_failures = previous->second.consecutive_failures;
    m_observed = std::move(observed);
}

void load_collector::poll_servers(std::vector<inner_protocol::load_digest>& digests)
{
    std::vector<std::pair<std::string const, observed_server>*> servers;
    for (auto& entry : m_observed)
        servers.push_back(&entry);
    std::vector<std::optional<backend::load_report>> reports(servers.size());
    std::atomic<std::size_t> next{0};
    auto const poll_next_servers = [&]
    {
        for (auto i = next++; i < servers.size(); i = next++)
            reports[i] = try_fetch_load_report(servers[i]->second.server);
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 1; i < std::min(maximum_poll_threads, servers.size()); ++i)
        threads.emplace_back(poll_next_servers);
    poll_next_servers();
    threads.clear();
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        auto& observed = servers[i]->second;
        observed.consecutive_failures = reports[i] ? 0 : observed.consecutive_failures + 1;
        if (!reports[i] && observed.consecutive_failures < unreachable_after_failures)
            continue;
        backend::load_report unreachable;
        unreachable.state = backend::server_state::unreachable;
        digests.push_back(make_load_digest(servers[i]->first, reports[i].value_or(unreachable)));
        record_preemptions(observed.server, digests.back());
        digests.back().sequence = wall_clock_milliseconds();
    }
}

bool load_collector::should_send_full_digest(observed_server& observed,
                                             inner_protocol::load_digest const& digest) const
{
    if (observed.description_hash != digest.description)
    {
        observed.description_hash = digest.description;
        observed.remaining_full_rounds = full_digest_rounds;
    }
    return observed.remaining_full_rounds-- > 0 || m_round % full_digest_interval == 0;
}

void load_collector::distribute_digests(std::vector<inner_protocol::load_digest> const& digests)
{
    auto const local_node = m_agent.self().node_id;
    ++m_round;
    std::map<std::string, std::vector<inner_protocol::load_digest>> digests_by_subscriber;
    for (auto const& digest : digests)
    {
        auto& observed = m_observed.at(digest.server_id);
        auto outgoing = digest;
        if (!should_send_full_digest(observed, digest))
        {
            outgoing.instance.clear();
            outgoing.models.clear();
            outgoing.role.clear();
        }
        for (auto const& subscriber : observed.subscribers)
        {
            if (subscriber == local_node)
                m_state.store_load(digest);
            else
                digests_by_subscriber[subscriber].push_back(outgoing);
        }
    }
    for (auto const& [subscriber, outgoing] : digests_by_subscriber)
        m_agent.send_loads(subscriber, outgoing);
}

} // namespace jasminepier::control
