#include "services/node/peer_link.hpp"

#include "base/log.hpp"
#include "inner_protocol/conversion.hpp"
#include "services/node/load_messages.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/object_updates.hpp"
#include "services/node/rollout_reports.hpp"
#include "services/node/stream_origin_messages.hpp"
#include "services/node/waiting_messages.hpp"
#include "store/object_version.hpp"

#include <algorithm>
#include <thread>

namespace jasminepier::node
{
namespace
{

constexpr base::milliseconds receive_timeout{1000};
constexpr std::size_t maximum_crashes_per_report = 12;
// Crashes that are news for which loads are left out of a report.
constexpr std::size_t reserved_crashes_per_report = 4;
// Expected size of a crash together with an answered part and a tried one, which is rare. Longer
// names leave out the last ones.
constexpr std::size_t bytes_per_crash = 60;
// Sums over a zone take more bytes, and the summary also holds addresses.
constexpr std::size_t maximum_loads_per_summary = 30;
constexpr std::size_t maximum_origins_per_summary_part = 40;
// Streams that a zone begins within the summary's period; more of them are left out.
constexpr std::size_t maximum_origins_per_summary = 400;

/// Returns the origins of the zone's latest streams, unless other nodes can tell them without.
std::vector<serving::stream_origin> summarize_stream_origins(node_state::tables& tables,
                                                             base::time_point now)
{
    auto const& histories = tables.dispatcher.version_histories();
    bool const is_needed = std::any_of(
        histories.begin(), histories.end(),
        [&](auto const& item) { return !tables.dispatcher.find_only_version(item.first, now); });
    return is_needed ? tables.stream_origins.summarize(maximum_origins_per_summary, now)
                     : std::vector<serving::stream_origin>{};
}

/// Forgets the streams that can no longer be taken up.
void expire_stream_origins(node_state::tables& tables, base::time_point now)
{
    tables.dispatcher.observe_versions(now);
    auto window = serving::service_version_history::minimum_window;
    for (auto const& [service, history] : tables.dispatcher.version_histories())
        window = std::max(window, history.window());
    tables.stream_origins.expire(window, now);
}

void log_departures(std::span<serving::dispatcher::reported_departure const> departures,
                    inner_protocol::node_report const& report)
{
    for (auto const& departure : departures)
    {
        bool const applied = departure.effect == serving::notice_effect::applied;
        observe_event("reported_departure", applied ? "applied" : "outdated");
        // Outdated notices come with each report and change nothing.
        base::log_line(applied ? base::log_level::info : base::log_level::debug,
                       "server_reported_leaving")
            .field("server", departure.server)
            .field("node", report.node)
            .field("applied", applied ? 1 : 0)
            .field("revision", store::format_version(departure.notice.revision))
            .field("started", departure.notice.started_unix_milliseconds)
            .field("announced", departure.notice.announced ? 1 : 0);
    }
}

} // namespace

serving::node_state_report read_state_report(inner_protocol::node_report const& report)
{
    serving::node_state_report state;
    auto const colon = report.caller_address.rfind(':');
    state.entry = {report.node, report.zone, report.caller_address,
                   report.caller_address.substr(0, colon),
                   static_cast<std::uint16_t>(report.peer_port)};
    state.started = report.started;
    state.sequence = report.sequence;
    state.store_reached = report.store_reached;
    state.follows_store = report.follows_store;
    state.store_revision = report.store_revision;
    state.server_digest = static_cast<std::uint64_t>(report.server_digest);
    if (report.__isset.server_revision)
        state.server_revision = report.server_revision;
    state.phase = report.stopping ? serving::node_phase::shutting_down
                  : report.ready  ? serving::node_phase::ready
                                  : serving::node_phase::starting;
    state.configuration_revision = report.__isset.newest_configuration
                                       ? report.newest_configuration
                                       : report.configuration_revision;
    if (report.__isset.newest_evacuation)
        state.evacuation_revision = report.newest_evacuation;
    if (report.__isset.evacuation_digest)
        state.evacuation_digest = static_cast<std::uint64_t>(report.evacuation_digest);
    return state;
}

peer_link::peer_link(node_state& state)
    : m_state(state), m_socket(state.settings()->host, state.settings()->peer_port)
{
    std::thread([this] { receive_loop(); }).detach();
    std::thread([this] { send_loop(); }).detach();
}

inner_protocol::node_report peer_link::make_report(node_state::tables& tables)
{
    inner_protocol::node_report report;
    auto const& self = tables.nodes.self();
    report.node = self.name;
    report.zone = self.zone;
    report.caller_address = self.caller_address;
    report.peer_port = self.peer_port;
    report.ready = tables.nodes.phase() == serving::node_phase::ready;
    report.stopping = tables.nodes.phase() == serving::node_phase::shutting_down;
    serving::node_state_report copies;
    serving::describe_objects(tables.catch_up.kinds(), tables.objects, copies);
    report.store_revision = copies.store_revision;
    report.configuration_revision =
        std::max(copies.configuration_revision, *copies.evacuation_revision);
    report.__set_newest_configuration(copies.configuration_revision);
    report.__set_newest_evacuation(*copies.evacuation_revision);
    report.__set_evacuation_digest(static_cast<std::int64_t>(*copies.evacuation_digest));
    report.server_digest = static_cast<std::int64_t>(copies.server_digest);
    report.__set_server_revision(*copies.server_revision);
    report.store_reached = tables.configuration && !tables.store_call_failed;
    report.follows_store = tables.follows_store || tables.store_call_failed;
    report.started = m_state.started_unix_milliseconds();
    report.sequence = ++m_sequence;
    return report;
}

void peer_link::send_report(std::span<store::object const> changes)
{
    auto const now = base::steady_clock_source{}.now();
    inner_protocol::node_report report;
    std::vector<serving::node_entry> peers;
    std::vector<serving::node_entry> relays;
    m_state.with(
        [&](node_state::tables& tables)
        {
            report = make_report(tables);
            // Changes and loads together could exceed a datagram.
            if (changes.empty())
            {
                report.uses =
                    to_messages(tables.dispatcher.local_loads(now), report.server_revision);
                add_rollouts(report, tables.dispatcher.rollouts(), false, m_rollout_position, now);
                add_waiting_work(tables.dispatcher.waiting().local_reports(now), report);
            }
            peers = tables.nodes.report_recipients();
            // Each zone also has followers of its own; this covers their failure.
            if (!changes.empty())
                relays = tables.nodes.pick_relays(tables.random);
        });
    if (changes.empty() && add_crashes(report))
        relays = m_state.with(
            [](node_state::tables& tables)
            {
                return tables.nodes.is_large_fleet() ? tables.nodes.pick_relays(tables.random)
                                                     : std::vector<serving::node_entry>{};
            });
    if (changes.empty())
        add_stream_origins(report);
    for (auto const& object : changes)
        report.news.push_back(inner_protocol::to_thrift(object));
    auto const bytes = inner_protocol::encode_node_report(report);
    for (auto const& peer : peers)
        m_socket.send_bytes(peer.peer_host, peer.peer_port, bytes);
    if (relays.empty())
        return;
    report.relay = true;
    auto const relayed_bytes = inner_protocol::encode_node_report(report);
    for (auto const& relay_node : relays)
        m_socket.send_bytes(relay_node.peer_host, relay_node.peer_port, relayed_bytes);
}

bool peer_link::add_crashes(inner_protocol::node_report& report)
{
    auto const reserved_crashes =
        std::min(m_state.poison_requests().count_news(), reserved_crashes_per_report);
    if (inner_protocol::drop_loads_to_fit(report, reserved_crashes * bytes_per_crash) > 0)
        observe_event("peer_report", "loads_left_out");
    auto const used = inner_protocol::encode_node_report(report).size();
    auto const room = inner_protocol::maximum_datagram_bytes -
                      std::min(used, inner_protocol::maximum_datagram_bytes);
    auto const limit = std::min(room / bytes_per_crash, maximum_crashes_per_report);
    auto const now = base::steady_clock_source{}.now();
    auto const known = m_state.poison_requests().take_report(limit, now);
    for (auto const& event : known.crashes)
    {
        inner_protocol::crash_record record;
        record.fingerprint = static_cast<std::int64_t>(event.fingerprint);
        record.server_id = event.server;
        record.instance = event.instance;
        record.age_seconds = static_cast<std::int32_t>(event.age_seconds);
        if (event.age_milliseconds)
            record.__set_age_milliseconds(static_cast<std::int32_t>(*event.age_milliseconds));
        report.crashes.push_back(record);
    }
    for (auto const& answered : known.answered_parts)
    {
        inner_protocol::answered_part record;
        record.part = static_cast<std::int64_t>(answered.part);
        record.age_milliseconds = static_cast<std::int32_t>(answered.age_milliseconds);
        report.answered_parts.push_back(record);
        report.__isset.answered_parts = true;
    }
    for (auto const& tried : known.tried_parts)
    {
        inner_protocol::tried_part record;
        record.part = static_cast<std::int64_t>(tried.part);
        record.age_milliseconds = static_cast<std::int32_t>(tried.age_milliseconds);
        report.tried_parts.push_back(record);
        report.__isset.tried_parts = true;
    }
    inner_protocol::drop_loads_to_fit(report, 0);
    while (!report.crashes.empty() && inner_protocol::encode_node_report(report).size() >
                                          inner_protocol::maximum_datagram_bytes)
        report.crashes.pop_back();
    if (known.has_more_news)
        m_state.report_due().signal();
    return known.has_news;
}

void peer_link::add_stream_origins(inner_protocol::node_report& report)
{
    auto const used = inner_protocol::encode_node_report(report).size();
    auto const room = inner_protocol::maximum_datagram_bytes -
                      std::min(used, inner_protocol::maximum_datagram_bytes);
    auto const now = base::steady_clock_source{}.now();
    auto const origins = m_state.with(
        [&](node_state::tables& tables)
        {
            return tables.stream_origins.take_report(
                room / bytes_per_stream_origin, [&](std::string const& service)
                { return !tables.dispatcher.find_only_version(service, now); });
        });
    node::add_stream_origins(origins, report);
}

void peer_link::send_zone_summary()
{
    auto const now = base::steady_clock_source{}.now();
    std::vector<inner_protocol::node_report> parts;
    std::vector<serving::node_entry> recipients;
    m_state.with(
        [&](node_state::tables& tables)
        {
            if (!tables.nodes.reports_zone(now))
                return;
            recipients = tables.nodes.pick_relays(tables.random);
            auto const shared_origins = summarize_stream_origins(tables, now);
            auto const summary = tables.nodes.summarize_zone(tables.random, now);
            auto const loads = tables.dispatcher.zone_loads(now);
            auto const part_count = std::max<std::size_t>(
                1, (loads.size() + maximum_loads_per_summary - 1) / maximum_loads_per_summary);
            for (std::size_t i = 0; i < part_count; ++i)
            {
                auto part = make_report(tables);
                part.summary_part = static_cast<std::int32_t>(i);
                part.summary_parts = static_cast<std::int32_t>(part_count);
                part.zone_nodes = static_cast<std::int32_t>(summary.live_nodes);
                part.zone_addresses = summary.caller_addresses;
                part.relay = true;
                auto const begin = i * maximum_loads_per_summary;
                auto const end = std::min(begin + maximum_loads_per_summary, loads.size());
                for (auto k = begin; k < end; ++k)
                    part.uses.push_back(to_message(loads[k], part.server_revision));
                if (i == 0)
                    add_waiting_work(tables.dispatcher.waiting().zone_reports(now), part);
                parts.push_back(std::move(part));
            }
            // Parts of their own, so that no loads are lost to make room.
            auto const add_part = [&]() -> inner_protocol::node_report&
            {
                auto part = make_report(tables);
                part.zone_nodes = parts.back().zone_nodes;
                part.zone_addresses = parts.back().zone_addresses;
                part.relay = true;
                part.summary_part = static_cast<std::int32_t>(parts.size());
                return parts.emplace_back(std::move(part));
            };
            inner_protocol::node_report entries;
            if (add_rollouts(entries, tables.dispatcher.rollouts(), true, m_zone_rollout_position,
                             now))
                add_part().__set_versions(entries.versions);
            std::span<serving::stream_origin const> origins = shared_origins;
            while (!origins.empty())
            {
                auto const count = std::min(origins.size(), maximum_origins_per_summary_part);
                node::add_stream_origins(origins.first(count), add_part());
                origins = origins.subspan(count);
            }
            for (auto& each : parts)
                each.summary_parts = static_cast<std::int32_t>(parts.size());
        });
    if (!parts.empty())
        add_crashes(parts.back());
    for (auto& part : parts)
    {
        inner_protocol::drop_loads_to_fit(part, 0);
        auto const bytes = inner_protocol::encode_node_report(part);
        for (auto const& recipient : recipients)
            m_socket.send_bytes(recipient.peer_host, recipient.peer_port, bytes);
    }
}

void peer_link::relay(inner_protocol::node_report report)
{
    report.relay = false;
    auto const bytes = inner_protocol::encode_node_report(report);
    auto const recipients =
        m_state.with([](node_state::tables& tables) { return tables.nodes.report_recipients(); });
    for (auto const& recipient : recipients)
        m_socket.send_bytes(recipient.peer_host, recipient.peer_port, bytes);
}

void peer_link::publish_changes(std::span<store::object const> changes)
{
    // The entry of a server takes about 300 bytes, and a datagram holds 1,200.
    constexpr std::size_t objects_per_datagram = 2;
    while (!changes.empty())
    {
        auto const count = std::min(objects_per_datagram, changes.size());
        send_report(changes.first(count));
        changes = changes.subspan(count);
    }
}

void peer_link::send_loop()
{
    http::wait_set poll_set;
    base::time_point next_summary{};
    while (true)
    {
        send_report({});
        if (base::steady_clock_source{}.now() >= next_summary)
        {
            next_summary =
                base::steady_clock_source{}.now() + serving::node_directory::summary_interval;
            send_zone_summary();
        }
        auto const now = base::steady_clock_source{}.now();
        base::milliseconds minimum_gap{0};
        auto const interval = m_state.with(
            [&](node_state::tables& tables)
            {
                for (auto const& node : tables.nodes.expire(now))
                    tables.dispatcher.remove_peer(node.zone, node.name);
                tables.dispatcher.set_fleet_view({tables.nodes.live_node_names(now),
                                                  tables.nodes.fleet_size(now),
                                                  tables.nodes.is_large_fleet()});
                if (tables.dispatcher.expire(now))
                    tables.dispatcher.notify_leaving();
                expire_stream_origins(tables, now);
                minimum_gap = tables.nodes.minimum_report_gap();
                bool const often = tables.nodes.is_large_fleet() && tables.follows_store;
                return often ? serving::node_directory::follower_report_interval
                             : tables.nodes.report_interval();
            });
        std::this_thread::sleep_for(minimum_gap);
        poll_set.clear();
        poll_set.add(m_state.report_due().descriptor(), POLLIN);
        poll_set.wait(now + interval);
        m_state.report_due().clear();
    }
}

void peer_link::receive_loop()
{
    while (true)
    {
        auto const received = m_socket.receive_bytes(receive_timeout);
        if (!received)
            continue;
        base::handle(
            [&]() -> base::result<void>
            {
                BOOST_LEAF_AUTO(report, inner_protocol::decode_node_report(*received));
                apply_report(report);
                return {};
            },
            [](base::error const& failure)
            {
                observe_event("peer_report", "malformed");
                base::log_line(base::log_level::debug, "peer_report_malformed")
                    .field("reason", failure.message);
            });
    }
}

void peer_link::learn_store_state(node_state::tables& tables, base::time_point now)
{
    // A node that watches the store itself knows better.
    if (tables.follows_store || tables.store_call_failed)
        return;
    auto& directory = tables.dispatcher.directory();
    auto const reached = tables.nodes.followers_reach_store(now);
    if (!reached || *reached == !directory.store_lost())
        return;
    if (*reached)
        directory.handle_store_reached(now);
    else
        directory.handle_store_lost(now);
    observe_event("store", *reached ? "regained" : "lost");
    base::log_line(*reached ? base::log_level::info : base::log_level::warning,
                   *reached ? "store_regained" : "store_lost")
        .field("reason", "followers");
}

void peer_link::apply_report(inner_protocol::node_report const& report)
{
    auto const now = base::steady_clock_source{}.now();
    auto const peer_state = read_state_report(report);
    std::vector<serving::server_load> loads;
    for (auto const& use : report.uses)
        loads.push_back(from_message(use, report.server_revision));
    auto const waiting = read_waiting_work(report);
    auto const origins = read_stream_origins(report);
    bool is_new = false;
    std::vector<serving::dispatcher::reported_departure> departures;
    m_state.with(
        [&](node_state::tables& tables)
        {
            bool const is_summary = report.summary_parts > 0;
            // They never change, so late reports are as good as others.
            tables.stream_origins.merge(
                origins, !tables.nodes.is_large_fleet() || report.zone == tables.nodes.self().zone,
                now);
            is_new = tables.nodes.apply_report(peer_state, now);
            if (is_new && report.follows_store)
                learn_store_state(tables, now);
            if (!is_new || !report.news.empty())
                return;
            bool const same_zone = report.zone == tables.nodes.self().zone;
            if (!(is_summary && same_zone) &&
                (is_summary || same_zone || !tables.nodes.is_large_fleet()))
                apply_rollouts(report, tables.dispatcher.rollouts(), now);
            if (is_summary && !same_zone)
            {
                tables.nodes.apply_zone_summary(
                    report.zone,
                    {static_cast<std::size_t>(report.zone_nodes), report.zone_addresses}, now);
                departures = tables.dispatcher.merge_zone_summary(
                    report.zone, {report.summary_part, report.summary_parts}, loads, now,
                    peer_state.server_revision);
                if (report.summary_part == 0)
                    tables.dispatcher.waiting().merge({report.zone, ""}, waiting, now);
            }
            // The summary of a node's zone already contains its loads.
            if (!is_summary && (same_zone || !tables.nodes.is_large_fleet()))
            {
                departures = tables.dispatcher.merge_peer({report.zone, report.node}, loads, now,
                                                          peer_state.server_revision);
                tables.dispatcher.waiting().merge({report.zone, report.node}, waiting, now);
            }
            // The peer may have reported that a server is leaving or that its own generations have
            // left that server.
            tables.dispatcher.notify_leaving();
        });
    log_departures(departures, report);
    if (is_new && report.relay)
        relay(report);
    for (auto const& object : inner_protocol::from_thrift(report.news))
    {
        store::object_page page;
        page.version = object.version;
        page.objects.push_back(object);
        apply_changes(m_state, object.kind, page);
    }
    std::vector<decision::crash_event> crashes;
    for (auto const& record : report.crashes)
        crashes.push_back({static_cast<std::uint64_t>(record.fingerprint), record.server_id,
                           record.instance, record.age_seconds,
                           record.__isset.age_milliseconds
                               ? std::optional<std::int64_t>(record.age_milliseconds)
                               : std::nullopt});
    if (!crashes.empty())
        m_state.poison_requests().merge(crashes, now);
    std::vector<decision::answered_part> answered_parts;
    for (auto const& record : report.answered_parts)
        answered_parts.push_back(
            {static_cast<std::uint64_t>(record.part), record.age_milliseconds});
    if (!answered_parts.empty())
        m_state.poison_requests().merge_answered(answered_parts, now);
    std::vector<decision::tried_part> tried_parts;
    for (auto const& record : report.tried_parts)
        tried_parts.push_back({static_cast<std::uint64_t>(record.part), record.age_milliseconds});
    if (!tried_parts.empty())
        m_state.poison_requests().merge_tried(tried_parts, now);
}

} // namespace jasminepier::node
