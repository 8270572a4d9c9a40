/// Roll-outs over many nodes in memory: bad versions are taken back within their limits, good ones
/// are completed.
#include "serving/rollout_table.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <memory>
#include <queue>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;
using base::time_point;

enum class version_kind
{
    bad_at_once,
    bad_later,
    bad_under_load,
    bad_on_one_route,
    slow,
    good,
    good_with_crash,
    good_with_faulty_server,
    good_and_cold,
};
constexpr int kind_count = 9;
constexpr std::string_view kind_names[] = {"at once", "later", "load",   "one route", "slow",
                                           "good",    "crash", "faulty", "cold"};

constexpr milliseconds duration{60000};
constexpr rollout_limits limits{0.1, 50, milliseconds(5000)};
constexpr double bad_fraction = 0.4;
constexpr double natural_failures = 0.14;
constexpr std::int64_t start_ms = 1000;

time_point at(std::int64_t ms)
{
    return time_point(std::chrono::milliseconds(ms));
}

struct run_result
{
    std::optional<rollout_state> end;
    double exposure_ratio = 0;
    /// From the 50th bad answer to the last request, in ms.
    std::int64_t last_request = 0;
    std::string_view reason;
};

class simulated_rollout
{
public:
    simulated_rollout(int nodes, version_kind kind, std::uint64_t seed)
        : m_kind(kind), m_random(seed), m_old_servers(seed % 2 == 0 ? 3 : 12)
    {
        for (int i = 0; i < nodes; ++i)
        {
            m_nodes.push_back(std::make_unique<rollout_table>());
            m_nodes.back()->enable(limits, seed * 1000 + static_cast<std::uint64_t>(i));
        }
        for (int i = 0; i < 2 * m_old_servers; ++i)
            m_servers.push_back(
                {(i < m_old_servers ? "old-" : "new-") + std::to_string(i), true, {}});
        m_bad_start = uniform(0.25, 0.6) * duration.count();
        m_rate = uniform(50, 120);
        m_loss = uniform(0.05, 0.3);
    }

    run_result run()
    {
        double next_request = 0;
        for (m_now = 0; m_now < start_ms + duration.count(); m_now += 5)
        {
            while (next_request <= static_cast<double>(m_now))
            {
                send_request();
                next_request -= std::log(1 - uniform(0, 1)) * 1000 / m_rate;
            }
            while (!m_answers.empty() && m_answers.top().time <= m_now)
                end_request();
            if (m_now == start_ms)
                write_order({});
            if (m_kind == version_kind::good_with_crash && m_now == start_ms + 20000)
                m_servers.back().usable = false;
            auto const count = static_cast<std::int64_t>(m_nodes.size());
            // Ticks and reports of the nodes are spread over half a second.
            for (std::int64_t i = 0; i < count; ++i)
                if (m_now % 500 == (i * 500 / count) / 5 * 5)
                    tick(static_cast<std::size_t>(i));
        }
        m_result.exposure_ratio = static_cast<double>(m_target_requests) /
                                  (limits.maximum_share * static_cast<double>(m_all_requests) +
                                   limits.tolerated_requests);
        return m_result;
    }

private:
    struct server
    {
        std::string id;
        bool usable = true;
        std::deque<std::int64_t> recent;
    };
    struct answer
    {
        std::int64_t time;
        std::int64_t sent;
        std::size_t node;
        std::size_t server;
        std::string route;
        bool failed;
        bool bad;
        bool operator<(answer const& other) const { return time > other.time; }
    };

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    bool is_new(std::size_t index) const
    {
        return index >= static_cast<std::size_t>(m_old_servers);
    }
    std::string version_of(std::size_t index) const { return is_new(index) ? "v2" : "v1"; }
    bool is_cold(std::size_t index) const
    {
        return m_kind == version_kind::good_and_cold && is_new(index) && m_now < start_ms + 12000;
    }
    bool is_listed(std::size_t index) const { return !is_new(index) || m_now >= start_ms + 200; }

    bool turns_bad(server const& target, std::string const& route, std::size_t index)
    {
        if (!is_new(index))
            return false;
        auto const old_rate = m_rate / m_old_servers;
        switch (m_kind)
        {
        case version_kind::bad_at_once:
        case version_kind::slow:
            return uniform(0, 1) < bad_fraction;
        case version_kind::bad_later:
            return static_cast<double>(m_now - start_ms) > m_bad_start &&
                   uniform(0, 1) < bad_fraction;
        case version_kind::bad_under_load:
            return static_cast<double>(target.recent.size()) > 0.7 * old_rate &&
                   uniform(0, 1) < bad_fraction;
        case version_kind::bad_on_one_route:
            return route == "rare" && uniform(0, 1) < bad_fraction;
        case version_kind::good_with_faulty_server:
            return index + 1 == m_servers.size() && uniform(0, 1) < bad_fraction;
        default:
            return false;
        }
    }

    void send_request()
    {
        auto const node =
            std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
        std::string const route = uniform(0, 1) < 0.7 ? "main" : "rare";
        m_nodes[node]->add_request("shop");
        auto best = version_admission::excluded;
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < m_servers.size(); ++i)
        {
            if (!is_listed(i) || !m_servers[i].usable)
                continue;
            // Cold servers accept a few requests per second.
            if (is_cold(i) && m_servers[i].recent.size() >= 2)
                continue;
            auto const rank =
                m_nodes[node]->admit("shop", version_of(i), m_servers[i].id, false, at(m_now));
            if (rank > best)
                candidates.clear();
            best = std::max(best, rank);
            if (rank == best && rank != version_admission::excluded)
                candidates.push_back(i);
        }
        if (candidates.empty())
            return;
        auto const index = candidates[std::uniform_int_distribution<std::size_t>(
            0, candidates.size() - 1)(m_random)];
        auto& target = m_servers[index];
        target.recent.push_back(m_now);
        while (target.recent.front() <= m_now - 1000)
            target.recent.pop_front();
        m_nodes[node]->record_sent("shop", version_of(index), target.id, route);
        if (m_now >= start_ms)
        {
            ++m_all_requests;
            m_target_requests += is_new(index) ? 1 : 0;
            if (is_new(index) && m_fiftieth_bad)
                m_result.last_request = m_now - *m_fiftieth_bad;
        }
        bool const is_bad = turns_bad(target, route, index);
        bool const fails = (is_bad && m_kind != version_kind::slow) ||
                           (route == "rare" && uniform(0, 1) < natural_failures);
        auto latency = std::lognormal_distribution<double>(std::log(30), 0.35)(m_random);
        if (is_cold(index) || (is_bad && m_kind == version_kind::slow))
            latency *= 5;
        m_answers.push(
            {m_now + static_cast<std::int64_t>(latency), m_now, node, index, route, fails, is_bad});
    }

    void end_request()
    {
        auto const ended = m_answers.top();
        m_answers.pop();
        auto const& from = m_servers[ended.server];
        if (ended.bad && is_new(ended.server) && ++m_bad_answers == 50)
            m_fiftieth_bad = m_now;
        auto const evidence = is_cold(ended.server)          ? answer_evidence::none
                              : ended.failed || !from.usable ? answer_evidence::failed
                                                             : answer_evidence::good;
        m_nodes[ended.node]->record_answer("shop", version_of(ended.server), from.id, ended.route,
                                           evidence,
                                           {at(ended.sent), std::nullopt, at(ended.time), 0});
    }

    void write_order(std::optional<rollout_state> state)
    {
        rollout_order order{"shop", "v2", duration, 7, ++m_revision, state};
        if (order.has_ended())
            m_result.end = state;
        for (auto& node : m_nodes)
            node->apply_order(order, false, at(m_now));
    }

    bool is_large() const { return m_nodes.size() > 12; }
    std::string zone_of(std::size_t node) const { return "z" + std::to_string(node % 3); }

    void tick(std::size_t index)
    {
        auto& node = *m_nodes[index];
        std::vector<rollout_server> servers;
        std::vector<std::string> versions{"v1", "v2"};
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            if (is_listed(i))
                servers.push_back({m_servers[i].id, "shop", versions[is_new(i) ? 1 : 0],
                                   m_servers[i].usable, is_cold(i), 4, 0});
        for (auto const& step : node.advance(servers, at(m_now)))
            if (!step.reason.empty() && step.reason != "peer")
                m_result.reason = step.reason;
        if (index == 0 && !m_result.end)
            for (auto const& write : node.pending_writes(at(m_now)))
                write_order(write.state);
        bool const sends_summary = is_large() && index < 6 && m_now % 1000 < 500;
        auto const own = node.reports(false, at(m_now));
        auto const of_zone =
            sends_summary ? node.reports(true, at(m_now)) : std::vector<rollout_report>{};
        for (std::size_t other = 0; other < m_nodes.size(); ++other)
        {
            bool const same_zone = !is_large() || zone_of(other) == zone_of(index);
            if (other == index || uniform(0, 1) < m_loss)
                continue;
            if (same_zone)
                for (auto const& report : own)
                    m_nodes[other]->apply_report({zone_of(index), std::to_string(index), 1, "", 0},
                                                 report, at(m_now));
            else
                for (auto const& report : of_zone)
                    m_nodes[other]->apply_report({zone_of(index), "", 0, std::to_string(index), 1},
                                                 report, at(m_now));
        }
    }

    version_kind m_kind;
    base::random_source m_random;
    int m_old_servers;
    double m_bad_start = 0;
    double m_rate = 0;
    double m_loss = 0;
    std::vector<std::unique_ptr<rollout_table>> m_nodes;
    std::vector<server> m_servers;
    std::priority_queue<answer> m_answers;
    std::int64_t m_now = 0;
    std::int64_t m_revision = 0;
    std::int64_t m_all_requests = 0;
    std::int64_t m_target_requests = 0;
    int m_bad_answers = 0;
    std::optional<std::int64_t> m_fiftieth_bad;
    run_result m_result;
};

class rollout_fleet_test : public testing::TestWithParam<int>
{
};

// Guards against bad versions that are completed or seen by too many callers, and against good ones
// that are taken back because of single servers, cold starts or failures that both versions have.
TEST_P(rollout_fleet_test, only_bad_versions_are_taken_back_and_within_their_limits)
{
    struct summary
    {
        int runs = 0;
        int wrong = 0;
        double exposure_ratio = 0;
        std::int64_t last_request = 0;
    };
    summary summaries[kind_count];
    for (std::uint64_t seed = 0; seed < 200; ++seed)
    {
        auto const kind = static_cast<version_kind>(seed % kind_count);
        auto const result = simulated_rollout(GetParam(), kind, seed).run();
        bool const is_good = kind >= version_kind::good;
        auto& sum = summaries[seed % kind_count];
        ++sum.runs;
        auto const expected = is_good ? rollout_state::completed : rollout_state::rolled_back;
        sum.wrong += result.end == expected ? 0 : 1;
        EXPECT_EQ(result.end, expected)
            << kind_names[seed % kind_count] << " seed " << seed << " " << result.reason;
        if (is_good)
            continue;
        EXPECT_LE(result.exposure_ratio, 1) << kind_names[seed % kind_count] << " seed " << seed;
        EXPECT_LE(result.last_request, limits.rollback_delay.count()) << "seed " << seed;
        sum.exposure_ratio = std::max(sum.exposure_ratio, result.exposure_ratio);
        sum.last_request = std::max(sum.last_request, result.last_request);
    }
    for (int i = 0; i < kind_count; ++i)
        std::cout << GetParam() << " nodes, " << kind_names[i] << ": " << summaries[i].runs
                  << " runs, " << summaries[i].wrong << " wrong, highest exposure "
                  << summaries[i].exposure_ratio << " of 1, last request "
                  << summaries[i].last_request << " of " << limits.rollback_delay.count()
                  << " ms after the 50th bad answer\n";
}

/// One node with an old and a new server of the service "shop".
class rollout_table_test : public testing::Test
{
protected:
    void SetUp() override { m_table.enable(limits, 1); }

    void apply(std::int64_t revision, std::optional<rollout_state> written = std::nullopt,
               std::string const& target = "v2", std::uint64_t id = 7)
    {
        m_table.apply_order({"shop", target, duration, id, revision, written}, false, at(m_now));
        advance(250);
    }
    std::vector<rollout_step> advance(std::int64_t ms)
    {
        m_now += ms;
        return m_table.advance(m_servers, at(m_now));
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

    rollout_table m_table;
    std::int64_t m_now = 1000;
    std::vector<rollout_server> m_servers{{"v1-1", "shop", "v1", true, false, 4, 0},
                                          {"v2-1", "shop", "v2", true, false, 4, 0}};
};

// Guards against requests that a written end forbids, and against an end that is turned round.
TEST_F(rollout_table_test, follows_the_written_state)
{
    apply(10);
    EXPECT_EQ(pending(), rollout_state::in_progress);
    apply(11, rollout_state::in_progress);
    EXPECT_EQ(pending(), std::nullopt);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    EXPECT_EQ(admit(""), version_admission::excluded);
    apply(12, rollout_state::completed);
    EXPECT_EQ(admit("v1"), version_admission::excluded);
    EXPECT_TRUE(m_table.retires("shop", "v1"));
    apply(11, rollout_state::in_progress);
    EXPECT_EQ(admit("v1"), version_admission::excluded);
    EXPECT_EQ(pending(), std::nullopt);
    apply(13, rollout_state::rolled_back, "v1", 8);
    EXPECT_EQ(admit("v1"), version_admission::excluded);
    EXPECT_EQ(admit("v2"), version_admission::normal);
    // A version that was rolled back doesn't return with the removal of its order.
    m_table.remove_order("shop");
    EXPECT_EQ(admit("v1"), version_admission::excluded);
    EXPECT_EQ(admit("v2"), version_admission::normal);
}

// Guards against a finished roll-out that starts again when the store returns an earlier copy.
TEST_F(rollout_table_test, end_is_written_again_after_the_store_was_restored)
{
    apply(10, rollout_state::rolled_back);
    auto const later_epoch = std::int64_t{1} << 40;
    apply(later_epoch + 9, rollout_state::in_progress);
    EXPECT_EQ(pending(), rollout_state::rolled_back);
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    // The copy lacks the order, and the operator writes it again.
    m_table.remove_order("shop");
    apply(later_epoch + 12, std::nullopt, "v2", 9);
    EXPECT_EQ(pending(), rollout_state::rolled_back);
    apply(later_epoch + 13, rollout_state::rolled_back, "v2", 9);
    // An order of the same epoch is a new one.
    m_table.remove_order("shop");
    apply(later_epoch + 14, std::nullopt, "v2", 10);
    EXPECT_EQ(pending(), rollout_state::in_progress);
}

// Guards against a full share for servers whose order arrives after them, and against a service
// without servers because of an order for a version that nobody has.
TEST_F(rollout_table_test, versions_without_order_or_servers)
{
    m_servers.pop_back();
    advance(0);
    m_servers.push_back({"v2-1", "shop", "v2", true, false, 4, 0});
    advance(250);
    EXPECT_EQ(admit("v1"), version_admission::normal);
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    m_servers[0].usable = false;
    advance(250);
    EXPECT_EQ(admit("v2"), version_admission::normal);
    m_servers[0].usable = true;
    advance(250);
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    advance(rollout_table::order_grace_period.count());
    EXPECT_EQ(admit("v2"), version_admission::normal);
    apply(10, std::nullopt, "v3");
    EXPECT_EQ(admit("v1"), version_admission::normal);
    EXPECT_EQ(admit(""), version_admission::normal);
    EXPECT_EQ(pending(), std::nullopt);
    rollout_table unused;
    EXPECT_EQ(unused.admit("shop", "v2", "v2-1", false, at(m_now)), version_admission::normal);
}

// Guards against a version that goes on receiving requests here after a peer has seen it fail.
TEST_F(rollout_table_test, stops_when_a_peer_reports_a_stop)
{
    apply(10, rollout_state::in_progress);
    rollout_report report{0, 7, milliseconds(5000), true, {}};
    m_table.apply_report({"z", "n2", 1}, report, at(m_now));
    auto const steps = advance(250);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].stage, rollout_stage::rolled_back);
    EXPECT_EQ(steps[0].age, milliseconds(5250));
    EXPECT_EQ(admit("v2"), version_admission::excluded);
    EXPECT_EQ(pending(), rollout_state::rolled_back);
}

INSTANTIATE_TEST_SUITE_P(fleets, rollout_fleet_test, testing::Values(8, 80));

} // namespace
} // namespace jasminepier::serving
