#include "tests/support/deployment.hpp"
#include "tests/support/program_run.hpp"
#include "utilities/ctl/conditional_write.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace jasminepier::tests
{
namespace
{

std::string const presets = std::string(JASMINEPIER_SOURCE_DIRECTORY) + "/docs/presets/";

/// Runs jasminepierctl against one deployment.
struct operator_tool
{
    deployment& target;

    program_result operator()(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(),
                         {"--platform-host", target.host(), "--platform-port",
                          std::to_string(platform_port), "--api-key", "demo-key"});
        return run_program("jasminepierctl", arguments);
    }
};

/// A store whose writes stay without an answer. They take effect from attempt `takes_effect_at` on.
struct silent_store
{
    int takes_effect_at = 0;
    int attempts = 0;
    store::object held{"zone", "a", 3, R"({"region":"x"})", false};

    base::result<store::object> get(std::string const&, std::string const&) { return held; }
    base::result<store::object_page> list(std::string const&) { return store::object_page{}; }
    store::write_outcome create(std::string const&, std::string const&, std::string const&)
    {
        return {};
    }
    store::write_outcome update(store::object const& changed)
    {
        if (++attempts == takes_effect_at && changed.version == held.version)
        {
            held = changed;
            held.version = 9;
        }
        return {};
    }
    store::write_outcome remove(store::object const&) { return {}; }
    base::result<store::object_page> watch(std::int64_t, std::vector<std::string> const&)
    {
        return store::object_page{};
    }
};

store::write_status write_to(silent_store store)
{
    return ctl::write_until_known(store, ctl::write_action::update,
                                  {"zone", "a", 3, R"({"region":"y"})", false},
                                  std::chrono::milliseconds(0))
        .status;
}

} // namespace

// Guards against an unanswered write that is reported as a success or as a failure.
TEST(conditional_write, stays_unknown_unless_the_store_shows_the_content)
{
    EXPECT_EQ(write_to({0, 0}), store::write_status::unknown);
    EXPECT_EQ(write_to({2, 0}), store::write_status::applied);
}

// Guards against examples that the validation refuses.
TEST(ctl, creates_every_example_preset)
{
    deployment running("127.0.15.1");
    operator_tool const ctl{running};
    int examples = 0;
    for (auto const& file : std::filesystem::directory_iterator(presets))
    {
        auto const created =
            ctl({"preset", "create", file.path().stem().string(), "--file", file.path().string()});
        EXPECT_EQ(created.status, 0) << created.output;
        ++examples;
    }
    EXPECT_EQ(examples, 3);
    EXPECT_EQ(ctl({"preset", "create", "peak", "--file", presets + "peak.json"}).status, 3);
    EXPECT_EQ(ctl({"preset", "create", "Bad/Name", "--file", presets + "peak.json"}).status, 2);
    auto const shown = ctl({"preset", "show", "peak", "--output", "json"});
    EXPECT_NE(shown.output.find(R"("fill_limit":0.85)"), std::string::npos) << shown.output;
}

// Guards against two presets in force, a silent overwrite by a slower operator, and a lost answer
// that is reported as a failure although the preset is in force.
TEST(ctl, activates_one_preset_conditionally)
{
    deployment running("127.0.15.2");
    operator_tool const ctl{running};
    ctl({"preset", "create", "peak", "--file", presets + "peak.json"});
    ctl({"preset", "create", "ordinary", "--file", presets + "ordinary.json"});
    EXPECT_EQ(ctl({"preset", "activate", "peak"}).status, 0);
    auto const late = ctl({"preset", "activate", "ordinary", "--if-version", "1"});
    EXPECT_EQ(late.status, 3);
    EXPECT_NE(late.output.find(": preset peak\n"), std::string::npos) << late.output;
    running.set_faults(platform_port, R"({"lose_answers":1})");
    auto const resolved = ctl({"preset", "activate", "ordinary"});
    EXPECT_EQ(resolved.status, 0) << resolved.output;
    auto const listed = ctl({"preset", "list", "--output", "json"});
    EXPECT_NE(listed.output.find(R"("name":"ordinary","state":"active")"), std::string::npos)
        << listed.output;
    EXPECT_NE(listed.output.find(R"("name":"peak","state":"")"), std::string::npos);
    running.set_faults(platform_port, R"({"refuse_writes":100})");
    EXPECT_EQ(ctl({"preset", "activate", "peak"}).status, 1);
}

// Guards against a mistyped command that refuses all new work everywhere.
TEST(ctl, keeps_the_last_zone_without_confirmation)
{
    deployment running("127.0.15.3");
    operator_tool const ctl{running};
    EXPECT_EQ(ctl({"zone", "out", "zone-a"}).status, 0);
    EXPECT_EQ(ctl({"zone", "out", "zone-b"}).status, 0);
    auto const kept = ctl({"zone", "out", "zone-c"});
    EXPECT_EQ(kept.status, 1);
    EXPECT_NE(kept.output.find("last zone"), std::string::npos) << kept.output;
    EXPECT_EQ(ctl({"zone", "out", "zone-c", "--yes"}).status, 0);
    EXPECT_EQ(ctl({"zone", "in", "zone-b"}).status, 0);
    auto const listed = ctl({"zone", "list"}).output;
    EXPECT_NE(listed.find("zone-b  local   in_service"), std::string::npos) << listed;
    EXPECT_EQ(ctl({"zone", "out", "zone-x"}).status, 1);
}

// Guards against two operators who each take out one of the last two zones: the conditions of their
// writes are about different objects, so that neither write is refused.
TEST(ctl, keeps_a_zone_when_operators_race)
{
    deployment running("127.0.15.11");
    operator_tool const ctl{running};
    ctl({"zone", "out", "zone-a"});
    // Each call takes long enough that both operators read before either writes.
    running.set_faults(platform_port, R"({"delay_milliseconds":500})");
    std::vector<std::string> arguments{"--platform-host", running.host(), "zone", "out", "zone-b"};
    process first("jasminepierctl", arguments);
    arguments.back() = "zone-c";
    process second("jasminepierctl", arguments);
    auto const first_status = first.wait_for_exit(60);
    auto const second_status = second.wait_for_exit(60);
    EXPECT_TRUE(first_status != 0 || second_status != 0);
    EXPECT_NE(ctl({"zone", "list"}).output.find("in_service"), std::string::npos)
        << first.output() << second.output();
}

// Guards against a wait that ends early, or that does not name the node that did not confirm.
TEST(ctl, waits_for_every_live_node)
{
    deployment running("127.0.15.4");
    operator_tool const ctl{running};
    running.start_engine(1);
    running.start_node(1);
    running.start_node(2);
    ASSERT_TRUE(running.wait_until_ready(1));
    ASSERT_TRUE(running.wait_until_ready(2));
    ctl({"zone", "out", "zone-c"});
    auto const held = running.call(platform_port, "GET", "/objects/zone/zone-c").body;
    auto const version = held.substr(held.find("\"version\":") + 10, 2);
    auto const done = ctl({"wait", "--revision", version, "--timeout-seconds", "20"});
    EXPECT_EQ(done.status, 0) << done.output;
    running.kill_program("entry-2");
    running.kill_program("control-2");
    auto const missed = ctl({"wait", "--revision", "100000", "--timeout-seconds", "0"});
    EXPECT_EQ(missed.status, 5);
    EXPECT_NE(missed.output.find("node-2"), std::string::npos) << missed.output;
    EXPECT_NE(missed.output.find("no_answer"), std::string::npos) << missed.output;
    EXPECT_TRUE(wait_until(
        [&]
        {
            return ctl({"server", "list"}).output.find("warm") != std::string::npos ||
                   ctl({"server", "list"}).output.find("cold") != std::string::npos;
        }));
}

// Guards against a customer whose key is lost or stored in the clear.
TEST(ctl, creates_a_customer_whose_key_is_shown_once)
{
    deployment running("127.0.15.5");
    operator_tool const ctl{running};
    auto const created = ctl({"customer", "create", "garden-centre", "--weight", "3"});
    EXPECT_EQ(created.status, 0) << created.output;
    auto const at = created.output.find("shown only now): ");
    ASSERT_NE(at, std::string::npos);
    auto const key = created.output.substr(at + 17, 64);
    EXPECT_EQ(running.call(platform_port, "GET", "/objects/customer").body.find(key),
              std::string::npos);
    EXPECT_NE(ctl({"customer", "list"}).output.find("garden-centre"), std::string::npos);
    auto const deleted = ctl({"customer", "delete", "garden-centre"});
    EXPECT_EQ(deleted.status, 0);
    EXPECT_NE(deleted.output.find("deleted at version"), std::string::npos) << deleted.output;
    EXPECT_EQ(ctl({"customer", "delete", "garden-centre"}).status, 1);
}

} // namespace jasminepier::tests
