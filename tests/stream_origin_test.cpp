/// What a node knows about the versions that began streams. No network.
#include "serving/service_version_history.hpp"
#include "serving/stream_origin_table.hpp"

#include <gtest/gtest.h>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(100)};
constexpr auto window = service_version_history::minimum_window;
constexpr version_hash version_1 = hash_version("engines", "v1");
constexpr version_hash version_2 = hash_version("engines", "v2");

TEST(service_version_history, node_that_has_just_started_knows_nothing)
{
    service_version_history history;
    EXPECT_FALSE(history.find_only_version(start));
    history.record_listed("v1", start);
    EXPECT_FALSE(history.find_only_version(start + seconds(1)));
    history.record_listed("v1", start + window);
    EXPECT_EQ(history.find_only_version(start + window), "v1");
}

TEST(service_version_history, record_in_the_store_replaces_own_observation)
{
    service_version_history history;
    history.record_stored({"v1"}, start);
    EXPECT_FALSE(history.find_only_version(start)) << "no server is known yet";
    history.record_listed("v1", start);
    EXPECT_EQ(history.find_only_version(start), "v1");
    history.forget_stored();
    EXPECT_FALSE(history.find_only_version(start));
}

// Guards against taking the only listed version for the only one that has begun streams.
TEST(service_version_history, version_that_has_left_counts_until_its_streams_have_ended)
{
    service_version_history history;
    history.record_stored({"v1", "v2"}, start);
    history.record_listed("v2", start);
    EXPECT_FALSE(history.find_only_version(start));
    auto const end = start + window;
    history.record_listed("v2", end - milliseconds(1));
    history.expire(end - milliseconds(1));
    EXPECT_EQ(history.versions(), (std::set<std::string>{"v1", "v2"}));
    history.expire(end);
    EXPECT_EQ(history.versions(), std::set<std::string>{"v2"});
    EXPECT_EQ(history.find_only_version(end), "v2");
}

TEST(service_version_history, window_covers_the_longest_timeout_ever_seen)
{
    service_version_history history;
    history.extend_window(seconds(90));
    history.extend_window(seconds(6));
    EXPECT_EQ(history.window(), seconds(90));
    EXPECT_EQ(service_version_history().window(), window);
}

TEST(service_version_history, same_name_in_another_service_is_another_version)
{
    EXPECT_NE(hash_version("engines", "v1"), hash_version("other", "v1"));
}

bool share_all(std::string const&)
{
    return true;
}

TEST(stream_origin_table, origin_is_reported_three_times)
{
    stream_origin_table table;
    table.record("r1", "engines", version_1, start);
    stream_origin const origin{hash_stream("r1"), version_1};
    for (int i = 0; i < stream_origin_table::reports_per_origin; ++i)
        EXPECT_EQ(table.take_report(10, share_all), std::vector{origin});
    EXPECT_TRUE(table.take_report(10, share_all).empty());
}

// While one version serves alone its streams need no reports; once another one appears, peers need
// those that run.
TEST(stream_origin_table, origins_are_kept_until_they_are_shared)
{
    stream_origin_table table;
    table.record("r1", "engines", version_1, start);
    auto const share_none = [](std::string const&) { return false; };
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(table.take_report(10, share_none).empty());
    EXPECT_EQ(table.take_report(10, share_all).size(), 1U);
    table.record("r2", "engines", version_1, start);
    table.expire(window, start + window);
    EXPECT_TRUE(table.take_report(10, share_all).empty());
    EXPECT_FALSE(table.find("r1"));
}

TEST(stream_origin_table, report_that_is_full_goes_on_with_the_next_origins)
{
    stream_origin_table table;
    for (int i = 0; i < 5; ++i)
        table.record("r" + std::to_string(i), "engines", version_1, start);
    std::map<std::uint64_t, int> reported;
    for (int i = 0; i < 20; ++i)
        for (auto const& origin : table.take_report(2, share_all))
            ++reported[origin.stream];
    ASSERT_EQ(reported.size(), 5U);
    for (auto const& [stream, count] : reported)
        EXPECT_EQ(count, stream_origin_table::reports_per_origin);
}

TEST(stream_origin_table, peers_learn_of_origins_and_keep_the_first_one)
{
    stream_origin_table table;
    stream_origin const first[] = {{hash_stream("r1"), version_1}};
    stream_origin const second[] = {{hash_stream("r1"), version_2}};
    table.merge(first, true, start);
    table.merge(second, true, start);
    EXPECT_EQ(table.find("r1"), version_1);
    EXPECT_FALSE(table.find("r2"));
    EXPECT_TRUE(table.take_report(10, share_all).empty()) << "only own streams are reported";
}

TEST(stream_origin_table, summary_has_the_latest_streams_of_the_own_zone)
{
    stream_origin_table table;
    stream_origin const of_zone[] = {{1, version_1}};
    stream_origin const of_other_zone[] = {{2, version_1}};
    table.record("old", "engines", version_1, start);
    auto const later = start + stream_origin_table::summary_period;
    table.merge(of_zone, true, later);
    table.merge(of_other_zone, false, later);
    EXPECT_EQ(table.summarize(10, later), std::vector(std::begin(of_zone), std::end(of_zone)));
}

// Guards against a table that grows without end.
TEST(stream_origin_table, oldest_origins_are_forgotten_beyond_the_limit)
{
    stream_origin_table table;
    auto const count = stream_origin_table::maximum_origins + 10;
    for (std::size_t i = 0; i < count; ++i)
        table.record("r" + std::to_string(i), "engines", version_1, start);
    EXPECT_EQ(table.size(), stream_origin_table::maximum_origins);
    EXPECT_FALSE(table.find("r0"));
    EXPECT_TRUE(table.find("r" + std::to_string(count - 1)));
    // A stream that goes on is as young as its latest continuation.
    table.record("r20", "engines", version_1, start + seconds(20));
    table.expire(window, start + window);
    EXPECT_EQ(table.size(), 1U);
    EXPECT_TRUE(table.find("r20"));
}

} // namespace
} // namespace jasminepier::serving
