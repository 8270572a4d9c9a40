#include "tests/support/virtual_serving_fleet.hpp"

#include <algorithm>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds follower_check_interval{100};
constexpr milliseconds call_timeout{1500};
constexpr milliseconds watch_margin{500};
constexpr milliseconds cancellation_check_interval{400};
constexpr milliseconds maximum_backoff{800};
constexpr std::size_t objects_per_datagram = 2;

/// Turns a report into what a node of the earlier version writes or reads.
void use_one_revision(serving::node_state_report& state)
{
    state.configuration_revision =
        std::max(state.configuration_revision, state.evacuation_revision.value_or(0));
    state.evacuation_revision.reset();
    state.evacuation_digest.reset();
    state.server_revision.reset();
}

} // namespace

virtual_serving_fleet::member::member(serving::node_entry entry, serving::object_kinds const& names)
    : directory(std::move(entry)), catch_up(names)
{
    store_threads[0].kind = names.configuration;
    store_threads[1].kind = names.evacuations;
    store_threads[2].kind = names.servers;
}

virtual_serving_fleet::virtual_serving_fleet(int nodes, int zones, network_settings settings,
                                             std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_zones(zones)
{
    write(kinds.configuration, "main", false);
    std::vector<serving::node_entry> entries;
    entries.reserve(static_cast<std::size_t>(nodes));
    for (int i = 0; i < nodes; ++i)
        entries.push_back(make_entry(i));
    m_nodes.reserve(entries.size());
    for (auto const& entry : entries)
    {
        auto& added = m_nodes.emplace_back(entry, kinds);
        added.random.seed(m_random());
        added.directory.apply_listed(entries, m_now);
        added.directory.set_phase(serving::node_phase::ready);
        auto const start = m_now + random_time(0, 500);
        added.next_check = added.next_report = added.next_summary = start;
        for (auto& thread : added.store_threads)
            thread.next = start;
    }
}

serving::node_entry virtual_serving_fleet::make_entry(int number) const
{
    auto const name = "n" + std::to_string(number);
    return {name, "z" + std::to_string(number % m_zones), name + ":8740", name, 7200};
}

int virtual_serving_fleet::number_of(std::string const& name) const
{
    return std::stoi(name.substr(1));
}

milliseconds virtual_serving_fleet::random_time(int minimum, int maximum)
{
    return milliseconds(std::uniform_int_distribution<int>(minimum, maximum)(m_random));
}

std::int64_t virtual_serving_fleet::write(std::string const& kind, std::string const& name,
                                          bool deleted)
{
    m_store[{kind, name}] = {kind, name, ++m_revision, "", deleted};
    return m_revision;
}

void virtual_serving_fleet::write_tracked(std::string const& kind, std::string const& name,
                                          bool deleted)
{
    m_changes.push_back({kind, name, write(kind, name, deleted), m_now});
    for (auto& each : m_nodes)
        each.arrivals.emplace_back();
}

void virtual_serving_fleet::change_configuration()
{
    write_tracked(kinds.configuration, "main", false);
}

void virtual_serving_fleet::change_evacuation(std::string const& zone, bool removed)
{
    write(kinds.evacuations, zone, removed);
}

void virtual_serving_fleet::change_server(int server, bool removed)
{
    write_tracked(kinds.servers, "s" + std::to_string(server), removed);
}

void virtual_serving_fleet::set_store_access(int number, store_access access)
{
    auto& changed = m_nodes.at(index(number));
    changed.access = access;
    if (access == store_access::silent)
        for (auto& thread : changed.store_threads)
            thread.lost = thread.started;
    if (access != store_access::reset || changed.killed)
        return;
    for (auto& thread : changed.store_threads)
        if (thread.current != store_thread::activity::waiting)
            fail_store_call(number, thread);
}

std::vector<milliseconds> virtual_serving_fleet::ages(std::string const& kind) const
{
    std::vector<milliseconds> ages;
    for (auto const& each : m_nodes)
    {
        if (each.ignored || each.killed)
            continue;
        for (std::size_t i = 0; i < m_changes.size(); ++i)
        {
            if (m_changes[i].kind != kind)
                continue;
            auto const begin = std::max(m_changes[i].time, each.in_touch_since);
            ages.push_back(each.arrivals[i]
                               ? std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                                               *each.arrivals[i] - begin))
                               : milliseconds::max());
        }
    }
    std::sort(ages.begin(), ages.end());
    return ages;
}

bool virtual_serving_fleet::copies_agree(std::string const& kind) const
{
    configuration::versioned_store stored;
    for (auto const& [key, object] : m_store)
        stored.merge({&object, 1});
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [&](member const& each)
                       { return each.killed || each.objects.digest(kind) == stored.digest(kind); });
}

void virtual_serving_fleet::run(milliseconds duration)
{
    auto const end = m_now + duration;
    while (m_now < end)
    {
        m_now += step_length;
        deliver_datagrams();
        move_bytes();
        for (int i = 0; i < size(); ++i)
        {
            if (!m_nodes[index(i)].runs())
                continue;
            for (auto& thread : m_nodes[index(i)].store_threads)
                step_store(i, thread);
            step_pulls(i);
            step_reports(i);
        }
    }
}

void virtual_serving_fleet::send(int from, std::vector<serving::node_entry> const& recipients,
                                 report_datagram const& datagram)
{
    auto const shared = std::make_shared<report_datagram const>(datagram);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (auto const& recipient : recipients)
    {
        int const to = number_of(recipient.name);
        if ((m_blocked_links && m_blocked_links(from, to)) || uniform(m_random) < m_settings.loss)
            continue;
        int const copies = uniform(m_random) < m_settings.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            m_deliveries.push(
                {m_now + random_time(static_cast<int>(m_settings.minimum_delay.count()),
                                     static_cast<int>(m_settings.maximum_delay.count())),
                 ++m_delivery_count, to, shared});
    }
}

void virtual_serving_fleet::deliver_datagrams()
{
    while (!m_deliveries.empty() && m_deliveries.top().arrival <= m_now)
    {
        auto const next = m_deliveries.top();
        m_deliveries.pop();
        auto& target = m_nodes[index(next.to)];
        if (!target.runs())
            continue;
        auto const& datagram = *next.datagram;
        auto state = datagram.state;
        if (target.earlier_version)
            use_one_revision(state);
        bool const is_new = target.directory.apply_report(state, m_now);
        if (is_new && datagram.summary)
            target.directory.apply_zone_summary(datagram.state.entry.zone, *datagram.summary,
                                                m_now);
        if (is_new && datagram.relay)
        {
            auto relayed = datagram;
            relayed.relay = false;
            send(next.to, target.directory.report_recipients(), relayed);
        }
        apply(next.to, datagram.news);
    }
}

void virtual_serving_fleet::apply(int number, std::span<store::object const> objects)
{
    auto& target = m_nodes[index(number)];
    for (auto const& object : objects)
    {
        if (!target.objects.merge({&object, 1}))
            continue;
        target.report_due |= object.kind == kinds.configuration;
        for (std::size_t i = 0; i < m_changes.size(); ++i)
            if (m_changes[i].kind == object.kind && m_changes[i].name == object.name &&
                m_changes[i].revision <= object.version && !target.arrivals[i])
                target.arrivals[i] = m_now;
    }
}

serving::node_state_report virtual_serving_fleet::make_state(member& sender)
{
    serving::node_state_report state;
    state.entry = sender.directory.self();
    state.started = 1;
    state.sequence = ++sender.sequence;
    state.phase = sender.directory.phase();
    state.store_reached =
        sender.objects.kind_revision(kinds.configuration) > 0 && !sender.store_call_failed;
    state.follows_store = sender.follows_store || sender.store_call_failed;
    serving::describe_objects(kinds, sender.objects, state);
    if (sender.earlier_version)
        use_one_revision(state);
    return state;
}

void virtual_serving_fleet::send_report(int number, std::vector<store::object> const& news)
{
    auto& sender = m_nodes[index(number)];
    report_datagram datagram;
    datagram.state = make_state(sender);
    datagram.news = news;
    send(number, sender.directory.report_recipients(), datagram);
    if (news.empty())
        return;
    datagram.relay = true;
    send(number, sender.directory.pick_relays(sender.random), datagram);
}

void virtual_serving_fleet::send_summary(int number)
{
    auto& sender = m_nodes[index(number)];
    if (!sender.directory.reports_zone(m_now))
        return;
    report_datagram datagram;
    datagram.state = make_state(sender);
    datagram.summary = sender.directory.summarize_zone(sender.random, m_now);
    datagram.relay = true;
    send(number, sender.directory.pick_relays(sender.random), datagram);
}

void virtual_serving_fleet::step_reports(int number)
{
    auto& sender = m_nodes[index(number)];
    if (m_now < sender.earliest_report || (m_now < sender.next_report && !sender.report_due))
        return;
    sender.report_due = false;
    send_report(number, {});
    if (m_now >= sender.next_summary)
    {
        sender.next_summary = m_now + serving::node_directory::summary_interval;
        send_summary(number);
    }
    bool const often = sender.directory.is_large_fleet() && sender.follows_store;
    sender.earliest_report = m_now + sender.directory.minimum_report_gap();
    sender.next_report =
        sender.earliest_report + (often ? serving::node_directory::follower_report_interval
                                        : sender.directory.report_interval());
}

void virtual_serving_fleet::step_pulls(int number)
{
    auto& local = m_nodes[index(number)];
    if (local.pull)
    {
        // The connection takes its time, too.
        bool const late = m_link_rate > 0 && m_now >= local.pull->end + pull_timeout;
        bool const arriving = m_link_rate > 0 && local.pull->remaining_bytes > 0;
        if (m_now < local.pull->end || (arriving && !late))
            return;
        auto finished = *std::exchange(local.pull, std::nullopt);
        if (arriving)
        {
            finished.succeeds = false;
            finished.objects.clear();
        }
        m_failed_pulls += finished.succeeds ? 0 : 1;
        apply(number, finished.objects);
        local.catch_up.record_pull(finished.pull, finished.succeeds, local.view(), m_now);
        if (!finished.succeeds)
            local.earlier_pull_policy.record_failed_pull();
        local.next_check = m_now + serving::object_catch_up::check_interval;
    }
    if (m_now < local.next_check)
        return;
    local.next_check = m_now + serving::object_catch_up::check_interval;
    if (auto const pull = local.earlier_version
                              ? plan_pull_of_earlier_version(local)
                              : local.catch_up.plan_pull(local.view(), m_now, local.random))
        start_pull(number, *pull);
}

std::optional<serving::object_pull>
virtual_serving_fleet::plan_pull_of_earlier_version(member& local)
{
    auto const revision = std::max(local.objects.kind_revision(kinds.configuration),
                                   local.objects.kind_revision(kinds.evacuations));
    auto const since = serving::pull_start_revision(local.objects.revision(), revision);
    auto const newer_peers = local.directory.peers_with_newer_configuration(revision, m_now);
    auto const source = local.directory.configuration_source(
        kinds.servers, newer_peers, local.earlier_pull_policy.use_any_peer(), m_now, local.random);
    local.earlier_pull_policy.record_check(!newer_peers.empty(), source.has_value());
    if (source)
        return serving::object_pull{*source, since, serving::pull_reason::configuration};
    auto const peers =
        local.store_call_failed
            ? local.directory.peers_reaching_store(m_now)
            : local.directory.peers_with_newer_objects(local.objects.revision(), m_now);
    if (peers.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> index(0, peers.size() - 1);
    return serving::object_pull{peers[index(local.random)], since,
                                serving::pull_reason::other_objects};
}

void virtual_serving_fleet::start_store_call(int number, store_thread& thread)
{
    auto& local = m_nodes[index(number)];
    ++m_store_calls;
    thread.lost = local.access == store_access::silent;
    if (!thread.version)
    {
        thread.current = store_thread::activity::listing;
        local.catch_up.record_store_read_start(thread.kind, m_now);
        thread.next = m_now + (local.access == store_access::silent  ? call_timeout
                               : local.access == store_access::reset ? milliseconds(10)
                                                                     : random_time(10, 60));
        return;
    }
    thread.current = store_thread::activity::watching;
    auto const timeout = thread.kind == kinds.configuration
                             ? local.directory.configuration_watch_timeout(local.random)
                             : local.directory.watch_timeout(local.random);
    thread.watch_end = m_now + timeout + watch_margin;
    thread.next = local.access == store_access::reset ? m_now : m_now + timeout;
    thread.next_cancellation_check = m_now + cancellation_check_interval;
}

void virtual_serving_fleet::fail_store_call(int number, store_thread& thread)
{
    auto& local = m_nodes[index(number)];
    local.report_due |= !local.store_call_failed;
    local.store_call_failed = true;
    thread.current = store_thread::activity::waiting;
    thread.started = false;
    thread.next = m_now + thread.backoff + random_time(0, 100);
    thread.backoff = std::min(thread.backoff * 2, maximum_backoff);
}

void virtual_serving_fleet::finish_store_call(int number, store_thread& thread)
{
    auto& local = m_nodes[index(number)];
    local.report_due |= local.store_call_failed;
    local.store_call_failed = false;
    thread.backoff = milliseconds(100);
    bool const listed = !thread.version;
    std::vector<store::object> changes;
    std::vector<std::string> names;
    for (auto const& [key, object] : m_store)
        if (object.kind == thread.kind && object.version > thread.version.value_or(0) &&
            !(listed && object.deleted))
            changes.push_back(object);
    if (listed)
        local.objects.for_each(
            [&](store::object const& held)
            {
                auto const found = m_store.find({held.kind, held.name});
                if (held.kind == thread.kind && (found == m_store.end() || found->second.deleted))
                    changes.push_back({held.kind, held.name, m_revision, "", true});
            });
    apply(number, changes);
    thread.version = m_revision;
    thread.was_listed = true;
    local.objects.record_complete(thread.kind, m_revision);
    if (listed)
        local.catch_up.record_store_read_success(thread.kind);
    else if (local.directory.is_large_fleet() && thread.kind != kinds.configuration)
        for (std::size_t i = 0; i < changes.size(); i += objects_per_datagram)
            send_report(number, {changes.begin() + static_cast<std::ptrdiff_t>(i),
                                 changes.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                       i + objects_per_datagram, changes.size()))});
    thread.current = store_thread::activity::waiting;
    thread.started = false;
    thread.next = m_now;
}

void virtual_serving_fleet::step_store(int number, store_thread& thread)
{
    auto& local = m_nodes[index(number)];
    if (thread.current == store_thread::activity::waiting || !thread.started)
    {
        if (m_now < thread.next)
            return;
        if (thread.was_listed)
        {
            local.follows_store =
                local.directory.follows_store(kinds.servers, !local.store_call_failed, m_now);
            if (!local.catch_up.should_call_store(thread.kind, local.view(), m_now))
            {
                thread.waited = true;
                thread.next = m_now + follower_check_interval;
                return;
            }
            if (std::exchange(thread.waited, false))
                thread.version.reset();
        }
        thread.started = true;
        return start_store_call(number, thread);
    }
    if (thread.current == store_thread::activity::listing)
    {
        if (m_now < thread.next)
            return;
        if (thread.lost || local.access != store_access::reachable)
            return fail_store_call(number, thread);
        return receive_response(number, thread);
    }
    if (thread.current == store_thread::activity::receiving)
    {
        if (local.access == store_access::reset)
            return fail_store_call(number, thread);
        if (thread.remaining_bytes <= 0 && !thread.lost)
            finish_store_call(number, thread);
        return;
    }
    if (local.access == store_access::reset || m_now >= thread.watch_end)
        return fail_store_call(number, thread);
    if (m_now >= thread.next_cancellation_check)
    {
        thread.next_cancellation_check = m_now + cancellation_check_interval;
        if (local.catch_up.store_read_due(thread.kind, m_now))
        {
            thread.version.reset();
            return start_store_call(number, thread);
        }
    }
    if (thread.lost)
        return;
    bool const changed = std::any_of(m_store.begin(), m_store.end(),
                                     [&](auto const& item) {
                                         return item.second.kind == thread.kind &&
                                                item.second.version > *thread.version;
                                     });
    if (changed)
        return receive_response(number, thread);
    if (m_now >= thread.next)
        finish_store_call(number, thread);
}

} // namespace jasminepier::tests
