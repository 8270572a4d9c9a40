#include "tests/support/deployment.hpp"
#include "tests/support/program_run.hpp"
#include "utilities/ctl/conditional_write.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace jasminepier::tests
{
namespace
{

std::string const preset_directory = std::string(JASMINEPIER_SOURCE_DIRECTORY) + "/docs/presets/";

/// Runs jasminepierctl against one deployment.
struct operator_tool
{
    deployment& tested_deployment;

    program_result operator()(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(),
                         {"--platform-host", tested_deployment.host(), "--platform-port",
                          std::to_string(platform_port), "--api-key", "demo-key"});
        return run_program("jasminepierctl", arguments);
    }
};

/// A store that never responds to writes. Only attempt number `applied_attempt` takes effect; none
/// does if it is 0.
struct unresponsive_store
{
    int applied_attempt = 0;
    int attempts = 0;
    store::object stored{"zone", "a", 3, R"({"region":"x"})", false};

    base::result<store::object> get(std::string const&, std::string const&) { return stored; }
    base::result<store::object_page> list(std::string const&) { return store::object_page{}; }
    store::write_outcome create(std::string const&, std::string const&, std::string const&)
    {
        return {};
    }
    store::write_outcome update(store::object const& changed)
    {
        if (++attempts == applied_attempt && changed.version == stored.version)
        {
            stored = changed;
            stored.version = 9;
        }
        return {};
    }
    store::write_outcome remove(store::object const&) { return {}; }
    base::result<store::object_page> watch(std::int64_t, std::vector<std::string> const&)
    {
        return store::object_page{};
    }
};

store::write_status update_with_retries(unresponsive_store store)
{
    return ctl::write_with_retries(store, ctl::write_action::update,
                                   {"zone", "a", 3, R"({"region":"y"})", false},
                                   std::chrono::milliseconds(0))
        .status;
}

} // namespace

// Guards against reporting a write without a response as succeeded or failed.
TEST(conditional_write, stays_unknown_unless_the_store_holds_the_content)
{
    EXPECT_EQ(update_with_retries({0, 0}), store::write_status::unknown);
    EXPECT_EQ(update_with_retries({2, 0}), store::write_status::applied);
}

// Guards against example presets that fail validation.
TEST(ctl, preset_create_accepts_every_example_preset)
{
    deployment test_deployment("127.0.15.1");
    operator_tool const ctl{test_deployment};
    int preset_count = 0;
    for (auto const& file : std::filesystem::directory_iterator(preset_directory))
    {
        auto const created =
            ctl({"preset", "create", file.path().stem().string(), "--file", file.path().string()});
        EXPECT_EQ(created.status, 0) << created.output;
        ++preset_count;
    }
    EXPECT_EQ(preset_count, 3);
    EXPECT_EQ(ctl({"preset", "create", "peak", "--file", preset_directory + "peak.json"}).status,
              3);
    EXPECT_EQ(
        ctl({"preset", "create", "Bad/Name", "--file", preset_directory + "peak.json"}).status, 2);
    auto const shown = ctl({"preset", "show", "peak", "--output", "json"});
    EXPECT_NE(shown.output.find(R"("fill_limit":0.85)"), std::string::npos) << shown.output;
}

// Guards against two active presets, against overwriting another operator's activation unnoticed,
// and against reporting a failure when only the response to an applied write was lost.
TEST(ctl, preset_activate_is_conditional_and_leaves_one_active_preset)
{
    deployment test_deployment("127.0.15.2");
    operator_tool const ctl{test_deployment};
    ctl({"preset", "create", "peak", "--file", preset_directory + "peak.json"});
    ctl({"preset", "create", "ordinary", "--file", preset_directory + "ordinary.json"});
    EXPECT_EQ(ctl({"preset", "activate", "peak"}).status, 0);
    auto const stale = ctl({"preset", "activate", "ordinary", "--if-version", "1"});
    EXPECT_EQ(stale.status, 3);
    EXPECT_NE(stale.output.find(": preset peak\n"), std::string::npos) << stale.output;
    test_deployment.set_faults(platform_port, R"({"lose_answers":1})");
    auto const retried = ctl({"preset", "activate", "ordinary"});
    EXPECT_EQ(retried.status, 0) << retried.output;
    auto const listed = ctl({"preset", "list", "--output", "json"});
    EXPECT_NE(listed.output.find(R"("name":"ordinary","state":"active")"), std::string::npos)
        << listed.output;
    EXPECT_NE(listed.output.find(R"("name":"peak","state":"")"), std::string::npos);
    test_deployment.set_faults(platform_port, R"({"refuse_writes":100})");
    EXPECT_EQ(ctl({"preset", "activate", "peak"}).status, 1);
}

// Guards against a mistyped command that makes the whole fleet reject new requests.
TEST(ctl, zone_out_keeps_the_last_zone_unless_confirmed)
{
    deployment test_deployment("127.0.15.3");
    operator_tool const ctl{test_deployment};
    EXPECT_EQ(ctl({"zone", "out", "zone-a"}).status, 0);
    EXPECT_EQ(ctl({"zone", "out", "zone-b"}).status, 0);
    auto const rejected = ctl({"zone", "out", "zone-c"});
    EXPECT_EQ(rejected.status, 1);
    EXPECT_NE(rejected.output.find("last zone"), std::string::npos) << rejected.output;
    EXPECT_EQ(ctl({"zone", "out", "zone-c", "--yes"}).status, 0);
    EXPECT_EQ(ctl({"zone", "in", "zone-b"}).status, 0);
    auto const listed = ctl({"zone", "list"}).output;
    EXPECT_NE(listed.find("zone-b  local   in_service"), std::string::npos) << listed;
    EXPECT_EQ(ctl({"zone", "out", "zone-x"}).status, 1);
}

// Guards against two operators who each take out one of the last two zones at the same time: their
// conditional writes concern different objects, so neither write fails.
TEST(ctl, zone_out_keeps_one_zone_when_operators_race)
{
    deployment test_deployment("127.0.15.11");
    operator_tool const ctl{test_deployment};
    ctl({"zone", "out", "zone-a"});
    // The delay of each platform request makes both operators read before either writes.
    test_deployment.set_faults(platform_port, R"({"delay_milliseconds":500})");
    std::vector<std::string> arguments{"--platform-host", test_deployment.host(), "zone", "out",
                                       "zone-b"};
    process first("jasminepierctl", arguments);
    arguments.back() = "zone-c";
    process second("jasminepierctl", arguments);
    auto const first_status = first.wait_for_exit(60);
    auto const second_status = second.wait_for_exit(60);
    EXPECT_TRUE(first_status != 0 || second_status != 0);
    EXPECT_NE(ctl({"zone", "list"}).output.find("in_service"), std::string::npos)
        << first.output() << second.output();
}

// Guards against a wait that ends early or doesn't name the node without confirmation.
TEST(ctl, wait_succeeds_once_every_live_node_confirms)
{
    deployment test_deployment("127.0.15.4");
    operator_tool const ctl{test_deployment};
    test_deployment.start_engine(1);
    test_deployment.start_node(1);
    test_deployment.start_node(2);
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    ASSERT_TRUE(test_deployment.wait_until_ready(2));
    ctl({"zone", "out", "zone-c"});
    auto const zone = test_deployment.call(platform_port, "GET", "/objects/zone/zone-c").body;
    auto const version = zone.substr(zone.find("\"version\":") + 10, 2);
    auto const waited = ctl({"wait", "--revision", version, "--timeout-seconds", "20"});
    EXPECT_EQ(waited.status, 0) << waited.output;
    test_deployment.kill_program("entry-2");
    test_deployment.kill_program("control-2");
    auto const timed_out = ctl({"wait", "--revision", "100000", "--timeout-seconds", "0"});
    EXPECT_EQ(timed_out.status, 5);
    EXPECT_NE(timed_out.output.find("node-2"), std::string::npos) << timed_out.output;
    EXPECT_NE(timed_out.output.find("no_answer"), std::string::npos) << timed_out.output;
    EXPECT_TRUE(wait_until(
        [&]
        {
            return ctl({"server", "list"}).output.find("warm") != std::string::npos ||
                   ctl({"server", "list"}).output.find("cold") != std::string::npos;
        }));
}

// Guards against an API key that is lost or stored in plain text.
TEST(ctl, customer_create_prints_the_key_and_stores_its_digest)
{
    deployment test_deployment("127.0.15.5");
    operator_tool const ctl{test_deployment};
    auto const created = ctl({"customer", "create", "garden-centre", "--weight", "3"});
    EXPECT_EQ(created.status, 0) << created.output;
    auto const key_label = created.output.find("shown only now): ");
    ASSERT_NE(key_label, std::string::npos);
    auto const key = created.output.substr(key_label + 17, 64);
    EXPECT_EQ(test_deployment.call(platform_port, "GET", "/objects/customer").body.find(key),
              std::string::npos);
    EXPECT_NE(ctl({"customer", "list"}).output.find("garden-centre"), std::string::npos);
    auto const deleted = ctl({"customer", "delete", "garden-centre"});
    EXPECT_EQ(deleted.status, 0);
    EXPECT_NE(deleted.output.find("deleted at version"), std::string::npos) << deleted.output;
    EXPECT_EQ(ctl({"customer", "delete", "garden-centre"}).status, 1);
}

} // namespace jasminepier::tests
