#include "claims/at_most_once_executor.hpp"
#include "claims/claim_sweep.hpp"
#include "tests/support/simulated_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminepier::tests
{
namespace
{

using namespace claims;

constexpr int node_count = 3;
constexpr int background = 100;

/// Parts of the mechanism that a test switches off to show that its check notices.
struct mechanism
{
    write_conditions conditions = write_conditions::checked;
    bool truthful_peers = true;
};

class claim_world;

struct simulated_peers
{
    claim_world& world;
    int self;
    base::result<claim_progress> query_progress(std::string const& node, std::string const& name,
                                                std::string const& nonce);
};

using tested_executor = at_most_once_executor<simulated_store, simulated_peers, simulated_clock>;

/// One caller's attempt and what became of it.
struct attempt_record
{
    std::string key;
    int dispatches = 0;
    std::optional<execution_result> answer;
};

struct node_parts
{
    simulated_store store;
    simulated_peers peers;
    simulated_clock clock;
    tested_executor claims;
    node_parts(claim_world& world, simulated_store_state& objects, int number)
        : store(objects), peers{world, number}, clock{objects.schedule},
          claims(store, peers, clock, {"node-" + std::to_string(number)})
    {
    }
};

class claim_world
{
public:
    claim_world(std::vector<std::uint8_t> choices, fault_set faults, mechanism parts)
        : schedule(std::move(choices)),
          objects{schedule, std::move(faults), parts.conditions, {}, {}, {}}, m_mechanism(parts)
    {
        // Thousands of runs would otherwise write a line for each sweep.
        static bool const quiet = (base::configure_logging(base::log_level::error), true);
        static_cast<void>(quiet);
        for (int node = 0; node < node_count; ++node)
            start(node);
    }

    claim_world(claim_world const&) = delete;
    claim_world& operator=(claim_world const&) = delete;
    ~claim_world() { schedule.stop_all(); }

    void start(int node)
    {
        // Killed actors may still refer to the previous parts until they have unwound.
        if (m_nodes[static_cast<std::size_t>(node)])
            m_retired.push_back(std::move(m_nodes[static_cast<std::size_t>(node)]));
        auto& parts = m_nodes[static_cast<std::size_t>(node)];
        parts = std::make_unique<node_parts>(*this, objects, node);
        schedule.spawn(background + node,
                       [this, &claims = parts->claims]
                       {
                           for (;;)
                           {
                               claims.retry_pending_writes();
                               schedule.sleep_for(base::milliseconds(200));
                           }
                       });
    }

    void attempt(int node, std::string const& key, base::milliseconds delay)
    {
        m_attempts.push_back(std::make_unique<attempt_record>());
        auto& record = *m_attempts.back();
        record.key = key;
        schedule.spawn(node,
                       [this, node, &record, delay]
                       {
                           schedule.sleep_for(delay);
                           auto answer = execute(node, record);
                           // A dead process tells its caller nothing.
                           if (!schedule.is_running_actor_killed())
                               record.answer = std::move(answer);
                       });
    }

    execution_result execute(int node, attempt_record& record)
    {
        auto& claims = m_nodes[static_cast<std::size_t>(node)]->claims;
        auto acquisition =
            claims.acquire_claim({record.key, "hash", schedule.now() + base::milliseconds(3000)});
        if (auto* answer = std::get_if<execution_result>(&acquisition))
            return *answer;
        return claims.execute(std::get<owned_claim>(acquisition), [&] { return dispatch(record); });
    }

    dispatch_result dispatch(attempt_record& record)
    {
        schedule.yield();
        if (objects.should_inject(fault::disconnect, 20))
            return {dispatch_status::not_sent, {}, {base::error_kind::server_unreachable, "cut"}};
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

    /// Brings about what can happen between any two steps.
    void disturb()
    {
        if (objects.should_inject(fault::crash, 2))
        {
            auto const node = schedule.draw_index(node_count);
            schedule.kill(node);
            crashed = true;
            start(node);
        }
        if (objects.should_inject(fault::freeze, 3))
            schedule.freeze(schedule.draw_index(node_count), base::milliseconds(4000));
        if (schedule.draw_bool(10))
            objects.apply_delayed_write();
    }

    void run()
    {
        schedule.run(background, [this] { disturb(); });
    }

    /// Ends all faults, lets the background work finish and sends each order once more.
    void heal()
    {
        objects.faults.clear();
        while (!objects.delayed_writes.empty())
            objects.apply_delayed_write();
        schedule.spawn(0,
                       [this]
                       {
                           schedule.sleep_for(base::milliseconds(10000));
                           for (int i = 0; i < 2000 && pending(); ++i)
                               schedule.sleep_for(base::milliseconds(100));
                       });
        run();
    }

    bool pending()
    {
        return std::any_of(m_nodes.begin(), m_nodes.end(),
                           [](auto const& each) { return each->claims.pending_writes() > 0; });
    }
    tested_executor& claims(int node) { return m_nodes[static_cast<std::size_t>(node)]->claims; }
    auto const& attempts() const { return m_attempts; }

    simulation schedule;
    simulated_store_state objects;
    std::map<std::string, int> executions;
    std::map<std::string, std::vector<base::time_point>> execution_times;
    bool crashed = false;

private:
    mechanism m_mechanism;
    std::vector<std::unique_ptr<attempt_record>> m_attempts;
    std::array<std::unique_ptr<node_parts>, node_count> m_nodes;
    std::vector<std::unique_ptr<node_parts>> m_retired;

    friend struct simulated_peers;
};

base::result<claim_progress> simulated_peers::query_progress(std::string const& node,
                                                             std::string const&,
                                                             std::string const& nonce)
{
    auto const target = node.back() - '0';
    world.schedule.yield();
    auto const frozen = world.schedule.frozen_until(target) > world.schedule.now();
    if (frozen || world.objects.should_inject(fault::disconnect, 30))
        return base::fail(base::error_kind::server_unreachable, "cut");
    auto const told = world.claims(target).progress(nonce);
    world.schedule.yield();
    if (!world.m_mechanism.truthful_peers && told == claim_progress::preparing)
        return claim_progress::abandoned;
    return told;
}

base::execution_status executed(execution_result const& answer)
{
    if (auto const* failure = std::get_if<base::error>(&answer))
        return base::error_response_for(failure->kind).execution;
    return base::execution_status::ran;
}

/// Returns what is wrong with the run; empty when every promise was kept.
std::string judge(claim_world const& world)
{
    for (auto const& [key, count] : world.executions)
        if (count > 1)
            return key + " ran " + std::to_string(count) + " times";
    for (auto const& each : world.attempts())
    {
        if (!each->answer)
            continue;
        auto const told = executed(*each->answer);
        if (told == base::execution_status::not_run && each->dispatches > 0)
            return each->key + " ran and was called not run";
        auto const* answer = std::get_if<service_response>(&*each->answer);
        if (answer && answer->body != each->key + "#1")
            return each->key + " has the answer " + answer->body;
    }
    return "";
}

/// Sends two orders several times through several nodes, at once and later, and judges the run.
std::string violation(std::vector<std::uint8_t> const& choices, fault_set const& faults,
                      mechanism parts = {})
{
    claim_world world(choices, faults, parts);
    for (int i = 0; i < 6; ++i)
        world.attempt(world.schedule.draw_index(node_count), i % 2 == 0 ? "a" : "b",
                      base::milliseconds(world.schedule.draw_index(4) * 1500));
    world.run();
    if (auto wrong = judge(world); !wrong.empty())
        return wrong;
    world.heal();
    if (world.pending())
        return "background writes never ended";
    auto const first_after = world.attempts().size();
    world.attempt(0, "a", base::milliseconds(0));
    world.attempt(1, "b", base::milliseconds(0));
    world.run();
    // Without a crash and without a lost answer of the service, nothing may be left undecided.
    if (!world.crashed && !faults.contains(fault::lost_response))
        for (auto i = first_after; i < world.attempts().size(); ++i)
            if (executed(*world.attempts()[i]->answer) != base::execution_status::ran)
                return "an order did not run after all faults had ended";
    return judge(world);
}

auto schedules()
{
    return rc::gen::resize(600, rc::gen::container<std::vector<std::uint8_t>>(
                                    rc::gen::resize(256, rc::gen::arbitrary<std::uint8_t>())));
}

constexpr std::int64_t retention_seconds = 4;

/// Sends one order again and again while two nodes sweep with a short retention time.
std::string sweep_violation(std::vector<std::uint8_t> const& choices, mechanism parts = {})
{
    claim_world world(choices, {fault::delay, fault::disconnect, fault::freeze}, parts);
    std::vector<std::unique_ptr<node_parts>> sweepers;
    for (int node = 0; node < 2; ++node)
    {
        sweepers.push_back(std::make_unique<node_parts>(world, world.objects, node));
        world.schedule.spawn(background + node,
                             [&world, &parts_of = *sweepers.back(), node]
                             {
                                 sweep_settings const settings{
                                     "node-" + std::to_string(node), retention_seconds, 60, 1, 100,
                                     base::milliseconds(10)};
                                 claim_sweep sweep(parts_of.store, parts_of.clock, settings);
                                 for (;;)
                                 {
                                     sweep.sweep_if_due();
                                     world.schedule.sleep_for(base::milliseconds(300));
                                 }
                             });
    }
    for (int i = 0; i < 12; ++i)
        world.attempt(i % node_count, "a", base::milliseconds(i * 1200));
    world.run();
    world.schedule.stop_all();
    auto const& times = world.execution_times["a"];
    // Claims carry whole seconds, so that a retention time may be one second short.
    for (std::size_t i = 1; i < times.size(); ++i)
        if (times[i] - times[i - 1] < std::chrono::seconds(retention_seconds - 1))
            return "the order ran again within the retention time";
    return "";
}

std::vector<std::uint8_t> random_choices(base::random_source& random)
{
    std::vector<std::uint8_t> choices(600);
    for (auto& choice : choices)
        choice = static_cast<std::uint8_t>(random());
    return choices;
}

/// Counts the violations in a fixed number of random runs with a part switched off.
int violating_runs(fault_set const& faults, mechanism parts)
{
    constexpr int runs = 240;
    int violations = 0;
    base::random_source random(20261204);
    for (int run = 0; run < runs; ++run)
    {
        if (!violation(random_choices(random), faults, parts).empty())
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

// Guards against a second execution, a false "not run" and a wrong or stuck answer under every
// single fault and every pair of faults.
TEST_P(claims_under_faults, run_each_order_at_most_once)
{
    EXPECT_TRUE(
        rc::check([&] { RC_ASSERT(violation(*schedules(), GetParam()) == std::string()); }));
}
INSTANTIATE_TEST_SUITE_P(single_and_pairs, claims_under_faults,
                         testing::ValuesIn(fault_combinations()));

// Guards against a check that cannot fail: without conditional writes an order runs twice.
TEST(claims, run_twice_when_the_store_ignores_conditions)
{
    EXPECT_GT(violating_runs({fault::delay, fault::duplicate}, {write_conditions::ignored}), 0);
}

// Guards against a check that cannot fail: a node that calls its claim abandoned and dispatches it
// later makes the order run twice.
TEST(claims, run_twice_when_a_node_breaks_its_promise)
{
    EXPECT_GT(violating_runs({fault::freeze, fault::delay}, {write_conditions::checked, false}), 0);
}

// Guards against a sweep that deletes a claim which a resend has taken over since it was listed.
TEST(claims, are_not_run_again_within_the_retention_time)
{
    EXPECT_TRUE(rc::check([&] { RC_ASSERT(sweep_violation(*schedules()) == std::string()); }));
}

// Guards against a check that cannot fail: when deletions ignore the version, a stale list makes
// the sweep delete a fresh claim and the order runs again.
TEST(claims, run_again_within_the_retention_time_when_deletions_ignore_versions)
{
    int violations = 0;
    base::random_source random(20261204);
    for (int run = 0; run < 60; ++run)
        if (!sweep_violation(random_choices(random), {write_conditions::ignored_by_deletions})
                 .empty())
            ++violations;
    RecordProperty("violations", violations);
    EXPECT_GT(violations, 0);
}

} // namespace jasminepier::tests
