#include "placement/placement_controller.hpp"
#include "tests/support/simulated_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminepier::tests
{
namespace
{

using namespace placement;

constexpr int node_count = 3;
constexpr int background = 10;
constexpr base::milliseconds round_interval{2500};
/// Longest way of an order without a pause.
constexpr base::milliseconds longest_way{5000};
constexpr base::milliseconds main_phase{60000};

/// Parts of the mechanism that a test switches off to show that its check notices.
struct mechanism
{
    write_conditions conditions = write_conditions::checked;
    base::milliseconds safety_margin{5000};
    std::size_t maximum_loads_per_window = 2;
};

struct accepted_order
{
    placement_command order;
    std::int64_t number = 0;
    int node = 0;
    base::time_point time;
    /// The server had accepted a higher number before.
    bool stale = false;
    /// The holder was paused between the check of its lease and the arrival.
    bool paused = false;
};

/// A server that enforces or ignores fencing numbers.
struct simulated_engine
{
    bool enforces = false;
    std::int64_t highest = 0;
    reported_placement state;

    bool accept(placement_command const& order, std::int64_t number)
    {
        if (number < highest && enforces)
            return false;
        highest = std::max(highest, number);
        std::erase(state.models, order.model);
        if (order.action == command_action::load_model)
            state.models.push_back(order.model);
        if (order.action == command_action::set_role)
            state.role = order.role;
        return true;
    }
};

struct placement_world
{
    simulation schedule;
    simulated_store_state objects;
    mechanism parts;
    std::map<std::string, simulated_engine> engines;
    std::vector<accepted_order> accepted;
    int starts = 0;

    placement_world(std::vector<std::uint8_t> choices, fault_set faults, mechanism switched)
        : schedule(std::move(choices)),
          objects{schedule, std::move(faults), switched.conditions, {}, {}, {}}, parts(switched)
    {
        for (int i = 0; i < 4; ++i)
            engines["engine-" + std::to_string(i)] = {i % 2 == 0, 0, {{"old"}, ""}};
        for (auto const& [name, engine] : engines)
            objects.objects.write("placement", name, stand_ins::must_not_exist,
                                  R"({"models":["a","b"],"role":"decode"})");
        for (int node = 0; node < node_count; ++node)
            start(node);
    }

    placement_world(placement_world const&) = delete;
    placement_world& operator=(placement_world const&) = delete;
    ~placement_world() { schedule.stop_all(); }

    void start(int node)
    {
        auto const instance = std::to_string(node) + "/" + std::to_string(++starts);
        schedule.spawn(background + node, [this, node, instance] { control(node, instance); });
    }

    void control(int node, std::string const& instance)
    {
        simulated_store store(objects);
        simulated_clock const clock{schedule};
        struct sender
        {
            placement_world& world;
            int node;
            base::result<void> send(placement_command const& order, std::int64_t number)
            {
                return world.deliver(node, order, number);
            }
        } orders{*this, node};
        placement_controller controller(store, orders, clock,
                                        {"node-" + std::to_string(node), instance,
                                         base::milliseconds(15000), parts.safety_margin},
                                        {parts.maximum_loads_per_window});
        for (;;)
        {
            reported_placements reported;
            for (auto const& [name, engine] : engines)
                reported[name] = engine.state;
            controller.run_round(reported);
            schedule.sleep_for(round_interval);
        }
    }

    base::result<void> deliver(int node, placement_command const& order, std::int64_t number)
    {
        auto const checked = schedule.now();
        // A pause here lies between the check of the lease and the send.
        schedule.yield();
        if (objects.should_inject(fault::disconnect, 20))
            return base::fail(base::error_kind::server_unreachable, "cut");
        if (objects.should_inject(fault::delay, 20))
            schedule.sleep_for(base::milliseconds(1500));
        auto& engine = engines[order.server];
        bool const stale = number < engine.highest;
        if (!engine.accept(order, number))
            return base::fail(base::error_kind::stale_fencing_number, "old number");
        bool const paused = schedule.now() - checked > longest_way;
        accepted.push_back({order, number, node, schedule.now(), stale, paused});
        if (objects.should_inject(fault::lost_response, 20))
            return base::fail(base::error_kind::server_failed, "lost");
        return {};
    }

    void disturb()
    {
        if (objects.should_inject(fault::crash, 1))
        {
            auto const node = schedule.draw_index(node_count);
            schedule.kill(background + node);
            start(node);
        }
        if (objects.should_inject(fault::freeze, 3))
            schedule.freeze(background + schedule.draw_index(node_count),
                            base::milliseconds(40000));
        if (schedule.draw_bool(10))
            objects.apply_delayed_write();
    }

    void run_for(base::milliseconds duration)
    {
        schedule.spawn(0, [this, duration] { schedule.sleep_for(duration); });
        schedule.run(background, [this] { disturb(); });
    }

    bool settled() const
    {
        return std::all_of(engines.begin(), engines.end(),
                           [](auto const& each)
                           {
                               auto models = each.second.state.models;
                               std::sort(models.begin(), models.end());
                               return models == std::vector<std::string>{"a", "b"} &&
                                      each.second.state.role == "decode";
                           });
    }
};

/// Returns what is wrong with the run; empty when every guarantee was kept.
std::string judge(placement_world const& world)
{
    std::map<std::int64_t, int> nodes;
    std::vector<base::time_point> loads;
    for (auto const& each : world.accepted)
    {
        if (nodes.try_emplace(each.number, each.node).first->second != each.node)
            return "two nodes sent orders with one fencing number";
        if (each.stale && world.engines.at(each.order.server).enforces)
            return "a server that enforces the number accepted a stale order";
        // One pause lies within one order, so that each pause explains one stale order.
        if (each.stale && !each.paused)
            return "a stale order was sent without a pause after the check";
        if (each.order.action == command_action::load_model && !each.paused)
            loads.push_back(each.time);
    }
    // An order may be 1.5 s on its way, so that the window seen by servers is shorter.
    for (std::size_t i = 2; i < loads.size(); ++i)
        if (loads[i] - loads[i - 2] < std::chrono::milliseconds(8400))
            return "too many loads started in one window";
    return "";
}

std::string violation(std::vector<std::uint8_t> const& choices, fault_set const& faults,
                      mechanism parts = {})
{
    placement_world world(choices, faults, parts);
    world.run_for(main_phase);
    world.objects.faults.clear();
    // Long enough for a pause, a lapse and the loads of all servers.
    world.run_for(base::milliseconds(180000));
    if (!world.settled())
        return "the desired state was not reached";
    return judge(world);
}

std::vector<fault_set> fault_combinations()
{
    std::vector<fault_set> sets;
    for (int first = 0; first < fault_count; ++first)
        for (int second = first; second < fault_count; ++second)
            sets.push_back({static_cast<fault>(first), static_cast<fault>(second)});
    return sets;
}

int violating_runs(fault_set const& faults, mechanism parts)
{
    constexpr int runs = 60;
    int violations = 0;
    base::random_source random(20261204);
    for (int run = 0; run < runs; ++run)
    {
        std::vector<std::uint8_t> choices(2000);
        for (auto& choice : choices)
            choice = static_cast<std::uint8_t>(random());
        if (!violation(choices, faults, parts).empty())
            ++violations;
    }
    testing::Test::RecordProperty("violations", violations);
    return violations;
}

class placement_under_faults : public testing::TestWithParam<fault_set>
{
protected:
    void SetUp() override { base::configure_logging(base::log_level::error); }
};

} // namespace

// Guards against stale orders, two holders with one number and too many loads under every single
// fault and every pair of faults, and against a desired state that is never restored.
TEST_P(placement_under_faults, keeps_the_guarantees)
{
    EXPECT_TRUE(rc::check(
        [&]
        {
            auto const choices = *rc::gen::resize(
                2000, rc::gen::container<std::vector<std::uint8_t>>(
                          rc::gen::resize(256, rc::gen::arbitrary<std::uint8_t>())));
            RC_ASSERT(violation(choices, GetParam()) == std::string());
        }));
}
INSTANTIATE_TEST_SUITE_P(single_and_pairs, placement_under_faults,
                         testing::ValuesIn(fault_combinations()));

// Guards against checks that cannot fail: each part of the mechanism is switched off in turn.
TEST(placement_checks_notice, a_store_that_ignores_conditions)
{
    base::configure_logging(base::log_level::error);
    EXPECT_GT(violating_runs({fault::delay, fault::duplicate}, {write_conditions::ignored}), 0);
}
TEST(placement_checks_notice, a_holder_that_never_checks_its_lease)
{
    base::configure_logging(base::log_level::error);
    EXPECT_GT(violating_runs({fault::freeze, fault::disconnect},
                             {write_conditions::checked, base::milliseconds(-1000000)}),
              0);
}
TEST(placement_checks_notice, a_missing_load_limit)
{
    base::configure_logging(base::log_level::error);
    EXPECT_GT(violating_runs({fault::disconnect},
                             {write_conditions::checked, base::milliseconds(5000), 1000}),
              0);
}

} // namespace jasminepier::tests
