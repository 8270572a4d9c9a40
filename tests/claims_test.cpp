#include "claims/claim_sweep.hpp"
#include "claims/claimant.hpp"
#include "tests/support/simulated_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminepier::tests
{
namespace
{

using namespace claims;

constexpr int node_count = 3;
constexpr int first_background_node = 100;

/// Safeguards that a test can switch off to show that its check detects the consequence.
struct safeguards
{
    write_conditions conditions = write_conditions::checked;
    bool truthful_peers = true;
};

class simulated_cluster;

struct simulated_peers
{
    simulated_cluster& cluster;
    int self;
    base::result<claim_progress> query_progress(std::string const& node, std::string const& name,
                                                std::string const& nonce);
};

using tested_claimant = claimant<simulated_store, simulated_peers, simulated_clock>;

/// A caller's attempt and its result.
struct caller_attempt
{
    std::string key;
    int dispatches = 0;
    std::optional<execution_result> result;
};

struct simulated_node
{
    simulated_store store;
    simulated_peers peers;
    simulated_clock clock;
    tested_claimant claimant;
    simulated_node(simulated_cluster& cluster, simulated_store_state& objects, int number)
        : store(objects), peers{cluster, number}, clock{objects.schedule},
          claimant(store, peers, clock, {"node-" + std::to_string(number)})
    {
    }
};

class simulated_cluster
{
public:
    simulated_cluster(std::vector<std::uint8_t> choices, fault_set faults, safeguards enabled)
        : schedule(std::move(choices)),
          objects{schedule, std::move(faults), enabled.conditions, {}, {}, {}},
          m_safeguards(enabled)
    {
        // Otherwise thousands of runs would log a line for each sweep.
        static bool const logging_configured =
            (base::configure_logging(base::log_level::error), true);
        static_cast<void>(logging_configured);
        for (int node = 0; node < node_count; ++node)
            start(node);
    }

    simulated_cluster(simulated_cluster const&) = delete;
    simulated_cluster& operator=(simulated_cluster const&) = delete;
    ~simulated_cluster() { schedule.stop_all(); }

    void start(int node)
    {
        // Killed actors may refer to the previous node until they have unwound.
        if (m_nodes[static_cast<std::size_t>(node)])
            m_previous_nodes.push_back(std::move(m_nodes[static_cast<std::size_t>(node)]));
        auto& started = m_nodes[static_cast<std::size_t>(node)];
        started = std::make_unique<simulated_node>(*this, objects, node);
        schedule.spawn(first_background_node + node,
                       [this, &claimant = started->claimant]
                       {
                           for (;;)
                           {
                               claimant.retry_pending_writes();
                               schedule.sleep_for(base::milliseconds(200));
                           }
                       });
    }

    void start_attempt(int node, std::string const& key, base::milliseconds delay)
    {
        m_attempts.push_back(std::make_unique<caller_attempt>());
        auto& record = *m_attempts.back();
        record.key = key;
        schedule.spawn(node,
                       [this, node, &record, delay]
                       {
                           schedule.sleep_for(delay);
                           auto result = execute(node, record);
                           // A killed process sends no response to its caller.
                           if (!schedule.is_running_actor_killed())
                               record.result = std::move(result);
                       });
    }

    execution_result execute(int node, caller_attempt& record)
    {
        auto& claimant = m_nodes[static_cast<std::size_t>(node)]->claimant;
        auto acquisition =
            claimant.acquire_claim({record.key, "hash", schedule.now() + base::milliseconds(3000)});
        if (auto* result = std::get_if<execution_result>(&acquisition))
            return *result;
        return claimant.execute(std::get<owned_claim>(acquisition),
                                [&] { return dispatch(record); });
    }

    dispatch_result dispatch(caller_attempt& record)
    {
        schedule.yield();
        if (objects.should_inject(fault::disconnect, 20))
            return {dispatch_status::not_sent,
                    {},
                    {base::error_kind::server_unreachable, "the connection failed"}};
        ++record.dispatches;
        auto const count = ++executions[record.key];
        execution_times[record.key].push_back(schedule.now());
        if (objects.should_inject(fault::delay, 30))
            schedule.sleep_for(base::milliseconds(5000));
        schedule.yield();
        if (objects.should_inject(fault::lost_response, 20))
            return {dispatch_status::unknown, {}, {base::error_kind::server_failed, "lost"}};
        return {dispatch_status::responded,
                {200, "text/plain", record.key + "#" + std::to_string(count), false, false},
                {}};
    }

    /// Injects the faults that can occur between any two steps.
    void inject_faults()
    {
        if (objects.should_inject(fault::crash, 2))
        {
            auto const node = schedule.draw_index(node_count);
            schedule.kill(node);
            node_crashed = true;
            start(node);
        }
        if (objects.should_inject(fault::freeze, 3))
            schedule.freeze(schedule.draw_index(node_count), base::milliseconds(4000));
        if (schedule.draw_bool(10))
            objects.apply_delayed_write();
    }

    void run()
    {
        schedule.run(first_background_node, [this] { inject_faults(); });
    }

    /// Ends all faults and waits until the background writes have finished.
    void end_faults()
    {
        objects.faults.clear();
        while (!objects.delayed_writes.empty())
            objects.apply_delayed_write();
        schedule.spawn(0,
                       [this]
                       {
                           schedule.sleep_for(base::milliseconds(10000));
                           for (int i = 0; i < 2000 && has_pending_writes(); ++i)
                               schedule.sleep_for(base::milliseconds(100));
                       });
        run();
    }

    bool has_pending_writes()
    {
        return std::any_of(m_nodes.begin(), m_nodes.end(),
                           [](auto const& each) { return each->claimant.pending_writes() > 0; });
    }
    tested_claimant& claimant(int node)
    {
        return m_nodes[static_cast<std::size_t>(node)]->claimant;
    }
    auto const& attempts() const { return m_attempts; }

    simulation schedule;
    simulated_store_state objects;
    std::map<std::string, int> executions;
    std::map<std::string, std::vector<base::time_point>> execution_times;
    bool node_crashed = false;

private:
    safeguards m_safeguards;
    std::vector<std::unique_ptr<caller_attempt>> m_attempts;
    std::array<std::unique_ptr<simulated_node>, node_count> m_nodes;
    std::vector<std::unique_ptr<simulated_node>> m_previous_nodes;

    friend struct simulated_peers;
};

base::result<claim_progress> simulated_peers::query_progress(std::string const& node,
                                                             std::string const&,
                                                             std::string const& nonce)
{
    auto const target = node.back() - '0';
    cluster.schedule.yield();
    auto const frozen = cluster.schedule.frozen_until(target) > cluster.schedule.now();
    if (frozen || cluster.objects.should_inject(fault::disconnect, 30))
        return base::fail(base::error_kind::server_unreachable, "the connection failed");
    auto const reported = cluster.claimant(target).progress(nonce);
    cluster.schedule.yield();
    if (!cluster.m_safeguards.truthful_peers && reported == claim_progress::preparing)
        return claim_progress::abandoned;
    return reported;
}

base::execution_status execution_status_of(execution_result const& result)
{
    if (auto const* failure = std::get_if<base::error>(&result))
        return base::error_response_for(failure->kind).execution;
    return base::execution_status::ran;
}

/// Returns a description of the first violated guarantee, or an empty string.
std::string find_violation(simulated_cluster const& cluster)
{
    for (auto const& [key, count] : cluster.executions)
        if (count > 1)
            return key + " ran " + std::to_string(count) + " times";
    for (auto const& each : cluster.attempts())
    {
        if (!each->result)
            continue;
        auto const reported = execution_status_of(*each->result);
        if (reported == base::execution_status::not_run && each->dispatches > 0)
            return each->key + " ran and was reported as not run";
        auto const* result = std::get_if<service_response>(&*each->result);
        if (result && result->body != each->key + "#1")
            return each->key + " has the response " + result->body;
    }
    return "";
}

/// Sends two calls several times through several nodes, concurrently and later. Returns the
/// violation that this causes, if any.
std::string simulate_calls(std::vector<std::uint8_t> const& choices, fault_set const& faults,
                           safeguards enabled = {})
{
    simulated_cluster cluster(choices, faults, enabled);
    for (int i = 0; i < 6; ++i)
        cluster.start_attempt(cluster.schedule.draw_index(node_count), i % 2 == 0 ? "a" : "b",
                              base::milliseconds(cluster.schedule.draw_index(4) * 1500));
    cluster.run();
    if (auto violation = find_violation(cluster); !violation.empty())
        return violation;
    cluster.end_faults();
    if (cluster.has_pending_writes())
        return "background writes did not finish";
    auto const first_attempt_after_faults = cluster.attempts().size();
    cluster.start_attempt(0, "a", base::milliseconds(0));
    cluster.start_attempt(1, "b", base::milliseconds(0));
    cluster.run();
    // Without a crash and without a lost response of the service, every outcome must be known.
    if (!cluster.node_crashed && !faults.contains(fault::lost_response))
        for (auto i = first_attempt_after_faults; i < cluster.attempts().size(); ++i)
            if (execution_status_of(*cluster.attempts()[i]->result) != base::execution_status::ran)
                return "a call did not run after all faults had ended";
    return find_violation(cluster);
}

auto arbitrary_schedule()
{
    return rc::gen::resize(600, rc::gen::container<std::vector<std::uint8_t>>(
                                    rc::gen::resize(256, rc::gen::arbitrary<std::uint8_t>())));
}

constexpr std::int64_t retention_seconds = 4;

/// Sends one call repeatedly while two nodes sweep with a short retention time.
std::string simulate_sweeps(std::vector<std::uint8_t> const& choices, safeguards enabled = {})
{
    simulated_cluster cluster(choices, {fault::delay, fault::disconnect, fault::freeze}, enabled);
    std::vector<std::unique_ptr<simulated_node>> sweepers;
    for (int node = 0; node < 2; ++node)
    {
        sweepers.push_back(std::make_unique<simulated_node>(cluster, cluster.objects, node));
        cluster.schedule.spawn(
            first_background_node + node,
            [&cluster, &node_state = *sweepers.back(), node]
            {
                sweep_settings const settings{
                    "node-" + std::to_string(node), retention_seconds, 60, 1, 100,
                    base::milliseconds(10)};
                claim_sweep sweep(node_state.store, node_state.clock, settings);
                for (;;)
                {
                    sweep.sweep_if_due();
                    cluster.schedule.sleep_for(base::milliseconds(300));
                }
            });
    }
    for (int i = 0; i < 12; ++i)
        cluster.start_attempt(i % node_count, "a", base::milliseconds(i * 1200));
    cluster.run();
    cluster.schedule.stop_all();
    auto const& times = cluster.execution_times["a"];
    // Claims store whole seconds, so the actual retention time may be up to a second shorter.
    for (std::size_t i = 1; i < times.size(); ++i)
        if (times[i] - times[i - 1] < std::chrono::seconds(retention_seconds - 1))
            return "the call ran again within the retention time";
    return "";
}

std::vector<std::uint8_t> random_choices(base::random_source& random)
{
    std::vector<std::uint8_t> choices(600);
    for (auto& choice : choices)
        choice = static_cast<std::uint8_t>(random());
    return choices;
}

/// Counts the violations in a fixed number of random runs with a safeguard switched off.
int count_violating_runs(fault_set const& faults, safeguards enabled)
{
    constexpr int runs = 240;
    int violations = 0;
    base::random_source random(20261204);
    for (int run = 0; run < runs; ++run)
    {
        if (!simulate_calls(random_choices(random), faults, enabled).empty())
            ++violations;
    }
    testing::Test::RecordProperty("violations", violations);
    return violations;
}

std::vector<fault_set> fault_combinations()
{
    std::vector<fault_set> sets;
    for (int first = 0; first < fault_count; ++first)
        for (int second = first; second < fault_count; ++second)
            sets.push_back({static_cast<fault>(first), static_cast<fault>(second)});
    return sets;
}

class claims_under_faults : public testing::TestWithParam<fault_set>
{
};

} // namespace

// Guards against a second execution, a false "not run" and a wrong or missing result under every
// single fault and every pair of faults.
TEST_P(claims_under_faults, run_each_call_at_most_once)
{
    EXPECT_TRUE(rc::check(
        [&] { RC_ASSERT(simulate_calls(*arbitrary_schedule(), GetParam()) == std::string()); }));
}
INSTANTIATE_TEST_SUITE_P(single_and_pairs, claims_under_faults,
                         testing::ValuesIn(fault_combinations()));

// Shows that the check can fail: without conditional writes, a call runs twice.
TEST(claims, run_a_call_twice_when_the_store_ignores_preconditions)
{
    EXPECT_GT(count_violating_runs({fault::delay, fault::duplicate}, {write_conditions::ignored}),
              0);
}

// Shows that the check can fail: a call runs twice if a node reports its claim as abandoned and
// dispatches it later.
TEST(claims, run_a_call_twice_when_a_node_dispatches_an_abandoned_claim)
{
    EXPECT_GT(
        count_violating_runs({fault::freeze, fault::delay}, {write_conditions::checked, false}), 0);
}

// Guards against a sweep that deletes a claim which a resent call has taken over since it was
// listed.
TEST(claims, do_not_run_a_call_again_within_the_retention_time)
{
    EXPECT_TRUE(
        rc::check([&] { RC_ASSERT(simulate_sweeps(*arbitrary_schedule()) == std::string()); }));
}

// Shows that the check can fail: if deletions ignore the version, a sweep with a stale list deletes
// a new claim, and the call runs again.
TEST(claims, run_a_call_again_within_the_retention_time_when_deletions_ignore_versions)
{
    int violations = 0;
    base::random_source random(20261204);
    for (int run = 0; run < 60; ++run)
        if (!simulate_sweeps(random_choices(random), {write_conditions::ignored_by_deletions})
                 .empty())
            ++violations;
    RecordProperty("violations", violations);
    EXPECT_GT(violations, 0);
}

} // namespace jasminepier::tests
