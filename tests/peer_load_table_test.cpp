/// Totals of the loads that peers report, compared with sums over the latest reports. No network.
#include "serving/peer_load_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};

server_load make_load(server_hash server, int running, std::int64_t tokens)
{
    server_load load;
    load.server = server;
    load.running = running;
    load.reserved_tokens = tokens;
    load.unread_prompt_tokens = tokens / 2;
    load.recent_attempts = running * 100;
    load.recent_failures = running * 10;
    load.unreachable = running % 2 == 1;
    return load;
}

// Guards against totals that drift away from the reports as sources report, replace their reports
// and disappear.
RC_GTEST_PROP(peer_load_table, totals_equal_the_sum_of_the_latest_reports, ())
{
    peer_load_table table;
    std::map<load_source, std::vector<server_load>> latest;
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        load_source const source{*rc::gen::element<std::string>("a", "b"),
                                 *rc::gen::element<std::string>("", "n1", "n2"),
                                 *rc::gen::inRange(0, 2)};
        if (*rc::gen::inRange(0, 4) == 0)
        {
            table.remove(source);
            latest.erase(source);
            continue;
        }
        std::vector<server_load> loads;
        for (int server = 0; server < 4; ++server)
            if (*rc::gen::arbitrary<bool>())
                loads.push_back(
                    make_load(server, *rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9000)));
        table.merge(source, loads, start);
        latest[source] = loads;
    }
    for (int server = 0; server < 4; ++server)
    {
        peer_load_table::totals expected;
        for (auto const& [source, loads] : latest)
            for (auto const& load : loads)
                if (load.server == server)
                {
                    expected.running += load.running;
                    expected.reserved_tokens += load.reserved_tokens;
                    expected.unread_prompt_tokens += load.unread_prompt_tokens;
                    expected.recent_attempts += load.recent_attempts;
                    expected.recent_failures += load.recent_failures;
                    expected.unreachable_reports += load.unreachable ? 1 : 0;
                }
        auto const totals = table.find_totals(server);
        RC_ASSERT(totals.running == expected.running);
        RC_ASSERT(totals.reserved_tokens == expected.reserved_tokens);
        RC_ASSERT(totals.unread_prompt_tokens == expected.unread_prompt_tokens);
        RC_ASSERT(totals.recent_attempts == expected.recent_attempts);
        RC_ASSERT(totals.recent_failures == expected.recent_failures);
        RC_ASSERT(totals.unreachable_reports == expected.unreachable_reports);
    }
}

// Guards against log lines that hide how old the inputs of a decision were.
TEST(peer_load_table, reports_the_age_of_the_oldest_contribution)
{
    peer_load_table table;
    auto const load = make_load(7, 1, 100);
    auto const other_load = make_load(8, 1, 100);
    table.merge({"a", "n1"}, {&load, 1}, start);
    table.merge({"a", "n2"}, {&load, 1}, start + milliseconds(300));
    table.merge({"b", ""}, {&other_load, 1}, start - seconds(2));
    EXPECT_EQ(table.oldest_report_age(7, start + milliseconds(400)), milliseconds(400));
    EXPECT_EQ(table.oldest_report_age(9, start + milliseconds(400)), milliseconds(0));
}

} // namespace
} // namespace jasminepier::serving
