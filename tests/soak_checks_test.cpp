/// Applies each check of the fault soak to a valid history and to histories with a violation.
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

/// A valid history: node 0 forwards one non-idempotent request to server s1 without disruptions.
struct valid_history : history
{
    valid_history()
    {
        for (auto const* const server : {"s1", "s2", "s3"})
            servers[server] = {"orders-a", "a", start, start, {}, {}};
        configurations = {{1, "orders-a", start}};
        process_starts[0] = {start};
        last_fault_end = start;
        add_request("r1", request_kind::non_idempotent, 10000);
        add_arrival("r1", "s1", 10010);
    }

    request_record& add_request(std::string const& id, request_kind kind, int sent_at)
    {
        request_record request;
        request.id = id;
        request.kind = kind;
        request.sent_at = at(sent_at);
        request.ended_at = at(sent_at + 100);
        request.status = 200;
        request.is_complete = true;
        request.has_signature = true;
        request.body = "response to " + id;
        requests.push_back(request);
        return requests.back();
    }

    arrival_record& add_arrival(std::string const& id, std::string const& server, int arrived_at)
    {
        arrivals.push_back({server, servers[server].service, servers[server].zone, id,
                            at(arrived_at), at(arrived_at + 50), true, true, "",
                            test_settings::customer, false,
                            test_settings::request_deadline - milliseconds(50)});
        return arrivals.back();
    }

    void disturb(std::string const& subject, int from, int to)
    {
        disruptions[subject].push_back({at(from), at(to)});
    }
};

std::size_t count_violations(std::string const& name, history const& recorded)
{
    for (auto const& check : all_checks())
        if (check.name == name)
            return check.find_violations(recorded).size();
    ADD_FAILURE() << "no check " << name;
    return 0;
}

/// Expects the check `name` to report a violation once `change` has been applied to a valid
/// history.
template <class Change>
void expect_violation(std::string const& name, Change&& change)
{
    valid_history recorded;
    EXPECT_EQ(count_violations(name, recorded), 0U) << name;
    change(recorded);
    EXPECT_GT(count_violations(name, recorded), 0U) << name;
}

// Guards against false positives.
TEST(soak_checks, report_nothing_for_a_valid_history)
{
    valid_history const recorded;
    for (auto const& check : all_checks())
        EXPECT_TRUE(check.find_violations(recorded).empty()) << check.name;
}

TEST(soak_checks, report_responses_to_other_requests_and_interrupted_responses)
{
    expect_violation("answers",
                     [](auto& recorded) { recorded.requests[0].body = "response to r2"; });
    expect_violation("answers", [](auto& recorded) { recorded.requests[0].has_signature = false; });
    expect_violation("answers", [](auto& recorded) { recorded.arrivals[0].succeeded = false; });
    expect_violation("answers", [](auto& recorded) { recorded.arrivals.clear(); });
    for (auto const* const body :
         {"id: 1\n\nid: 3\n\n", "id: 1\n\nid: 1\n\nid: 2\n\n", "id: 1\n\n"})
        expect_violation("answers",
                         [&](auto& recorded)
                         {
                             auto& stream = recorded.add_request("r2", request_kind::stream, 11000);
                             stream.last_event_number = 3;
                             stream.body = body;
                             recorded.add_arrival("r2", "s1", 11010);
                         });
}

TEST(soak_checks, report_second_executions_and_false_rejections)
{
    expect_violation("single_runs",
                     [](auto& recorded) { recorded.add_arrival("r1", "s2", 10100); });
    expect_violation("refusals", [](auto& recorded) { recorded.requests[0].status = 503; });
}

TEST(soak_checks, report_handovers_from_another_generation_and_overlapping_generations)
{
    expect_violation("moved_runs", [](auto& recorded)
                     { recorded.add_arrival("r1", "s2", 10100).copy_source = "127.0.0.1:1/h-r9"; });
    expect_violation("moved_runs",
                     [](auto& recorded)
                     {
                         recorded.arrivals[0].ended_at = at(10700);
                         recorded.add_arrival("r1", "s2", 10100).copy_source = "127.0.0.1:1/h-r1";
                     });
}

TEST(soak_checks, report_exceeded_attempts_and_retry_budgets)
{
    expect_violation("attempts",
                     [](auto& recorded)
                     {
                         recorded.add_request("r2", request_kind::idempotent, 11000);
                         for (auto const* const server : {"s1", "s2", "s3"})
                             recorded.add_arrival("r2", server, 11010);
                     });
    expect_violation("retry_budget",
                     [](auto& recorded)
                     {
                         for (int i = 0; i < 80; ++i)
                         {
                             auto const id = "c" + std::to_string(i);
                             recorded.add_request(id, request_kind::idempotent, 11000);
                             recorded.add_arrival(id, "s1", 11010 + i);
                             recorded.add_arrival(id, "s2", 11100 + i);
                         }
                     });
}

// Guards against a budget that leaves out the requests that reached no server, and against one that
// counts those that reached no node.
TEST(soak_checks, count_requests_that_reach_no_server_for_the_retry_budget)
{
    for (bool const reached_node : {true, false})
    {
        valid_history recorded;
        for (int i = 0; i < 120; ++i)
        {
            auto const id = "c" + std::to_string(i);
            recorded.add_request(id, request_kind::idempotent, 11000).connect_failed =
                i >= 80 && !reached_node;
            if (i >= 80)
                continue;
            recorded.add_arrival(id, "s1", 11010 + i);
            recorded.add_arrival(id, "s2", 11100 + i);
        }
        EXPECT_EQ(count_violations("retry_budget", recorded), reached_node ? 0U : 1U);
    }
}

TEST(soak_checks, report_requests_that_outlive_their_callers)
{
    auto const disconnect_caller = [](history& recorded)
    {
        recorded.requests[0].kind = request_kind::idempotent;
        recorded.requests[0].disconnected_at = at(10100);
    };
    expect_violation("departures",
                     [&](auto& recorded)
                     {
                         disconnect_caller(recorded);
                         recorded.arrivals[0].ended_at = at(10700);
                     });
    expect_violation("departures",
                     [&](auto& recorded)
                     {
                         disconnect_caller(recorded);
                         recorded.arrivals[0].arrived_at = at(10700);
                     });
}

TEST(soak_checks, report_requests_to_leaving_and_evacuated_servers)
{
    expect_violation("departed_servers",
                     [](auto& recorded) { recorded.servers["s1"].leaving_at = at(7900); });
    expect_violation("evacuations",
                     [](auto& recorded) {
                         recorded.evacuations = {{"a", at(4900), {}}};
                     });
    // After a disruption of the store, nodes may learn of the change later.
    valid_history unstable_store;
    unstable_store.servers["s1"].leaving_at = at(7900);
    unstable_store.disturb(store_subject, 5000, 5500);
    EXPECT_EQ(count_violations("departed_servers", unstable_store), 0U);
}

TEST(soak_checks, report_outdated_and_downgraded_configurations)
{
    auto const change_configuration = [](history& recorded)
    {
        recorded.configurations.push_back({2, "orders-b", at(7900)});
        recorded.servers["s2"].service = "orders-b";
    };
    expect_violation("configuration", change_configuration);
    expect_violation("downgrades",
                     [&](auto& recorded)
                     {
                         change_configuration(recorded);
                         recorded.add_request("r2", request_kind::non_idempotent, 9000);
                         recorded.add_arrival("r2", "s2", 9010);
                     });
}

TEST(soak_checks, report_too_many_requests_to_a_cold_server)
{
    expect_violation("cold_servers",
                     [](auto& recorded)
                     {
                         recorded.servers["s1"].cold_until = at(20000);
                         for (int i = 0; i < 20; ++i)
                             recorded.add_arrival("r1", "s1", 10100 + i);
                     });
}

TEST(soak_checks, report_late_responses_and_failed_shutdowns)
{
    expect_violation("time_limits",
                     [](auto& recorded) { recorded.requests[0].ended_at = at(13600); });
    expect_violation("stops",
                     [](auto& recorded)
                     {
                         recorded.shutdowns = {{0, at(10050), at(13000), 0}};
                         recorded.requests[0].status = 0;
                         recorded.requests[0].is_complete = false;
                     });
    expect_violation("stops", [](auto& recorded) { recorded.shutdowns = {{0, at(10050), {}, 0}}; });
}

// Guards against blaming a node for a signal that came before its program could handle it, and
// against excusing a program that does not handle it.
TEST(soak_checks, report_programs_that_the_signal_ends)
{
    expect_violation("stops",
                     [](auto& recorded) {
                         recorded.shutdowns = {{0, at(20000), at(20010), 143}};
                     });
    valid_history starting;
    starting.shutdowns = {{0, at(20000), at(20010), 143, true}};
    EXPECT_EQ(count_violations("stops", starting), 0U);
    expect_violation("stops",
                     [](auto& recorded) {
                         recorded.shutdowns = {{0, at(20000), {}, 0, true}};
                     });
}

// Guards against blaming the nodes for requests whose servers need more time than their callers
// have, and against excusing nodes that passed a request on too late.
TEST(soak_checks, expect_no_recovery_of_requests_that_outlast_their_deadlines)
{
    auto const add_timed_out = [](valid_history& recorded, int arrived_at)
    {
        auto& request = recorded.add_request("r2", request_kind::idempotent, 13000);
        request.deadline = milliseconds(1500);
        request.ended_at = at(14502);
        request.status = 504;
        auto& arrival = recorded.add_arrival("r2", "s1", arrived_at);
        arrival.ended_at = at(14505);
        arrival.succeeded = false;
    };
    valid_history too_long;
    add_timed_out(too_long, 13010);
    EXPECT_EQ(count_violations("recovery", too_long), 0U);
    expect_violation("recovery", [&](auto& recorded) { add_timed_out(recorded, 14000); });
}

// Guards against requests that a stopping node reads and gives up, however late after SIGTERM they
// were sent, and against blaming it for what it could not finish.
TEST(soak_checks, report_requests_without_an_answer)
{
    auto const make_unanswered = [](history& recorded, int ended_at)
    {
        recorded.shutdowns = {{0, at(6000), at(11900), 0}};
        recorded.disruptions[node_subject(0)] = {{at(6000), at(12200), true}};
        recorded.requests[0].status = 0;
        recorded.requests[0].is_complete = false;
        recorded.requests[0].ended_at = at(ended_at);
        recorded.arrivals[0].ended_at = at(ended_at);
    };
    expect_violation("unanswered", [&](auto& recorded) { make_unanswered(recorded, 11900); });
    expect_violation("unanswered",
                     [&](auto& recorded)
                     {
                         // The node reads the request but does not pass it on.
                         make_unanswered(recorded, 10300);
                         recorded.arrivals.clear();
                     });
    expect_violation("unanswered",
                     [&](auto& recorded)
                     {
                         make_unanswered(recorded, 10300);
                         recorded.requests[0].status = 502;
                     });
    expect_violation("unanswered",
                     [&](auto& recorded)
                     {
                         make_unanswered(recorded, 10300);
                         recorded.shutdowns.clear();
                     });
    auto const count_excused = [&](int ended_at, auto const& excuse)
    {
        valid_history recorded;
        make_unanswered(recorded, ended_at);
        excuse(recorded);
        return count_violations("unanswered", recorded);
    };
    EXPECT_EQ(count_excused(13100, [](auto&) {}), 0U);
    EXPECT_EQ(count_excused(11600, [](auto& recorded)
                            { recorded.requests[0].deadline = milliseconds(1500); }),
              0U);
    EXPECT_EQ(
        count_excused(11900, [](auto& recorded) { recorded.requests[0].connect_failed = true; }),
        0U);
    EXPECT_EQ(count_excused(10100, [](auto& recorded) { recorded.arrivals.clear(); }), 0U);
    EXPECT_EQ(count_excused(11900, [](auto& recorded) { recorded.disturb("s1", 11000, 11100); }),
              0U);
    EXPECT_EQ(
        count_excused(11900, [](auto& recorded) { recorded.disturb(node_subject(0), 8000, 8100); }),
        0U);
    EXPECT_EQ(count_excused(11900,
                            [](auto& recorded)
                            {
                                recorded.requests[0].sent_at = at(5900);
                                recorded.requests[0].kind = request_kind::stream;
                            }),
              0U);
}

TEST(soak_checks, report_altered_requests)
{
    expect_violation("forwarding", [](auto& recorded) { recorded.add_arrival("r9", "s1", 11000); });
    expect_violation("forwarding", [](auto& recorded) { recorded.arrivals[0].customer = "other"; });
    expect_violation("forwarding", [](auto& recorded) { recorded.arrivals[0].has_api_key = true; });
    expect_violation("forwarding",
                     [](auto& recorded) { recorded.arrivals[0].deadline = milliseconds(9000); });
}

/// Adds a prompt part that crashes three servers, and requests with it that reach servers after the
/// time in which nodes must learn of it.
void add_deadly_requests(valid_history& recorded, int late_count)
{
    for (int i = 0; i < 3 + late_count; ++i)
    {
        auto const id = "d" + std::to_string(i);
        auto const server = "engine-" + std::to_string(i);
        auto const sent_at = 11000 + i * 100 + (i < 3 ? 0 : 4000);
        recorded.servers[server] = {"engines", "a", start, start, {}, at(sent_at + 20)};
        auto& request = recorded.add_request(id, request_kind::stream, sent_at);
        request.deadly_part = "dead1";
        request.last_event_number = 5;
        request.status = 502;
        recorded.add_arrival(id, server, sent_at + 10).succeeded = false;
    }
}

// Guards against one prompt part that crashes server after server.
TEST(soak_checks, report_prompt_parts_that_still_crash_servers_when_nodes_must_know_them)
{
    expect_violation("deadly_parts", [](auto& recorded) { add_deadly_requests(recorded, 4); });
    valid_history permitted;
    add_deadly_requests(permitted, 3);
    EXPECT_EQ(count_violations("deadly_parts", permitted), 0U);
    valid_history cut_off;
    add_deadly_requests(cut_off, 4);
    cut_off.disturb(node_subject(0), 14000, 15000);
    EXPECT_EQ(count_violations("deadly_parts", cut_off), 0U);
}

// Guards against nodes that reject sound requests which share their first part with a deadly one.
TEST(soak_checks, report_sound_streams_that_are_rejected_beside_a_deadly_part)
{
    auto const add_streams = [](valid_history& recorded, int rejected_count)
    {
        add_deadly_requests(recorded, 3);
        for (int i = 0; i < 10; ++i)
        {
            auto& stream = recorded.add_request("s" + std::to_string(i), request_kind::stream,
                                                14300 + i * 100);
            stream.last_event_number = 5;
            stream.status = i < rejected_count ? 503 : 200;
        }
    };
    expect_violation("sound_prompts", [&](auto& recorded) { add_streams(recorded, 6); });
    valid_history served;
    add_streams(served, 2);
    EXPECT_EQ(count_violations("sound_prompts", served), 0U);
}

TEST(soak_checks, report_missing_recovery_and_exited_processes)
{
    expect_violation(
        "recovery",
        [](auto& recorded)
        {
            for (int i = 0; i < 5; ++i)
                recorded.add_request("c" + std::to_string(i), request_kind::idempotent, 13000)
                    .status = 503;
        });
    expect_violation("processes", [](auto& recorded) { recorded.unexpected_exits = {"node-0"}; });
}

} // namespace
} // namespace jasminepier::tests::soak
