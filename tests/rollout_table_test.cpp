/// Single rules of roll-outs at one node.
#include "inner_protocol/datagram.hpp"
#include "services/node/rollout_reports.hpp"
#include "serving/rollout_table.hpp"

#include <gtest/gtest.h>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;
using base::time_point;

constexpr milliseconds duration{60000};
constexpr rollout_limits limits{0.1, 50, milliseconds(5000)};

time_point at(std::int64_t ms)
{
    return time_point(std::chrono::milliseconds(ms));
}

/// One node with an old and a new server of the service "shop".
class rollout_rules_test : public testing::Test
{
protected:
    void SetUp() override { m_table.enable(limits, 1); }

    rollout_order order(std::int64_t revision, std::optional<rollout_state> written = std::nullopt,
                        std::string const& target = "v2", std::uint64_t id = 7)
    {
        return {"shop", target, duration, id, revision, written};
    }
    void apply(rollout_order const& changed)
    {
        m_table.apply_order(changed, false, at(m_now));
        advance(250);
    }
    std::vector<rollout_step> advance(std::int64_t ms)
    {
        m_now += ms;
        return m_table.advance(m_servers, at(m_now));
    }
    void advance_until(std::int64_t ms)
    {
        while (m_now < ms)
            advance(250);
    }
    version_admission admit(std::string const& version)
    {
        return m_table.admit("shop", version, version + "-1", false, at(m_now));
    }
    std::optional<rollout_state> pending() const
    {
        auto const writes = m_table.pending_writes(at(m_now));
        return writes.empty() ? std::nullopt : std::optional(writes.front().state);
    }
    void answer(std::string const& version, answer_evidence evidence, answer_times const& times)
    {
        m_table.record_answer("shop", version, version + "-1", "main", evidence, times);
    }
    void send(std::string const& version, int requests, int answers)
    {
        for (int i = 0; i < requests; ++i)
            m_table.record_sent("shop", version, version + "-1", "main");
        for (int i = 0; i < answers; ++i)
            answer(version, answer_evidence::good, {at(m_now - 10), std::nullopt, at(m_now), 0});
    }

    rollout_table m_table;
    std::int64_t m_now = 1000;
    std::vector<rollout_server> m_servers{{"v1-1", "shop", "v1", true, false, 4, 0},
                                          {"v2-1", "shop", "v2", true, false, 4, 0}};
};

constexpr std::int64_t in_drain = 52000;
constexpr std::int64_t in_retire = 54500;

// Guards against all requests for a version that has answered none.
TEST_F(rollout_rules_test, version_without_answers_does_not_take_all_requests)
{
    apply(order(10, rollout_state::in_progress));
    send("v1", 1000, 1000);
    send("v2", 100, 0);
    advance_until(in_drain);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    advance_until(in_retire);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    advance_until(1000 + duration.count());
    EXPECT_EQ(pending(), rollout_state::rolled_back);
}

// Guards against a service without servers because the new ones crash when they have everything.
TEST_F(rollout_rules_test, old_version_returns_when_the_new_servers_crash_in_the_end)
{
    apply(order(10, rollout_state::in_progress));
    send("v1", 1000, 1000);
    send("v2", 100, 100);
    m_servers[0].running = 1;
    advance_until(in_retire);
    EXPECT_EQ(admit("v1"), version_admission::excluded);
    EXPECT_EQ(admit("v2"), version_admission::preferred);
    m_servers[1].usable = false;
    advance(250);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    EXPECT_FALSE(m_table.retires("shop", "v1"));
    advance_until(1000 + duration.count());
    EXPECT_EQ(pending(), rollout_state::rolled_back);
}

// Guards against a bad version that gets everything because its order was deleted or replaced, and
// against a service without servers for that reason.
TEST_F(rollout_rules_test, refused_version_stays_refused_without_its_order)
{
    apply(order(10));
    apply(order(11, rollout_state::rolled_back));
    m_table.remove_order("shop", 12);
    advance(10000);
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    m_servers[0].usable = false;
    advance(250);
    EXPECT_EQ(admit("v2"), version_admission::normal);
    m_servers[0].usable = true;
    m_servers.push_back({"v3-1", "shop", "v3", true, false, 4, 0});
    apply(order(13, std::nullopt, "v3", 8));
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    m_servers.erase(m_servers.begin() + 1);
    advance(250);
    m_servers.push_back({"v2-1", "shop", "v2", true, false, 4, 0});
    advance(250);
    EXPECT_EQ(admit("v2"), version_admission::normal);
    // An order back to the old version.
    m_servers.erase(m_servers.begin() + 1);
    apply(order(14, std::nullopt, "v1", 9));
    EXPECT_EQ(admit("v2"), version_admission::normal);
}

// Guards against a service that keeps only the old servers after an order in the other direction.
TEST_F(rollout_rules_test, reversed_order_leaves_servers)
{
    apply(order(10));
    advance(5000);
    apply(order(11, std::nullopt, "v1", 8));
    EXPECT_EQ(admit("v2"), version_admission::normal);
}

// Guards against an end that answers an order which the operator repeats.
TEST_F(rollout_rules_test, repeated_order_is_a_new_one)
{
    constexpr std::int64_t later_epoch = std::int64_t{1} << 40;
    apply(order(10, rollout_state::rolled_back));
    m_table.remove_order("shop", 11);
    apply(order(later_epoch + 12, std::nullopt, "v2", 8));
    EXPECT_EQ(pending(), rollout_state::in_progress);
    apply(order(later_epoch + 13, rollout_state::rolled_back, "v2", 8));
    advance(700000);
    // Lost with the store.
    m_table.remove_order("shop", 2 * later_epoch + 14);
    apply(order(2 * later_epoch + 15, std::nullopt, "v2", 9));
    EXPECT_EQ(pending(), rollout_state::in_progress);
}

// Guards against servers that stay unused after a completed roll-out, because a later version is
// released without an order.
TEST_F(rollout_rules_test, later_version_is_used_after_a_completed_order)
{
    apply(order(10));
    apply(order(11, rollout_state::completed));
    EXPECT_EQ(admit("v1"), version_admission::excluded);
    m_servers.push_back({"v3-1", "shop", "v3", true, false, 4, 0});
    advance(250);
    EXPECT_EQ(admit("v3"), version_admission::excluded);
    advance(3000);
    EXPECT_EQ(admit("v3"), version_admission::preferred);
    EXPECT_FALSE(m_table.retires("shop", "v3"));
    EXPECT_EQ(admit("v1"), version_admission::excluded);
    EXPECT_TRUE(m_table.retires("shop", "v1"));
    // A node that starts after the second release.
    rollout_table restarted;
    restarted.enable(limits, 2);
    restarted.apply_order(order(11, rollout_state::completed), false, at(m_now));
    m_servers.erase(m_servers.begin(), m_servers.begin() + 2);
    restarted.advance(m_servers, at(m_now));
    m_now += 3000;
    restarted.advance(m_servers, at(m_now));
    EXPECT_NE(restarted.admit("shop", "v3", "v3-1", false, at(m_now)), version_admission::excluded);
}

// Guards against a slow version that is never found because its streams are ended early, against
// blame for fast ones that callers left, and against a cold server's times or lost failures.
TEST_F(rollout_rules_test, streams_that_end_early_are_evidence_only_if_slow)
{
    apply(order(10));
    auto const stream = [&](std::int64_t first_event, std::int64_t total) {
        return answer_times{at(m_now - total), at(m_now - total + first_event), at(m_now), 100};
    };
    for (int i = 0; i < 50; ++i)
        answer("v1", answer_evidence::good, stream(100, 1000));
    answer("v2", answer_evidence::slow_only, stream(100, 500));
    EXPECT_EQ(m_table.take_own_counts()["shop"].target.answers, 0);
    answer("v2", answer_evidence::good_but_cold, stream(900, 9000));
    EXPECT_EQ(m_table.take_own_counts()["shop"].target.slow, 0);
    for (int i = 0; i < 30; ++i)
        answer("v2", answer_evidence::slow_only, stream(900, 1000));
    auto const counts = m_table.take_own_counts()["shop"];
    EXPECT_EQ(counts.target.answers, 30);
    EXPECT_EQ(counts.target.slow, 30);
    advance(250);
    EXPECT_EQ(pending(), rollout_state::rolled_back);
}

// Guards against the long drain of engines for a plain service whose order came first.
TEST_F(rollout_rules_test, schedule_follows_the_configuration)
{
    m_table.apply_order(order(10), true, at(m_now));
    send("v1", 100, 100);
    m_table.update_schedules([](auto const&) { return std::optional(false); });
    advance_until(45000);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    advance_until(in_drain);
    EXPECT_EQ(admit("v2"), version_admission::preferred);
}

// Guards against requests between a peer's stop and this node's next look.
TEST_F(rollout_rules_test, peer_stop_takes_effect_at_once)
{
    apply(order(10, rollout_state::in_progress));
    m_servers[0].running = 1;
    send("v1", 1000, 1000);
    send("v2", 100, 100);
    advance_until(in_drain);
    EXPECT_EQ(admit("v2"), version_admission::preferred);
    m_table.apply_report({"z", "n2", 1, "", 0}, {0, 7, std::nullopt, true, {}}, at(m_now));
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    auto const steps = advance(250);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].stage, rollout_stage::rolled_back);
    EXPECT_TRUE(advance(250).empty());
}

// Guards against a list of the store every few seconds for an order that was deleted.
TEST_F(rollout_rules_test, order_that_the_store_lacks_is_not_looked_for_again)
{
    auto const report = [&] {
        m_table.apply_report({"z", "n2", 1, "", 0}, {0, 9, {}, false, {}}, at(m_now));
    };
    report();
    EXPECT_TRUE(m_table.unknown_order_since());
    m_table.forget_unknown_orders(at(m_now), true);
    m_now += 5000;
    report();
    EXPECT_FALSE(m_table.unknown_order_since());
    m_now += 5000;
    report();
    EXPECT_TRUE(m_table.unknown_order_since());
}

// Guards against failures in another zone that remain unseen because the node that reports them
// has restarted, and against answers that two nodes of the zone report and that count twice.
TEST(rollout_evidence_test, a_zone_has_one_reporter_at_a_time)
{
    rollout_evidence evidence;
    evidence_key const key{true, 1, 0};
    auto const report =
        [&](std::string const& node, std::int64_t started, std::int64_t count, std::int64_t ms)
    {
        evidence.merge({"z", "", 0, node, started}, {{key, {count, count, 0, 0}}}, at(ms));
        return evidence.sums().target.answers;
    };
    EXPECT_EQ(report("n1", 1, 100, 0), 100);
    EXPECT_EQ(report("n2", 1, 90, 500), 100);
    EXPECT_EQ(report("n1", 1, 110, 1000), 110);
    // Restarted, and its sum is smaller.
    EXPECT_EQ(report("n1", 2, 20, 2000), 110);
    EXPECT_EQ(report("n1", 2, 30, 3000), 120);
    EXPECT_EQ(report("n2", 1, 200, 7000), 120);
    EXPECT_EQ(report("n2", 1, 205, 8000), 125);
    // Reports of nodes of the zone are in its sum.
    evidence.merge({"z", "n3", 1, "", 0}, {{key, {7, 7, 0, 0}}}, at(8000));
    EXPECT_EQ(evidence.sums().target.answers, 125);
}

// Guards against effects in a deployment that does not permit roll-outs.
TEST_F(rollout_rules_test, nothing_happens_without_limits)
{
    rollout_table unused;
    unused.apply_order(order(10), false, at(m_now));
    unused.apply_report({"z", "n2", 1, "", 0}, {0, 9, {}, true, {}}, at(m_now));
    unused.add_request("shop");
    unused.record_sent("shop", "v2", "v2-1", "main");
    EXPECT_TRUE(unused.advance(m_servers, at(m_now)).empty());
    EXPECT_EQ(unused.find_order("shop"), nullptr);
    EXPECT_TRUE(unused.pending_writes(at(m_now)).empty());
    EXPECT_FALSE(unused.unknown_order_since());
    EXPECT_TRUE(unused.take_own_counts().empty());
    inner_protocol::node_report report;
    node::rollout_report_position position;
    EXPECT_FALSE(node::add_rollouts(report, unused, true, position, at(m_now)));
    EXPECT_EQ(inner_protocol::encode_node_report(report),
              inner_protocol::encode_node_report(inner_protocol::node_report()));
    for (auto const* const version : {"v1", "v2"})
    {
        EXPECT_EQ(unused.admit("shop", version, "s", false, at(m_now)), version_admission::normal);
        EXPECT_FALSE(unused.retires("shop", version));
    }
}

// Guards against reports that many orders make too long to be sent, and against counts or orders
// that never get their turn.
TEST_F(rollout_rules_test, reports_of_many_orders_fit_and_carry_everything)
{
    for (std::uint64_t id = 1; id <= 25; ++id)
    {
        auto const service = "s" + std::to_string(id);
        m_table.apply_order({service, "v2", duration, id, 10, std::nullopt}, false, at(m_now));
        for (int route = 0; route < 5; ++route)
            m_table.record_sent(service, "v1", "v1-1", "route-" + std::to_string(route));
    }
    std::set<std::pair<std::int64_t, std::int32_t>> seen;
    node::rollout_report_position position;
    for (std::int64_t i = 0; i < 15; ++i)
    {
        inner_protocol::node_report report;
        // Reports of the node and of its zone share one sequence.
        report.sequence = 2 * i;
        EXPECT_TRUE(node::add_rollouts(report, m_table, false, position, at(m_now)));
        EXPECT_LE(report.versions.size(), 10U);
        EXPECT_LT(inner_protocol::encode_node_report(report).size(), 600U);
        for (auto const& entry : report.versions)
            seen.emplace(entry.order_revision, entry.route_hash);
    }
    EXPECT_EQ(seen.size(), 125U);
}

} // namespace
} // namespace jasminepier::serving
