/// The checks of the fault soak, each on a history that keeps the promise and on one that breaks
/// it.
#include "tests/soak/checks.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminepier::tests::soak
{
namespace
{

constexpr time_point start{std::chrono::seconds(1000)};

time_point at(int milliseconds_after_start)
{
    return start + milliseconds(milliseconds_after_start);
}

/// One order that node 0 serves at server s1, with nothing disturbed.
struct quiet_history : history
{
    quiet_history()
    {
        for (auto const* const server : {"s1", "s2", "s3"})
            servers[server] = {"orders-a", "a", start, start, {}, {}};
        configurations = {{1, "orders-a", start}};
        starts[0] = {start};
        last_fault_end = start;
        add_call("r1", request_kind::order, 10000);
        add_arrival("r1", "s1", 10010);
    }

    call_record& add_call(std::string const& id, request_kind kind, int sent)
    {
        call_record call;
        call.id = id;
        call.kind = kind;
        call.sent = at(sent);
        call.ended = at(sent + 100);
        call.status = 200;
        call.whole = true;
        call.has_signature = true;
        call.body = "answer to " + id;
        calls.push_back(call);
        return calls.back();
    }

    arrival_record& add_arrival(std::string const& id, std::string const& server, int arrived)
    {
        arrivals.push_back({server, servers[server].service, servers[server].zone, id, at(arrived),
                            at(arrived + 50), true, true, "", configured::customer, false,
                            configured::caller_deadline - milliseconds(50)});
        return arrivals.back();
    }

    void disturb(std::string const& subject, int from, int to)
    {
        disruptions[subject].push_back({at(from), at(to)});
    }
};

std::size_t count_broken(std::string const& name, history const& seen)
{
    for (auto const& check : all_checks())
        if (check.name == name)
            return check.run(seen).size();
    ADD_FAILURE() << "no check " << name;
    return 0;
}

/// Applies `change` to a quiet history and expects `name` to be the check that finds it.
template <class Change>
void expect_broken(std::string const& name, Change&& change)
{
    quiet_history seen;
    EXPECT_EQ(count_broken(name, seen), 0U) << name;
    change(seen);
    EXPECT_GT(count_broken(name, seen), 0U) << name;
}

// Guards against checks that find a broken promise where none is.
TEST(soak_checks, a_quiet_history_breaks_nothing)
{
    quiet_history const seen;
    for (auto const& check : all_checks())
        EXPECT_TRUE(check.run(seen).empty()) << check.name;
}

TEST(soak_checks, answers_of_others_and_cut_answers_are_found)
{
    expect_broken("answers", [](auto& seen) { seen.calls[0].body = "answer to r2"; });
    expect_broken("answers", [](auto& seen) { seen.calls[0].has_signature = false; });
    expect_broken("answers", [](auto& seen) { seen.arrivals[0].succeeded = false; });
    expect_broken("answers", [](auto& seen) { seen.arrivals.clear(); });
    for (auto const* const body :
         {"id: 1\n\nid: 3\n\n", "id: 1\n\nid: 1\n\nid: 2\n\n", "id: 1\n\n"})
        expect_broken("answers",
                      [&](auto& seen)
                      {
                          auto& stream = seen.add_call("r2", request_kind::plan, 11000);
                          stream.last_event = 3;
                          stream.body = body;
                          seen.add_arrival("r2", "s1", 11010);
                      });
}

TEST(soak_checks, second_runs_and_false_refusals_are_found)
{
    expect_broken("single_runs", [](auto& seen) { seen.add_arrival("r1", "s2", 10100); });
    expect_broken("refusals", [](auto& seen) { seen.calls[0].status = 503; });
}

TEST(soak_checks, runs_that_go_on_twice_or_from_anothers_memory_are_found)
{
    expect_broken("moved_runs", [](auto& seen)
                  { seen.add_arrival("r1", "s2", 10100).continues_from = "127.0.0.1:1/h-r9"; });
    expect_broken("moved_runs",
                  [](auto& seen)
                  {
                      seen.arrivals[0].ended = at(10700);
                      seen.add_arrival("r1", "s2", 10100).continues_from = "127.0.0.1:1/h-r1";
                  });
}

TEST(soak_checks, too_many_servers_and_too_many_repeats_are_found)
{
    expect_broken("attempts",
                  [](auto& seen)
                  {
                      seen.add_call("r2", request_kind::check, 11000);
                      for (auto const* const server : {"s1", "s2", "s3"})
                          seen.add_arrival("r2", server, 11010);
                  });
    expect_broken("retry_budget",
                  [](auto& seen)
                  {
                      for (int i = 0; i < 80; ++i)
                      {
                          auto const id = "c" + std::to_string(i);
                          seen.add_call(id, request_kind::check, 11000);
                          seen.add_arrival(id, "s1", 11010 + i);
                          seen.add_arrival(id, "s2", 11100 + i);
                      }
                  });
}

TEST(soak_checks, work_for_callers_who_left_is_found)
{
    auto const leave = [](history& seen)
    {
        seen.calls[0].kind = request_kind::check;
        seen.calls[0].left = at(10100);
    };
    expect_broken("departures",
                  [&](auto& seen)
                  {
                      leave(seen);
                      seen.arrivals[0].ended = at(10700);
                  });
    expect_broken("departures",
                  [&](auto& seen)
                  {
                      leave(seen);
                      seen.arrivals[0].arrived = at(10700);
                  });
}

TEST(soak_checks, requests_to_left_and_evacuated_servers_are_found)
{
    expect_broken("departed_servers", [](auto& seen) { seen.servers["s1"].leaving = at(7900); });
    expect_broken("evacuations", [](auto& seen) { seen.evacuations = {{"a", at(4900), {}}}; });
    // An acknowledgement of an unstable store does not bind.
    quiet_history unstable;
    unstable.servers["s1"].leaving = at(7900);
    unstable.disturb(store_subject, 5000, 5500);
    EXPECT_EQ(count_broken("departed_servers", unstable), 0U);
}

TEST(soak_checks, old_configurations_and_steps_back_are_found)
{
    auto const change = [](history& seen)
    {
        seen.configurations.push_back({2, "orders-b", at(7900)});
        seen.servers["s2"].service = "orders-b";
    };
    expect_broken("configuration", change);
    expect_broken("downgrades",
                  [&](auto& seen)
                  {
                      change(seen);
                      seen.add_call("r2", request_kind::order, 9000);
                      seen.add_arrival("r2", "s2", 9010);
                  });
}

TEST(soak_checks, too_many_requests_to_a_cold_server_are_found)
{
    expect_broken("cold_servers",
                  [](auto& seen)
                  {
                      seen.servers["s1"].cold_until = at(20000);
                      for (int i = 0; i < 20; ++i)
                          seen.add_arrival("r1", "s1", 10100 + i);
                  });
}

TEST(soak_checks, late_answers_lost_requests_and_late_stops_are_found)
{
    expect_broken("time_limits", [](auto& seen) { seen.calls[0].ended = at(13600); });
    expect_broken("stops",
                  [](auto& seen)
                  {
                      seen.stops = {{0, at(10050), at(13000), 0}};
                      seen.calls[0].status = 0;
                      seen.calls[0].whole = false;
                  });
    expect_broken("stops", [](auto& seen) { seen.stops = {{0, at(10050), {}, 0}}; });
}

TEST(soak_checks, changed_requests_are_found)
{
    expect_broken("forwarding", [](auto& seen) { seen.add_arrival("r9", "s1", 11000); });
    expect_broken("forwarding", [](auto& seen) { seen.arrivals[0].customer = "other"; });
    expect_broken("forwarding", [](auto& seen) { seen.arrivals[0].shows_key = true; });
    expect_broken("forwarding", [](auto& seen) { seen.arrivals[0].deadline = milliseconds(9000); });
}

TEST(soak_checks, missing_recovery_and_ended_processes_are_found)
{
    expect_broken(
        "recovery",
        [](auto& seen)
        {
            for (int i = 0; i < 5; ++i)
                seen.add_call("c" + std::to_string(i), request_kind::check, 13000).status = 503;
        });
    expect_broken("processes", [](auto& seen) { seen.unexpected_ends = {"node-0"}; });
}

} // namespace
} // namespace jasminepier::tests::soak
