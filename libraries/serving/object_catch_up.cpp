#include "serving/object_catch_up.hpp"

#include <utility>

namespace jasminepier::serving
{
namespace
{

// Servers announce their removal 1.5 to 2 s ahead, so changes are still useful half a second late.
constexpr int checks_per_comparison = 2;
// Published changes take a moment to arrive.
constexpr base::milliseconds object_grace_period{200};

template <class Peer>
Peer const& pick_peer(std::vector<Peer> const& peers, base::random_source& random)
{
    std::uniform_int_distribution<std::size_t> index(0, peers.size() - 1);
    return peers[index(random)];
}

} // namespace

std::string_view to_string(pull_reason reason) noexcept
{
    switch (reason)
    {
    case pull_reason::configuration:
        return "configuration";
    case pull_reason::evacuations:
        return "evacuations";
    case pull_reason::servers:
        return "servers";
    case pull_reason::store_unreachable:
        return "store_unreachable";
    case pull_reason::other_objects:
        return "other_objects";
    }
    return "unknown";
}

void describe_objects(object_kinds const& kinds, configuration::versioned_store const& objects,
                      node_state_report& report)
{
    report.store_revision = objects.revision();
    report.configuration_revision = objects.kind_revision(kinds.configuration);
    report.evacuation_revision = objects.kind_revision(kinds.evacuations);
    report.evacuation_digest = objects.digest(kinds.evacuations);
    report.server_revision = objects.kind_revision(kinds.servers);
    report.server_digest = objects.digest(kinds.servers);
}

std::vector<store::object> select_pulled_objects(object_kinds const& kinds,
                                                 configuration::versioned_store const& objects,
                                                 std::int64_t since,
                                                 std::int64_t held_configuration)
{
    auto selected = objects.objects_newer_than(since);
    std::erase_if(
        selected, [&](store::object const& object)
        { return object.kind == kinds.configuration && object.version <= held_configuration; });
    return selected;
}

void object_catch_up::update(catch_up_view const& view, base::time_point now)
{
    auto const& reported = view.nodes.newest_reported();
    std::pair<std::string const*, std::int64_t> const known[] = {
        {&m_kinds.configuration, reported.configuration},
        {&m_kinds.evacuations, reported.evacuations},
        {&m_kinds.servers, reported.servers}};
    for (auto const& [kind, revision] : known)
    {
        auto& state = *find_kind(*kind);
        state.lag.update(
            std::max(view.objects.kind_revision(*kind), view.objects.complete_revision(*kind)),
            revision, now);
        auto const pause =
            *kind == m_kinds.configuration ? failed_peer_pause : exhausted_peer_pause;
        std::erase_if(state.exhausted_peers,
                      [&](auto const& peer) { return now >= peer.second.time + pause; });
    }
    std::erase_if(m_failed_peers,
                  [&](auto const& peer) { return now >= peer.second + failed_peer_pause; });
}

std::set<std::string, std::less<>> object_catch_up::peers_to_avoid(kind_state const& state) const
{
    std::set<std::string, std::less<>> names;
    for (auto const& [name, time] : m_failed_peers)
        names.insert(name);
    for (auto const& [name, pull] : state.exhausted_peers)
        names.insert(name);
    return names;
}

std::optional<object_pull> object_catch_up::plan_configuration_pull(catch_up_view const& view,
                                                                    base::time_point now,
                                                                    base::random_source& random)
{
    auto const revision = view.objects.kind_revision(m_kinds.configuration);
    auto const avoided = peers_to_avoid(m_configuration);
    auto newer_peers = view.nodes.peers_with_newer_configuration(
        revision, now, m_configuration.lag.checked(), avoided);
    bool const behind = !newer_peers.empty();
    auto const source =
        view.nodes.configuration_source(m_kinds.servers, std::move(newer_peers),
                                        m_configuration_pulls.use_any_peer(), now, random, avoided);
    m_configuration_pulls.record_check(behind, source.has_value());
    if (!source)
        return std::nullopt;
    return object_pull{*source, pull_start_revision(view.objects.revision(), revision),
                       pull_reason::configuration, view.objects.digest(m_kinds.configuration)};
}

std::optional<object_pull> object_catch_up::plan_compared_pull(compared_kind kind,
                                                               catch_up_view const& view,
                                                               base::time_point now,
                                                               base::random_source& random)
{
    bool const is_server = kind == compared_kind::servers;
    auto const& name = is_server ? m_kinds.servers : m_kinds.evacuations;
    auto& state = *find_kind(name);
    auto const revision = view.objects.kind_revision(name);
    auto const complete = view.objects.complete_revision(name);
    // A node that has read all objects up to a revision has missed none of them.
    if (complete >= state.lag.known() && complete >= revision)
        return std::nullopt;
    auto const behind_since = state.lag.behind_since();
    if (behind_since && now < *behind_since + object_grace_period)
        return std::nullopt;
    auto const digest = view.objects.digest(name);
    auto peers = view.nodes.peers_with_other_copies(kind, revision, digest, now);
    if (behind_since || peers.empty())
        state.differs_since.reset();
    else if (!state.differs_since)
        state.differs_since = now;
    // Most pulls bring a recent change, so the changes of servers of some time ago are left out. A
    // node with another evacuation of the same age may have missed one long ago.
    bool const is_complete =
        !behind_since &&
        (!is_server || (state.differs_since && now >= *state.differs_since + complete_pull_delay));
    std::erase_if(peers,
                  [&](peer_copies const& copies)
                  {
                      auto const found = state.exhausted_peers.find(copies.peer.name);
                      bool const is_exhausted = found != state.exhausted_peers.end() &&
                                                found->second.peer_digest == copies.digest &&
                                                (found->second.is_complete || !is_complete);
                      return is_exhausted || m_failed_peers.contains(copies.peer.name);
                  });
    if (peers.empty())
        return std::nullopt;
    auto const& chosen = pick_peer(peers, random);
    state.lag.record_asked_peer(chosen.peer.name);
    auto const since = is_complete ? std::min(complete, revision)
                                   : pull_start_revision(view.objects.revision(), revision);
    return object_pull{
        chosen.peer, since,         is_server ? pull_reason::servers : pull_reason::evacuations,
        digest,      chosen.digest, is_complete};
}

std::optional<object_pull> object_catch_up::plan_other_pull(catch_up_view const& view,
                                                            base::time_point now,
                                                            base::random_source& random)
{
    auto const revision = view.objects.revision();
    auto const since =
        pull_start_revision(revision, view.objects.kind_revision(m_kinds.configuration));
    bool const is_large_fleet = view.nodes.is_large_fleet();
    auto const other_servers = is_large_fleet && !view.follows_store
                                   ? view.nodes.follower_with_different_servers(
                                         m_kinds.servers, view.objects.digest(m_kinds.servers), now)
                                   : std::nullopt;
    bool const needs_peers = !view.has_configuration || view.store_call_failed;
    auto up_to_date_peers = needs_peers ? std::vector<node_entry>{}
                                        : view.nodes.peers_with_newer_objects(revision, now);
    if (up_to_date_peers.empty() && other_servers)
        up_to_date_peers.push_back(*other_servers);
    // Published changes take a moment to arrive, so only act if this node is behind twice in a row.
    bool const persistently_behind = !up_to_date_peers.empty() && m_was_behind;
    m_was_behind = !up_to_date_peers.empty();
    if (persistently_behind)
        return object_pull{pick_peer(up_to_date_peers, random), since, pull_reason::other_objects};
    if (!needs_peers)
        return std::nullopt;
    auto const peers = view.nodes.peers_reaching_store(now);
    if (peers.empty())
        return std::nullopt;
    return object_pull{pick_peer(peers, random), view.has_configuration ? revision : 0,
                       pull_reason::store_unreachable};
}

std::optional<object_pull> object_catch_up::plan_pull(catch_up_view const& view,
                                                      base::time_point now,
                                                      base::random_source& random)
{
    update(view, now);
    auto pull = choose_pull(view, now, random);
    if (pull)
        pull->held_configuration = view.objects.kind_revision(m_kinds.configuration);
    return pull;
}

std::optional<object_pull> object_catch_up::choose_pull(catch_up_view const& view,
                                                        base::time_point now,
                                                        base::random_source& random)
{
    if (auto pull = plan_configuration_pull(view, now, random))
    {
        m_configuration.lag.record_asked_peer(pull->peer.name);
        return pull;
    }
    bool const check_objects = m_check_count++ % checks_per_comparison == 0;
    if (!check_objects)
        return std::nullopt;
    for (auto const kind : {compared_kind::evacuations, compared_kind::servers})
        if (auto pull = plan_compared_pull(kind, view, now, random))
            return pull;
    return plan_other_pull(view, now, random);
}

void object_catch_up::record_pull(object_pull const& pull, bool succeeded,
                                  catch_up_view const& view, base::time_point now)
{
    update(view, now);
    if (!succeeded)
        m_configuration_pulls.record_failed_pull();
    if (!succeeded)
    {
        m_failed_peers[pull.peer.name] = now;
        return;
    }
    m_failed_peers.erase(pull.peer.name);
    auto const* const kind = pull.reason == pull_reason::configuration ? &m_kinds.configuration
                             : pull.reason == pull_reason::evacuations ? &m_kinds.evacuations
                             : pull.reason == pull_reason::servers     ? &m_kinds.servers
                                                                       : nullptr;
    // If a pull changes nothing, the other node has missed the change, not this one.
    if (kind != nullptr && view.objects.digest(*kind) == pull.held_digest)
        find_kind(*kind)->exhausted_peers[pull.peer.name] = {pull.peer_digest, pull.is_complete,
                                                             now};
}

object_catch_up::kind_state* object_catch_up::find_kind(std::string const& kind)
{
    if (kind == m_kinds.configuration)
        return &m_configuration;
    if (kind == m_kinds.servers)
        return &m_servers;
    return kind == m_kinds.evacuations ? &m_evacuations : nullptr;
}

object_catch_up::kind_state const* object_catch_up::find_kind(std::string const& kind) const
{
    if (kind == m_kinds.configuration)
        return &m_configuration;
    if (kind == m_kinds.servers)
        return &m_servers;
    return kind == m_kinds.evacuations ? &m_evacuations : nullptr;
}

bool object_catch_up::should_call_store(std::string const& kind, catch_up_view const& view,
                                        base::time_point now) const
{
    // A node that lost the store keeps trying to reach it, with the smallest list.
    bool const retries = view.store_call_failed && kind == m_kinds.evacuations;
    return view.follows_store || retries || store_read_due(kind, now);
}

bool object_catch_up::store_read_due(std::string const& kind, base::time_point now) const
{
    auto const* const state = find_kind(kind);
    return state != nullptr && state->lag.store_read_due(now);
}

void object_catch_up::record_store_read_start(std::string const& kind, base::time_point now)
{
    if (auto* const state = find_kind(kind))
        state->lag.record_store_read_start(now);
}

void object_catch_up::record_store_read_success(std::string const& kind)
{
    if (auto* const state = find_kind(kind))
        state->lag.record_store_read_success();
}

std::vector<lag_event> object_catch_up::take_lag_events(base::time_point now)
{
    std::vector<lag_event> events;
    for (auto const* const kind : {&m_kinds.configuration, &m_kinds.evacuations, &m_kinds.servers})
    {
        auto& state = *find_kind(*kind);
        auto const since = state.lag.behind_since();
        auto const elapsed = [&](base::time_point start)
        { return std::chrono::duration_cast<base::milliseconds>(now - start); };
        if (since && state.logged)
            state.logged->asked_peers = state.lag.asked_peers();
        if (since && !state.logged && now >= *since + log_delay)
        {
            state.logged = lag_event{*kind,
                                     true,
                                     state.lag.held(),
                                     state.lag.known(),
                                     elapsed(*since),
                                     state.lag.asked_peers()};
            state.logged_since = *since;
            events.push_back(*state.logged);
        }
        else if (!since && state.logged)
        {
            auto event = *std::exchange(state.logged, std::nullopt);
            event.is_behind = false;
            event.held = state.lag.held();
            event.known = state.lag.known();
            event.duration = elapsed(state.logged_since);
            events.push_back(std::move(event));
        }
    }
    return events;
}

} // namespace jasminepier::serving
