/// `jasminepierctl configuration check` and its rules.
#include "platform/configuration_draft.hpp"
#include "tests/support/program_run.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace jasminepier::serving
{
namespace
{

constexpr char const* clean_configuration = R"({"version":7,
"routes":[{"name":"r","host":"shop.example","path_prefix":"/orders/","route_type":"non_idempotent",
"timeout_ms":1500,"target_latency_ms":100,"service":"app"}],
"services":[{"name":"app","max_connections":10}],
"tenants":[{"name":"a","api_keys":["k1"]}]})";

configuration_draft read_draft(std::string const& text)
{
    auto reading = platform::read_configuration_draft(text);
    EXPECT_TRUE(reading);
    EXPECT_TRUE(reading->errors.empty());
    return reading->draft;
}

configuration_draft make_clean_draft()
{
    return read_draft(clean_configuration);
}

/// The only finding of a draft.
configuration_finding find_only(configuration_draft const& draft,
                                configuration_environment const& environment = {})
{
    auto const findings = check_draft(draft, environment);
    EXPECT_EQ(findings.size(), 1U);
    return findings.empty() ? configuration_finding{} : findings.front();
}

struct temporary_file
{
    explicit temporary_file(std::string const& content)
        : path(::testing::TempDir() + "configuration_check_" + std::to_string(counter++))
    {
        std::ofstream(path) << content;
    }
    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;
    ~temporary_file() { std::remove(path.c_str()); }

    static inline int counter = 0;
    std::string path;
};

tests::program_result check(std::string const& text, std::vector<std::string> options)
{
    temporary_file const file(text);
    options.insert(options.begin(), {"configuration", "check", file.path});
    return tests::run_program("jasminepierctl", options);
}

} // namespace

TEST(configuration_check, has_no_finding_for_a_clean_configuration)
{
    EXPECT_TRUE(check_draft(make_clean_draft(), {110U * 1024 * 1024, 0.2}).empty());
}

TEST(configuration_check, reports_every_entry_that_cannot_be_read)
{
    auto const reading = platform::read_configuration_draft(
        R"({"version":"x","routes":[{"host":1},{"host":"a","path_prefix":"/","route_type":"odd",
        "service":"s"}],"services":7,"limits":[]})");
    ASSERT_TRUE(reading);
    std::vector<std::string> places;
    for (auto const& error : reading->errors)
        places.push_back(error.place);
    EXPECT_EQ(places, (std::vector<std::string>{"version", "routes[0]", "routes[1]", "services",
                                                "limits"}));
}

TEST(configuration_check, finds_routes_that_never_match)
{
    auto draft = make_clean_draft();
    draft.routes.push_back(draft.routes.front());
    EXPECT_EQ(find_only(draft).kind, finding_kind::never_matches);
    EXPECT_EQ(find_only(draft).place, "routes[0] (shop.example/orders/)");
    draft = make_clean_draft();
    draft.routes.front().host = "Shop.example";
    EXPECT_EQ(find_only(draft).kind, finding_kind::never_matches);
}

TEST(configuration_check, finds_services_and_keys_without_use)
{
    auto draft = make_clean_draft();
    draft.services.push_back({"spare", "", 1, 0, std::nullopt});
    EXPECT_EQ(find_only(draft).message, "no route names the service");
    draft = make_clean_draft();
    draft.customers.push_back({{"b", std::nullopt}, {"k1"}});
    EXPECT_EQ(find_only(draft).kind, finding_kind::error);
    EXPECT_EQ(find_only(draft).message, "customers[1] holds the same key");
    draft.customers.back().api_keys.clear();
    EXPECT_EQ(find_only(draft).message, "the customer has no key");
}

TEST(configuration_check, finds_limits_that_contradict_each_other)
{
    auto draft = make_clean_draft();
    draft.routes.front().latency_objective = base::milliseconds(2000);
    EXPECT_EQ(find_only(draft).message, "the latency objective exceeds the timeout");
    draft = make_clean_draft();
    EXPECT_EQ(find_only(draft, {8U * 1024 * 1024, {}}).place, "limits");
    draft.routes.front().idempotency = request_idempotency::idempotent;
    draft.routes.front().maximum_attempts = 2;
    EXPECT_EQ(find_only(draft, {{}, 0.0}).message,
              "several servers are allowed, but the retry budget is 0");
}

TEST(configuration_check, compares_with_the_version_in_force)
{
    auto const in_force = make_clean_draft();
    auto draft = in_force;
    draft.version = 8;
    draft.routes.front().timeout = base::milliseconds(2000);
    draft.customers.front().api_keys = {"k2", "k3"};
    auto const differences = compare_drafts(in_force, draft);
    ASSERT_EQ(differences.size(), 2U);
    EXPECT_EQ(differences[0].place, "route shop.example/orders/");
    EXPECT_EQ(differences[0].message, "timeout ms 1500 -> 2000");
    EXPECT_EQ(differences[1].message, "keys added 2, removed 1");
    EXPECT_EQ(compare_drafts(in_force, in_force).front().kind, finding_kind::error);
}

// Scripts decide by the exit status whether to send the configuration.
TEST(configuration_check, exits_with_0_1_or_2)
{
    EXPECT_EQ(check(clean_configuration, {"--no-comparison"}).status, 0);
    EXPECT_EQ(check(R"({"version":0})", {"--no-comparison"}).status, 1);
    EXPECT_EQ(check("not JSON", {"--no-comparison"}).status, 2);
    temporary_file const in_force(R"({"version":6})");
    auto const compared =
        check(clean_configuration, {"--in-force", in_force.path, "--output", "json"});
    EXPECT_EQ(compared.status, 0);
    EXPECT_NE(compared.output.find(R"("message":"added")"), std::string::npos) << compared.output;
}

} // namespace jasminepier::serving
