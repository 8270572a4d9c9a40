#include "base/error.hpp"
#include "tests/support/program_run.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace jasminepier::tests
{
namespace
{

std::string read_page(std::string const& name)
{
    std::ifstream in(std::string(JASMINEPIER_SOURCE_DIRECTORY) + "/docs/" + name);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Expects that the program exits with status 2 and prints exactly one line, which contains each of
/// `expected_parts`.
void expect_startup_error(std::vector<std::string> const& arguments,
                          std::vector<std::string> const& expected_parts)
{
    auto const result = run_program("jasminepier-entry", arguments);
    EXPECT_EQ(result.status, 2);
    EXPECT_EQ(std::count(result.output.begin(), result.output.end(), '\n'), 1);
    for (auto const& part : expected_parts)
        EXPECT_NE(result.output.find(part), std::string::npos) << result.output;
}

} // namespace

// Guards against a settings page that differs from the settings of the programs.
TEST(settings, page_matches_printed_settings)
{
    auto const page = read_page("settings.md");
    for (std::string const program :
         {"jasminepier-entry", "jasminepier-control", "jasminepier-node", "jasminepierctl"})
    {
        auto const result = run_program(program, {"--print-settings"});
        EXPECT_EQ(result.status, 0);
        EXPECT_NE(page.find(result.output), std::string::npos)
            << "run meta/generate_docs.sh; " << program << " prints:\n"
            << result.output;
    }
}

// Guards against an invalid value that is silently replaced by the default, and against an error
// that doesn't name the setting and the allowed values.
TEST(settings, invalid_values_are_reported_in_one_line)
{
    expect_startup_error({"--workers", "1"}, {"--workers", "'1'", "2 to 20000"});
    expect_startup_error({"--workers", "many"}, {"--workers", "'many'", "whole number"});
    expect_startup_error({"--entry-port", "70000"}, {"--entry-port", "'70000'", "65535"});
    expect_startup_error({"--host", "entry.example"}, {"--host", "'entry.example'", "IP address"});
    expect_startup_error({"--log-level", "loud\nx"},
                         {"--log-level", "debug, info, warning or error"});
    expect_startup_error({"--check-settings", "--entry-port", "7002"},
                         {"--entry-port", "--control-port", "7002"});
    ASSERT_EQ(setenv("JASMINEPIER_WORKERS", "0", 1), 0);
    expect_startup_error({}, {"--workers", "'0'", "2 to 20000"});
    unsetenv("JASMINEPIER_WORKERS");
    EXPECT_EQ(run_program("jasminepier-entry", {"--check-settings"}).status, 0);
}

// Guards against an errors page that differs from the responses that callers receive.
TEST(errors, page_matches_response_table)
{
    auto const page = read_page("errors.md");
    for (auto const& row : base::error_response_table())
        EXPECT_NE(page.find("| `" + std::string(row.code) + "` | " +
                            std::to_string(row.http_status) + " | `" + std::string(row.type) +
                            "` | `" + std::string(to_string(row.execution)) + "` | "),
                  std::string::npos)
            << row.code;
    auto const result = run_program("jasminepierctl", {"error-table"});
    EXPECT_NE(page.find(result.output), std::string::npos) << result.output;
}

} // namespace jasminepier::tests
