#include "metrics/exposition.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <thread>

namespace jasminepier::metrics
{

constexpr std::array upper_bounds{0.0, 0.01, 0.038, 0.5};

// Guards against observations in a neighbouring bucket: a value equal to an upper bound belongs to
// the bucket of that bound.
RC_GTEST_PROP(duration_histogram, counts_match_a_search_in_the_bounds,
              (std::vector<std::int32_t> values))
{
    duration_histogram histogram(upper_bounds);
    std::vector<std::uint64_t> expected(upper_bounds.size() + 1);
    std::int64_t sum = 0;
    values.insert(values.end(), {0, 10000, 10001, 38000, 500000, 500001});
    for (auto const random_value : values)
    {
        std::int64_t const value = random_value % 1000000;
        histogram.observe(std::chrono::microseconds(value));
        sum += value;
        auto const bucket = std::lower_bound(upper_bounds.begin(), upper_bounds.end(),
                                             static_cast<double>(value) / 1e6);
        ++expected[static_cast<std::size_t>(bucket - upper_bounds.begin())];
    }
    RC_ASSERT(histogram.counts() == expected);
    RC_ASSERT(std::abs(histogram.sum_seconds() - static_cast<double>(sum) / 1e6) < 1e-9);
}

// Guards against observations that are lost when threads write at the same time.
TEST(duration_histogram, counts_all_observations_of_concurrent_threads)
{
    duration_histogram histogram(upper_bounds);
    std::vector<std::thread> threads;
    threads.reserve(20);
    for (int thread = 0; thread < 20; ++thread)
        threads.emplace_back(
            [&]
            {
                for (int i = 0; i < 5000; ++i)
                    histogram.observe(std::chrono::microseconds(i * 200));
            });
    for (auto& thread : threads)
        thread.join();
    std::uint64_t total = 0;
    for (auto const count : histogram.counts())
        total += count;
    EXPECT_EQ(total, 100000U);
}

// Guards against unbounded memory through label values that callers choose, and against losing the
// counts of the values above the limit.
TEST(family, counts_label_values_above_the_limit_as_other)
{
    family<counter> requests("m_total", "Help.", {{"model", 2}, {"kind", 5}});
    for (auto const* model : {"a", "b", "c", "d", "a"})
        requests.with_labels({model, "x"}).add();
    std::string out;
    write_family(out, requests);
    EXPECT_EQ(out, "# HELP m_total Help.\n# TYPE m_total counter\n"
                   "m_total{model=\"a\",kind=\"x\"} 2\n"
                   "m_total{model=\"b\",kind=\"x\"} 1\n"
                   "m_total{model=\"other\",kind=\"x\"} 2\n");
}

// Monitoring systems reject text whose buckets aren't cumulative or whose labels aren't escaped.
TEST(exposition, writes_cumulative_buckets_and_escaped_labels)
{
    family<duration_histogram> durations("t_seconds", "Help.", {{"zone", 2}},
                                         std::span(upper_bounds));
    auto& series = durations.with_labels({"a\"\\\n"});
    series.observe(std::chrono::milliseconds(20));
    series.observe(std::chrono::seconds(2));
    std::string out;
    write_family(out, durations, upper_bounds);
    EXPECT_NE(out.find("t_seconds_bucket{zone=\"a\\\"\\\\\\n\",le=\"0.038\"} 1\n"),
              std::string::npos)
        << out;
    EXPECT_NE(out.find("le=\"+Inf\"} 2\n"), std::string::npos) << out;
    EXPECT_NE(out.find("t_seconds_sum{zone=\"a\\\"\\\\\\n\"} 2.02\n"), std::string::npos) << out;
    EXPECT_NE(out.find("t_seconds_count{zone=\"a\\\"\\\\\\n\"} 2\n"), std::string::npos) << out;
}

} // namespace jasminepier::metrics
