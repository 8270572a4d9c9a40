#include "services/control/load_collector.hpp"

#include "backend/http_exchange.hpp"
#include "backend/load_report.hpp"
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
// At full size a node observes 5 servers, and an unreachable one takes up to a second.
constexpr std::size_t maximum_poll_threads = 8;
// One lost poll may be chance; two in a row say that the server cannot be used.
constexpr int failures_to_unreachable = 2;

base::result<backend::load_report> poll(configuration::server const& server)
{
    BOOST_LEAF_AUTO(response,
                    backend::call_backend({server.host, server.port}, {"GET", "/load", {}, ""},
                                          poll_timeouts, maximum_report_bytes));
    if (response.status != 200)
        return base::fail(base::error_kind::server_failed, "load report was refused");
    return backend::parse_load_report(response.body);
}

std::optional<backend::load_report> try_poll(configuration::server const& server)
{
    return base::handle(
        [&]() -> base::result<std::optional<backend::load_report>>
        {
            BOOST_LEAF_AUTO(report, poll(server));
            return std::optional(std::move(report));
        },
        [](base::error const&) { return std::optional<backend::load_report>(); });
}

inner_protocol::load_digest condense(std::string const& server, backend::load_report const& report)
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
    return digest;
}

std::int64_t wall_clock_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::vector<membership::server_candidate> candidates_of(configuration::snapshot const& snapshot)
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

void load_collector::step()
{
    refresh_assignments();
    std::vector<inner_protocol::load_digest> digests;
    poll_all(digests);
    distribute(digests);
}

void load_collector::refresh_assignments()
{
    auto const snapshot = m_state.snapshot();
    auto const members = m_agent.members();
    std::vector<inner_protocol::member_record> users;
    std::vector<std::string> live;
    for (auto const& record : members)
        if (record.state != inner_protocol::member_state::dead)
        {
            users.push_back(record);
            live.push_back(record.node_id);
        }
    if (live == m_live && snapshot->revision == m_revision)
        return;
    m_live = live;
    m_revision = snapshot->revision;
    auto const own = m_agent.self();
    auto const candidates = candidates_of(*snapshot);
    std::map<std::string, observation> observed;
    for (auto const& candidate : candidates)
        if (membership::observer_of(candidate, members) == own.node_id)
            observed[candidate.id] = {snapshot->servers.at(candidate.id), {}, 0};
    for (auto const& user : users)
        for (auto const& id :
             membership::servers_used(user.node_id, user.region, live.size(), candidates))
            if (auto const found = observed.find(id); found != observed.end())
                found->second.users.push_back(user.node_id);
    for (auto& [id, started] : observed)
        if (auto const known = m_observed.find(id); known != m_observed.end())
            started.failures = known->second.failures;
    m_observed = std::move(observed);
}

void load_collector::poll_all(std::vector<inner_protocol::load_digest>& digests)
{
    std::vector<std::pair<std::string const, observation>*> targets;
    for (auto& entry : m_observed)
        targets.push_back(&entry);
    std::vector<std::optional<backend::load_report>> reports(targets.size());
    std::atomic<std::size_t> next{0};
    auto const work = [&]
    {
        for (auto i = next++; i < targets.size(); i = next++)
            reports[i] = try_poll(targets[i]->second.server);
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 1; i < std::min(maximum_poll_threads, targets.size()); ++i)
        threads.emplace_back(work);
    work();
    threads.clear();
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        auto& target = targets[i]->second;
        target.failures = reports[i] ? 0 : target.failures + 1;
        if (!reports[i] && target.failures < failures_to_unreachable)
            continue;
        backend::load_report unreachable;
        unreachable.state = backend::server_state::unreachable;
        digests.push_back(condense(targets[i]->first, reports[i].value_or(unreachable)));
        observe_load(target.server, digests.back());
        digests.back().sequence = wall_clock_milliseconds();
    }
}

void load_collector::distribute(std::vector<inner_protocol::load_digest> const& digests)
{
    auto const own = m_agent.self().node_id;
    std::map<std::string, std::vector<inner_protocol::load_digest>> by_user;
    for (auto const& digest : digests)
        for (auto const& user : m_observed.at(digest.server_id).users)
        {
            if (user == own)
                m_state.set_load(digest);
            else
                by_user[user].push_back(digest);
        }
    for (auto const& [user, sent] : by_user)
        m_agent.send_loads(user, sent);
}

} // namespace jasminepier::control
