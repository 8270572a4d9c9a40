/// A large fleet whose nodes report within their zone and exchange summaries between zones. No
/// network.
#include "serving/dispatcher.hpp"
#include "serving/node_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr int cold_requests_per_second = 20;

std::shared_ptr<fleet_configuration const> make_configuration()
{
    auto configuration = std::make_shared<fleet_configuration>();
    service engines;
    engines.name = "engines";
    engines.cold_requests_per_second = cold_requests_per_second;
    engines.engine = engine_capabilities{24, 34000, 262144, 38000, true, true};
    configuration->services["engines"] = engines;
    return configuration;
}

server_entry make_server(std::string id, std::string zone)
{
    server_entry entry;
    entry.id = std::move(id);
    entry.service = "engines";
    entry.zone = std::move(zone);
    entry.address = "10.0.0.1:8000";
    entry.revision = 1;
    return entry;
}

struct fleet_node
{
    std::string name;
    std::string zone;
    dispatcher decisions;
};

/// Five zones of ten nodes each, in front of four engines in each zone.
class zone_summary_test : public testing::Test
{
protected:
    void SetUp() override
    {
        for (auto const& zone : m_zones)
        {
            std::vector<std::string> names;
            names.reserve(10);
            for (int i = 0; i < 10; ++i)
                names.push_back(zone + std::to_string(i));
            for (auto const& name : names)
            {
                dispatcher decisions({name, zone, {0.2, 630, seconds(10)}});
                decisions.set_configuration(make_configuration());
                decisions.set_fleet_view({names, 50, true});
                for (auto const& server_zone : m_zones)
                    for (int i = 0; i < 4; ++i)
                        decisions.directory().apply_entry(
                            make_server("s-" + server_zone + std::to_string(i), server_zone),
                            start);
                m_nodes.push_back({name, zone, std::move(decisions)});
            }
        }
    }

    void exchange_reports(base::time_point now)
    {
        for (auto const& from : m_nodes)
            for (auto& to : m_nodes)
                if (from.name != to.name && from.zone == to.zone)
                    to.decisions.merge_peer({from.zone, from.name}, from.decisions.local_loads(now),
                                            now);
        for (auto const& zone : m_zones)
        {
            auto const reporter = std::find_if(m_nodes.begin(), m_nodes.end(),
                                               [&](auto const& node) { return node.zone == zone; });
            auto const loads = reporter->decisions.zone_loads(now);
            for (auto& to : m_nodes)
                if (to.zone != zone)
                    to.decisions.merge_zone_summary(zone, {0, 1}, loads, now);
        }
    }

    selected_server select(fleet_node const& node, base::time_point now)
    {
        selection_query query;
        query.service = "engines";
        query.demand = {3000, 470, 0};
        query.preferred_zone = node.zone;
        auto const selection = node.decisions.select_server(query, now, m_random);
        return selection.server.value_or(selected_server{});
    }

    std::vector<std::string> m_zones{"za", "zb", "zc", "zd", "ze"};
    std::vector<fleet_node> m_nodes;
    base::random_source m_random{20261204};
};

// Guards against loads of other zones that are counted twice or not at all.
TEST_F(zone_summary_test, every_node_knows_the_load_of_all_nodes)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        m_nodes[i].decisions.begin_attempt(i % 3 == 0 ? "s-za0" : "s-zb1", {100, 10, 0}, start,
                                           nullptr);
    exchange_reports(start);
    exchange_reports(start + milliseconds(100));
    std::vector<std::string> other_servers;
    for (auto const& zone : m_zones)
        for (int i = 0; i < 4; ++i)
            if (auto const id = "s-" + zone + std::to_string(i); id != "s-za0")
                other_servers.push_back(id);
    for (auto const& node : m_nodes)
    {
        selection_query query;
        query.service = "engines";
        query.excluded_servers = other_servers;
        auto const selection =
            node.decisions.select_server(query, start + milliseconds(200), m_random);
        ASSERT_TRUE(selection.server) << node.name;
        EXPECT_EQ(selection.server->running, 17) << node.name;
        EXPECT_LE(selection.server->load_age, milliseconds(100));
    }
}

// Guards against the load of a zone that no longer reports, and against parts of an earlier, longer
// summary that stay forever.
TEST_F(zone_summary_test, drops_summaries_that_are_not_renewed)
{
    auto& node = m_nodes.front().decisions;
    server_load load;
    load.server = hash_server("s-za0");
    load.running = 5;
    auto const running = [&](base::time_point now)
    {
        std::vector<std::string> excluded;
        for (auto const& [id, server] : node.directory().servers())
            if (id != "s-za0")
                excluded.push_back(id);
        selection_query query;
        query.service = "engines";
        query.excluded_servers = excluded;
        return node.select_server(query, now, m_random).server->running;
    };
    node.merge_zone_summary("zb", {0, 2}, {&load, 1}, start);
    node.merge_zone_summary("zb", {1, 2}, {&load, 1}, start);
    EXPECT_EQ(running(start), 10);
    node.merge_zone_summary("zb", {0, 1}, {&load, 1}, start);
    EXPECT_EQ(running(start), 5);
    node.expire(start + dispatcher::zone_summary_timeout);
    EXPECT_EQ(running(start + dispatcher::zone_summary_timeout), 0);
}

// Guards against a cold engine that gets requests from all zones at once, and against one that gets
// none because the allowance is divided among too many nodes.
TEST_F(zone_summary_test, only_the_zone_of_a_cold_engine_warms_it_up)
{
    int requests = 0;
    for (auto& node : m_nodes)
    {
        std::vector<std::string> excluded;
        for (auto const& [id, server] : node.decisions.directory().servers())
            if (id != "s-zc2")
                excluded.push_back(id);
        auto cold_server = make_server("s-zc2", "zc");
        cold_server.remaining_warm_up = seconds(5);
        cold_server.revision = 2;
        node.decisions.directory().apply_entry(cold_server, start);
        selection_query query;
        query.service = "engines";
        query.excluded_servers = excluded;
        while (node.decisions.select_server(query, start, m_random).server)
        {
            EXPECT_EQ(node.zone, "zc");
            node.decisions.end_attempt(
                node.decisions.begin_attempt("s-zc2", {10, 10, 0}, start, nullptr),
                attempt_outcome::succeeded, start);
            ++requests;
        }
    }
    EXPECT_EQ(requests, cold_requests_per_second);
}

// Guards against nodes of other zones that exceed a server's rate limit, since their shares are not
// agreed on with its zone.
TEST_F(zone_summary_test, only_the_zone_of_a_rate_limited_engine_sends_to_it)
{
    // The nodes report twice, since only the second summary has what the zone's nodes reported.
    m_nodes[3].decisions.record_rate_limit("s-za0", 1.5, start);
    exchange_reports(start + milliseconds(500));
    auto const now = start + seconds(1);
    exchange_reports(now);
    int requests = 0;
    for (auto& node : m_nodes)
    {
        std::vector<std::string> excluded;
        for (auto const& [id, server] : node.decisions.directory().servers())
            if (id != "s-za0")
                excluded.push_back(id);
        selection_query query;
        query.service = "engines";
        query.excluded_servers = excluded;
        while (node.decisions.select_server(query, now, m_random).server)
        {
            EXPECT_EQ(node.zone, "za");
            node.decisions.begin_attempt("s-za0", {10, 10, 0}, now, nullptr);
            ++requests;
        }
    }
    EXPECT_EQ(requests, 10);
}

// Guards against two zones that copy generations from a draining engine at the same time, or that
// wait for each other.
TEST_F(zone_summary_test, generations_of_all_zones_are_copied_in_turn)
{
    std::map<std::string, attempt_id> waiting;
    for (std::size_t i = 0; i < m_nodes.size(); i += 3)
    {
        auto& node = m_nodes[i];
        waiting[node.name] = node.decisions.begin_attempt("s-zd1", {3000, 470, 0}, start, nullptr);
        node.decisions.set_can_hand_over(waiting[node.name], true);
    }
    exchange_reports(start);
    std::vector<std::string> zones_in_order;
    while (!waiting.empty())
    {
        std::vector<fleet_node*> allowed;
        for (auto& node : m_nodes)
            if (waiting.contains(node.name) && node.decisions.may_start_copy(waiting.at(node.name)))
                allowed.push_back(&node);
        ASSERT_EQ(allowed.size(), 1U);
        zones_in_order.push_back(allowed.front()->zone);
        allowed.front()->decisions.end_attempt(waiting.at(allowed.front()->name),
                                               attempt_outcome::inconclusive, start);
        waiting.erase(allowed.front()->name);
        exchange_reports(start);
    }
    EXPECT_EQ(zones_in_order.front(), "zd");
}

// Guards against new work that crosses zones although the own zone has capacity.
TEST_F(zone_summary_test, new_work_stays_in_the_zone_while_its_engines_have_capacity)
{
    for (auto& node : m_nodes)
    {
        auto const server = select(node, start);
        EXPECT_EQ(server.zone, node.zone);
        auto const attempt =
            node.decisions.begin_attempt(server.id, {3000, 470, 0}, start, nullptr);
        node.decisions.record_first_event(attempt);
        exchange_reports(start);
    }
}

node_entry make_entry(std::string const& zone, int number)
{
    auto const name = zone + std::to_string(number);
    return {name, zone, name + ":8740", name, 7200};
}

/// The directory of a node in zone za of a fleet of 295 nodes, all listed by the store.
class large_fleet_directory_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_directory.set_phase(node_phase::ready);
        std::vector<node_entry> entries;
        for (auto const* const zone : {"za", "zb", "zc", "zd", "ze"})
            for (int i = 0; i < 59; ++i)
                entries.push_back(make_entry(zone, i));
        m_directory.apply_listed(entries, start);
    }
    void report_own_zone(int ready_nodes, base::time_point now)
    {
        for (int i = 1; i < ready_nodes; ++i)
            m_directory.apply_report(
                {make_entry("za", i), 1, ++m_sequence, node_phase::ready, true}, now);
    }
    int count_in_zone(std::string const& zone, base::time_point now)
    {
        auto const addresses = m_directory.caller_addresses(64, now);
        return static_cast<int>(std::count_if(addresses.begin(), addresses.end(),
                                              [&](auto const& address)
                                              { return address.starts_with(zone); }));
    }
    node_directory m_directory{make_entry("za", 0)};
    base::random_source m_random{20261204};
    std::int64_t m_sequence = 0;
};

// Guards against report traffic that grows with the fleet instead of the zone.
TEST_F(large_fleet_directory_test, reports_go_to_the_own_zone_and_one_node_of_each_other_zone)
{
    auto const recipients = m_directory.report_recipients();
    EXPECT_EQ(recipients.size(), 58U);
    for (auto const& recipient : recipients)
        EXPECT_EQ(recipient.zone, "za");
    std::set<std::string> zones;
    std::set<std::string> names;
    for (int i = 0; i < 50; ++i)
        for (auto const& recipient : m_directory.pick_relays(m_random))
        {
            zones.insert(recipient.zone);
            names.insert(recipient.name);
        }
    EXPECT_EQ(m_directory.pick_relays(m_random).size(), 4U);
    EXPECT_EQ(zones, (std::set<std::string>{"zb", "zc", "zd", "ze"}));
    // A dead recipient delays a zone's summary by one interval only.
    EXPECT_GT(names.size(), 100U);
}

// Guards against a share of a fleet-wide limit that grows when other zones are not heard.
TEST_F(large_fleet_directory_test, fleet_size_contains_nodes_of_other_zones)
{
    report_own_zone(59, start);
    EXPECT_EQ(m_directory.fleet_size(start), 295U);
    m_directory.apply_zone_summary("zf", {40, {}}, start);
    EXPECT_EQ(m_directory.fleet_size(start + seconds(60)), 1U + 236U + 40U);
}

// Guards against callers without any address when their zone fails.
TEST_F(large_fleet_directory_test, names_the_own_zone_and_a_few_nodes_of_other_zones)
{
    report_own_zone(59, start);
    for (auto const* const zone : {"zb", "zc", "zd", "ze"})
        m_directory.apply_zone_summary(
            zone, {59, {std::string(zone) + "1:8740", std::string(zone) + "2:8740"}}, start);
    EXPECT_EQ(count_in_zone("za", start), 59);
    EXPECT_EQ(count_in_zone("z", start), 63);
    auto const expired = start + node_directory::zone_address_lifetime;
    EXPECT_EQ(count_in_zone("z", expired), 59);
}

// Guards against the last nodes of a zone that get all its callers.
TEST_F(large_fleet_directory_test, names_all_known_nodes_of_other_zones_if_the_own_zone_is_small)
{
    report_own_zone(3, start);
    for (auto const* const zone : {"zb", "zc", "zd", "ze"})
        m_directory.apply_zone_summary(
            zone, {59, {std::string(zone) + "1:8740", std::string(zone) + "2:8740"}}, start);
    EXPECT_EQ(count_in_zone("za", start), 3);
    EXPECT_EQ(count_in_zone("z", start), 11);
}

// Guards against a zone without a reporter, and against every node sending summaries.
TEST_F(large_fleet_directory_test, two_live_nodes_of_each_zone_report_it)
{
    int reporters = 0;
    for (int self = 0; self < 59; ++self)
    {
        node_directory directory(make_entry("za", self));
        directory.set_phase(node_phase::ready);
        for (int i = 0; i < 59; ++i)
            directory.apply_report({make_entry("za", i), 1, 1, node_phase::ready, true}, start);
        reporters += directory.reports_zone(start) ? 1 : 0;
        // Once the others are silent, every node reports.
        EXPECT_TRUE(directory.reports_zone(start + node_directory::report_timeout));
    }
    EXPECT_EQ(reporters, 2);
}

} // namespace
} // namespace jasminepier::serving
