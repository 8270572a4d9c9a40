/// Verdicts about prompt parts that were there when several causes crashed servers.
#include "tests/support/report_network.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace jasminepier::decision
{
namespace
{

using namespace std::chrono_literals;

// Guards against rejecting a sound part without a trial because two deadly parts, neither of which
// was there in all crashes, were used beside it.
TEST(poison_prompt_part, is_not_rejected_for_the_crashes_of_two_other_parts)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    detector.record_answered(make_parts({"system"}), now);
    auto server = 0;
    auto const crash = [&](std::string_view deadly)
    {
        detector.record_unanswered(make_parts({"system", deadly}), std::to_string(server++), "",
                                   now += 1s);
    };
    for (auto const* deadly : {"deadly-1", "deadly-2", "deadly-1", "deadly-2", "deadly-1"})
        crash(deadly);
    EXPECT_TRUE(find_rejected_part(detector, make_parts({"other", "deadly-1"}), now));
    EXPECT_FALSE(find_rejected_part(detector, make_parts({"system", "own"}), now));
}

// Guards against rejecting a sound part without a trial because one of its crashes had another
// cause than those that a rejected part explains.
TEST(poison_prompt_part, is_not_rejected_if_another_part_explains_most_of_its_crashes)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    detector.record_unanswered(make_parts({"system", "own"}), "s0", "", now += 1s);
    detector.record_unanswered(make_parts({"system", "deadly"}), "s1", "", now += 1s);
    detector.record_unanswered(make_parts({"system", "deadly"}), "s2", "", now += 1s);
    detector.record_unanswered(make_parts({"other", "deadly"}), "s3", "", now += 1s);
    ASSERT_TRUE(find_rejected_part(detector, make_parts({"deadly"}), now));
    EXPECT_FALSE(find_rejected_part(detector, make_parts({"system", "own"}), now));
}

} // namespace
} // namespace jasminepier::decision
