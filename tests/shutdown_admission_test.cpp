#include "decision/shutdown_admission.hpp"

#include <gtest/gtest.h>

namespace jasminepier::decision
{
namespace
{

using std::chrono::milliseconds;

constexpr base::time_point start{std::chrono::seconds(1000)};

TEST(shutdown_admission, admits_everything_before_the_shutdown)
{
    shutdown_admission const admission;
    EXPECT_FALSE(admission.begun());
    EXPECT_TRUE(admission.admits(std::nullopt));
    EXPECT_EQ(admission.response_deadline(start), start);
}

// Guards against requests that are started although the process may end before their response.
TEST(shutdown_admission, admits_only_requests_that_end_before_the_process)
{
    shutdown_admission admission;
    auto const end = start + milliseconds(7600);
    admission.begin(start, end);
    EXPECT_TRUE(admission.begun());
    EXPECT_TRUE(admission.admits(end));
    EXPECT_FALSE(admission.admits(end + milliseconds(1)));
    EXPECT_FALSE(admission.admits(std::nullopt));
    EXPECT_EQ(admission.response_deadline(end + milliseconds(1)), end);
    EXPECT_EQ(admission.response_deadline(start + milliseconds(100)), start + milliseconds(100));
    EXPECT_EQ(admission.elapsed(start + milliseconds(250)), milliseconds(250));
    EXPECT_EQ(admission.elapsed(start - milliseconds(250)), milliseconds(-250));
}

TEST(shutdown_admission, admits_everything_without_an_end)
{
    shutdown_admission admission;
    admission.begin(start, std::nullopt);
    EXPECT_TRUE(admission.begun());
    EXPECT_TRUE(admission.admits(std::nullopt));
    EXPECT_EQ(admission.response_deadline(start), start);
}

} // namespace
} // namespace jasminepier::decision
