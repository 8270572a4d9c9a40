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
constexpr int first_background_node = 10;
constexpr base::milliseconds round_interval{2500};
/// Maximum time between the check of the lease and the arrival of a command if the sender isn't
/// paused.
constexpr base::milliseconds maximum_delivery_time{5000};
constexpr base::milliseconds fault_phase{60000};

/// Protections that a test disables to show that the checks detect their absence.
struct protections
{
    write_conditions conditions = write_conditions::checked;
    base::milliseconds safety_margin{5000};
    std::size_t maximum_loads_per_window = 2;
};

struct accepted_command
{
    placement_command command;
    std::int64_t fencing_number = 0;
    int node = 0;
    base::time_point time;
    /// The server had already accepted a higher fencing number.
    bool stale = false;
    /// The lease holder was paused between the check of its lease and the arrival of the command.
    bool paused = false;
};

/// A server that enforces or ignores fencing numbers.
struct simulated_engine
{
    bool enforces_fencing = false;
    std::int64_t highest_fencing_number = 0;
    reported_placement state;

    bool accept(placement_command const& command, std::int64_t fencing_number)
    {
        if (fencing_number < highest_fencing_number && enforces_fencing)
            return false;
        highest_fencing_number = std::max(highest_fencing_number, fencing_number);
        std::erase(state.models, command.model);
        if (command.action == command_action::load_model)
            state.models.push_back(command.model);
        if (command.action == command_action::set_role)
            state.role = command.role;
        return true;
    }
};

struct placement_world
{
    simulation schedule;
    simulated_store_state objects;
    protections protections_used;
    std::map<std::string, simulated_engine> engines;
    std::vector<accepted_command> accepted_commands;
    int started_controllers = 0;

    placement_world(std::vector<std::uint8_t> choices, fault_set faults, protections enabled)
        : schedule(std::move(choices)),
          objects{schedule, std::move(faults), enabled.conditions, {}, {}, {}},
          protections_used(enabled)
    {
        for (int i = 0; i < 4; ++i)
            engines["engine-" + std::to_string(i)] = {i % 2 == 0, 0, {{"old"}, ""}};
        for (auto const& [name, engine] : engines)
            objects.objects.write("placement", name, stand_ins::must_not_exist,
                                  R"({"models":["a","b"],"role":"decode"})");
        for (int node = 0; node < node_count; ++node)
            start_controller(node);
    }

    placement_world(placement_world const&) = delete;
    placement_world& operator=(placement_world const&) = delete;
    ~placement_world() { schedule.stop_all(); }

    void start_controller(int node)
    {
        auto const instance = std::to_string(node) + "/" + std::to_string(++started_controllers);
        schedule.spawn(first_background_node + node,
                       [this, node, instance] { run_controller(node, instance); });
    }

    void run_controller(int node, std::string const& instance)
    {
        simulated_store store(objects);
        simulated_clock const clock{schedule};
        struct sender
        {
            placement_world& world;
            int node;
            base::result<void> send(placement_command const& command, std::int64_t fencing_number)
            {
                return world.deliver(node, command, fencing_number);
            }
        } node_sender{*this, node};
        placement_controller controller(store, node_sender, clock,
                                        {"node-" + std::to_string(node), instance,
                                         base::milliseconds(15000), protections_used.safety_margin},
                                        {protections_used.maximum_loads_per_window});
        for (;;)
        {
            reported_placements reported;
            for (auto const& [name, engine] : engines)
                reported[name] = engine.state;
            controller.run_round(reported);
            schedule.sleep_for(round_interval);
        }
    }

    base::result<void> deliver(int node, placement_command const& command,
                               std::int64_t fencing_number)
    {
        auto const checked_at = schedule.now();
        // A pause during this yield lies between the check of the lease and the send.
        schedule.yield();
        if (objects.should_inject(fault::disconnect, 20))
            return base::fail(base::error_kind::server_unreachable, "cut");
        if (objects.should_inject(fault::delay, 20))
            schedule.sleep_for(base::milliseconds(1500));
        auto& engine = engines[command.server];
        bool const stale = fencing_number < engine.highest_fencing_number;
        if (!engine.accept(command, fencing_number))
            return base::fail(base::error_kind::stale_fencing_number, "old number");
        bool const paused = schedule.now() - checked_at > maximum_delivery_time;
        accepted_commands.push_back({command, fencing_number, node, schedule.now(), stale, paused});
        if (objects.should_inject(fault::lost_response, 20))
            return base::fail(base::error_kind::server_failed, "lost");
        return {};
    }

    void inject_faults()
    {
        if (objects.should_inject(fault::crash, 1))
        {
            auto const node = schedule.draw_index(node_count);
            schedule.kill(first_background_node + node);
            start_controller(node);
        }
        if (objects.should_inject(fault::freeze, 3))
            schedule.freeze(first_background_node + schedule.draw_index(node_count),
                            base::milliseconds(40000));
        if (schedule.draw_bool(10))
            objects.apply_delayed_write();
    }

    void run_for(base::milliseconds duration)
    {
        schedule.spawn(0, [this, duration] { schedule.sleep_for(duration); });
        schedule.run(first_background_node, [this] { inject_faults(); });
    }

    bool matches_desired_state() const
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

/// Returns a description of the first violated guarantee, or an empty string.
std::string find_violation(placement_world const& world)
{
    std::map<std::int64_t, int> node_by_fencing_number;
    std::vector<base::time_point> load_times;
    for (auto const& each : world.accepted_commands)
    {
        if (node_by_fencing_number.try_emplace(each.fencing_number, each.node).first->second !=
            each.node)
            return "two nodes sent commands with the same fencing number";
        if (each.stale && world.engines.at(each.command.server).enforces_fencing)
            return "a server that enforces fencing accepted a stale command";
        // Commands are sent one at a time, so a pause can explain only one stale command.
        if (each.stale && !each.paused)
            return "a stale command was sent without a pause after the check";
        if (each.command.action == command_action::load_model && !each.paused)
            load_times.push_back(each.time);
    }
    // A command may be in flight for 1.5 s, so servers may observe a window shorter than 10 s.
    for (std::size_t i = 2; i < load_times.size(); ++i)
        if (load_times[i] - load_times[i - 2] < std::chrono::milliseconds(8400))
            return "too many model loads started in one window";
    return "";
}

std::string run_and_find_violation(std::vector<std::uint8_t> const& choices,
                                   fault_set const& faults, protections protections_used = {})
{
    placement_world world(choices, faults, protections_used);
    world.run_for(fault_phase);
    world.objects.faults.clear();
    // Long enough for a pause, the expiry of the lease and the loads of all servers.
    world.run_for(base::milliseconds(180000));
    if (!world.matches_desired_state())
        return "the desired state was not reached";
    return find_violation(world);
}

std::vector<fault_set> fault_combinations()
{
    std::vector<fault_set> combinations;
    for (int first = 0; first < fault_count; ++first)
        for (int second = first; second < fault_count; ++second)
            combinations.push_back({static_cast<fault>(first), static_cast<fault>(second)});
    return combinations;
}

int count_violating_runs(fault_set const& faults, protections protections_used)
{
    constexpr int runs = 60;
    int violations = 0;
    base::random_source random(20261204);
    for (int run = 0; run < runs; ++run)
    {
        std::vector<std::uint8_t> choices(2000);
        for (auto& choice : choices)
            choice = static_cast<std::uint8_t>(random());
        if (!run_and_find_violation(choices, faults, protections_used).empty())
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

// Guards against stale commands, two lease holders with the same fencing number, too many model
// loads, and servers that never reach their desired state, under each fault and each pair of
// faults.
TEST_P(placement_under_faults, sends_no_stale_commands_and_reaches_the_desired_state)
{
    EXPECT_TRUE(rc::check(
        [&]
        {
            auto const choices = *rc::gen::resize(
                2000, rc::gen::container<std::vector<std::uint8_t>>(
                          rc::gen::resize(256, rc::gen::arbitrary<std::uint8_t>())));
            RC_ASSERT(run_and_find_violation(choices, GetParam()) == std::string());
        }));
}
INSTANTIATE_TEST_SUITE_P(single_and_pairs, placement_under_faults,
                         testing::ValuesIn(fault_combinations()));

// Guards against checks that can't fail: each test disables one protection and expects violations.
TEST(placement_checks_detect, a_store_that_ignores_write_conditions)
{
    base::configure_logging(base::log_level::error);
    EXPECT_GT(count_violating_runs({fault::delay, fault::duplicate}, {write_conditions::ignored}),
              0);
}
TEST(placement_checks_detect, a_holder_that_never_checks_its_lease)
{
    base::configure_logging(base::log_level::error);
    EXPECT_GT(count_violating_runs({fault::freeze, fault::disconnect},
                                   {write_conditions::checked, base::milliseconds(-1000000)}),
              0);
}
TEST(placement_checks_detect, a_missing_load_limit)
{
    base::configure_logging(base::log_level::error);
    EXPECT_GT(count_violating_runs({fault::disconnect},
                                   {write_conditions::checked, base::milliseconds(5000), 1000}),
              0);
}

} // namespace jasminepier::tests
