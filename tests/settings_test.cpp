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

/// Expects a refused start with exactly one line that contains `parts`.
void expect_refused(std::vector<std::string> const& arguments,
                    std::vector<std::string> const& parts)
{
    auto const refused = run_program("jasminepier-entry", arguments);
    EXPECT_EQ(refused.status, 2);
    EXPECT_EQ(std::count(refused.output.begin(), refused.output.end(), '\n'), 1);
    for (auto const& part : parts)
        EXPECT_NE(refused.output.find(part), std::string::npos) << refused.output;
}

} // namespace

// Guards against a page that describes settings other than those of the programs.
TEST(settings, page_agrees_with_the_programs)
{
    auto const page = read_page("settings.md");
    for (std::string const program :
         {"jasminepier-entry", "jasminepier-control", "jasminepier-node", "jasminepierctl"})
    {
        auto const printed = run_program(program, {"--print-settings"});
        EXPECT_EQ(printed.status, 0);
        EXPECT_NE(page.find(printed.output), std::string::npos)
            << "run meta/generate_docs.sh; " << program << " prints:\n"
            << printed.output;
    }
}

// Guards against a bad value that is replaced by a default or that stops the start without a hint.
TEST(settings, bad_values_stop_the_start_in_one_line)
{
    expect_refused({"--workers", "1"}, {"--workers", "'1'", "2 to 20000"});
    expect_refused({"--workers", "many"}, {"--workers", "'many'", "whole number"});
    expect_refused({"--entry-port", "70000"}, {"--entry-port", "'70000'", "65535"});
    expect_refused({"--host", "entry.example"}, {"--host", "'entry.example'", "IP address"});
    expect_refused({"--log-level", "loud\nx"}, {"--log-level", "debug, info, warning or error"});
    expect_refused({"--check-settings", "--entry-port", "7002"},
                   {"--entry-port", "--control-port", "7002"});
    ASSERT_EQ(setenv("JASMINEPIER_WORKERS", "0", 1), 0);
    expect_refused({}, {"--workers", "'0'", "2 to 20000"});
    unsetenv("JASMINEPIER_WORKERS");
    EXPECT_EQ(run_program("jasminepier-entry", {"--check-settings"}).status, 0);
}

// Guards against a page that promises other answers than those that callers receive.
TEST(errors, page_agrees_with_the_table)
{
    auto const page = read_page("errors.md");
    for (auto const& row : base::error_response_table())
        EXPECT_NE(page.find("| `" + std::string(row.code) + "` | " +
                            std::to_string(row.http_status) + " | `" + std::string(row.type) +
                            "` | `" + std::string(to_string(row.execution)) + "` | "),
                  std::string::npos)
            << row.code;
    auto const printed = run_program("jasminepierctl", {"error-table"});
    EXPECT_NE(page.find(printed.output), std::string::npos) << printed.output;
}

} // namespace jasminepier::tests
