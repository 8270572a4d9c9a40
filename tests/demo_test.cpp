#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace jasminepier::tests
{
namespace
{

/// Used by no other test, so that the demo's processes can be counted by this address.
constexpr char const* demo_host = "127.0.15.8";

int count_demo_processes()
{
    int count = 0;
    std::error_code ignored;
    for (auto const& entry : std::filesystem::directory_iterator("/proc", ignored))
    {
        std::ifstream file(entry.path() / "cmdline", std::ios::binary);
        std::string const arguments(std::istreambuf_iterator<char>(file), {});
        count += arguments.find(demo_host) != std::string::npos ? 1 : 0;
    }
    return count;
}

/// Starts the demo, interrupts it twice once it has printed `text`, and expects the exit status and
/// the end of all its processes.
void interrupt_after(std::string const& text, int signal, int expected_status)
{
    // The path of a program is relative to the build directory.
    auto const script = std::filesystem::relative(JASMINEPIER_SOURCE_DIRECTORY "/meta/demo.sh",
                                                  JASMINEPIER_BINARY_DIRECTORY);
    process demo(script.string(), {});
    ASSERT_TRUE(wait_until([&] { return demo.output().find(text) != std::string::npos; }))
        << demo.output();
    EXPECT_GT(count_demo_processes(), 0);
    demo.send_signal(signal);
    demo.send_signal(signal);
    EXPECT_EQ(demo.wait_for_exit(60), expected_status) << demo.output();
    EXPECT_TRUE(wait_until([] { return count_demo_processes() == 0; }));
}

} // namespace

// Guards against processes that an interrupted demo leaves running on its ports.
TEST(demo, stops_all_processes_when_interrupted)
{
    ASSERT_EQ(setenv("DEMO_HOST", demo_host, 1), 0);
    ASSERT_EQ(setenv("JASMINEPIER_SKIP_BUILD", "1", 1), 0);
    ASSERT_EQ(setenv("BUILD_DIRECTORY", JASMINEPIER_BINARY_DIRECTORY, 1), 0);
    interrupt_after("preset create ordinary", SIGINT, 130);
    interrupt_after("== short question", SIGTERM, 143);
}

} // namespace jasminepier::tests
