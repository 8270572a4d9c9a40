#include "decision/generation_delivery.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>

namespace jasminepier::decision
{
namespace
{

using configuration::work_kind;
using event_type = attempt_event::type;

enum class fault
{
    none,
    cut,
    silence,
    duplicate,
    skip,
    crossed,
    death,
    end_mark,
};

struct scenario
{
    std::deque<fault> faults;
    std::int64_t length = 6;
    bool repeatable = true;
    /// Mechanisms that a test switches off to show that the check would notice.
    bool hides_index = false;
    bool hides_generation = false;
    bool resumes_elsewhere = false;
};

/// Engines whose every produced event may come with a fault of the script.
class scripted_transport
{
public:
    explicit scripted_transport(scenario script) : m_script(std::move(script)) {}

    std::optional<start_failure> start()
    {
        ++m_generation;
        m_next = 0;
        m_dead = false;
        return std::nullopt;
    }
    std::optional<start_failure> resume(std::int64_t index)
    {
        if (m_script.resumes_elsewhere && m_dead)
            start();
        if (m_dead)
            return start_failure{attempt_failure::generation_gone, {}, "dead"};
        m_next = index;
        return std::nullopt;
    }
    std::string generation_id() const { return std::to_string(m_generation); }
    void abandon_attempt(attempt_failure) { m_dead = true; }
    bool try_spend_retry() { return ++retries <= 3; }

    attempt_event read()
    {
        auto const drawn = m_script.faults.empty() ? fault::none : m_script.faults.front();
        if (!m_script.faults.empty())
            m_script.faults.pop_front();
        switch (drawn)
        {
        case fault::cut:
            return failure(attempt_failure::connection_lost);
        case fault::silence:
            return failure(attempt_failure::silent);
        case fault::death:
            m_dead = true;
            return failure(attempt_failure::connection_lost);
        case fault::duplicate:
            m_next = std::max<std::int64_t>(0, m_next - 1);
            return token(m_generation);
        case fault::skip:
            m_next = std::min(m_script.length - 1, m_next + 1);
            return token(m_generation);
        case fault::crossed:
            return crossed();
        case fault::end_mark:
            return {event_type::end, generation_id(), {}, {}, {}};
        case fault::none:
            break;
        }
        return token(m_generation);
    }

    std::string text(int generation, std::int64_t index) const
    {
        return (m_script.repeatable ? "" : std::to_string(generation) + ":") +
               std::to_string(index) + " ";
    }
    int generation() const { return m_generation; }

    int retries = 0;

private:
    attempt_event failure(attempt_failure what) const
    {
        return {event_type::failure, generation_id(), {}, what, "scripted"};
    }
    /// An event of a generation that this caller does not own.
    attempt_event crossed() const
    {
        auto const named = m_script.hides_generation ? m_generation : 99;
        return {event_type::token, std::to_string(named), {m_next, "other ", "", false}, {}, {}};
    }
    attempt_event token(int generation)
    {
        attempt_event event{event_type::token, generation_id(), {}, {}, {}};
        event.token = {m_next, text(generation, m_next), "", m_next + 1 == m_script.length};
        if (m_script.hides_index)
            event.token.index = m_seen;
        ++m_seen;
        ++m_next;
        return event;
    }

    scenario m_script;
    int m_generation = 0;
    std::int64_t m_next = 0;
    std::int64_t m_seen = 0;
    bool m_dead = false;
};

struct recording_sink
{
    std::vector<std::string> received;
    bool finished = false;
    std::optional<std::size_t> leaves_after;
    std::uint64_t digest = 0;

    bool begin_response(std::int64_t, std::uint64_t) { return true; }
    bool deliver(generation_token const& token, std::uint64_t value)
    {
        received.push_back(token.payload);
        digest = value;
        return !leaves_after || received.size() < *leaves_after;
    }
    bool keep_alive() { return true; }
    bool finish() { return finished = true; }
};

struct run_result
{
    delivery_result outcome;
    recording_sink sink;
    /// Every token once, in order, from one generation; all of them when complete.
    bool whole = false;
    int retries = 0;
};

run_result deliver(scenario const& script, delivery_settings settings)
{
    base::manual_clock_source const clock;
    scripted_transport transport(script);
    run_result result;
    generation_delivery delivery(settings, clock, transport, result.sink);
    result.outcome = delivery.run();
    auto const& received = result.sink.received;
    for (int generation = 1; generation <= transport.generation() + 1; ++generation)
    {
        bool same = true;
        for (std::size_t i = 0; i < received.size(); ++i)
            same = same && received[i] == transport.text(generation, static_cast<std::int64_t>(i));
        result.whole = result.whole || same;
    }
    if (result.outcome.status == delivery_status::complete)
        result.whole = result.whole && result.sink.finished &&
                       received.size() == static_cast<std::size_t>(script.length);
    result.retries = transport.retries;
    return result;
}

constexpr std::array every_fault{fault::cut,     fault::silence, fault::duplicate, fault::skip,
                                 fault::crossed, fault::death,   fault::end_mark};

std::deque<fault> at(std::size_t position, fault what)
{
    std::deque<fault> faults(position, fault::none);
    faults.push_back(what);
    return faults;
}

// Guards against a repeated, missing, reordered or foreign token under any sequence of faults, for
// every kind and way of delivery.
RC_GTEST_PROP(generation_delivery, delivers_each_token_once_from_one_generation, ())
{
    scenario script;
    auto const drawn = *rc::gen::container<std::vector<int>>(rc::gen::weightedElement<int>(
        {{6, 0}, {1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}}));
    for (int value : drawn)
        script.faults.push_back(static_cast<fault>(value));
    script.length = *rc::gen::inRange<std::int64_t>(1, 30);
    script.repeatable = *rc::gen::arbitrary<bool>();
    delivery_settings settings;
    settings.kind = *rc::gen::element(work_kind::proposal, work_kind::question, work_kind::bulk);
    settings.mode = *rc::gen::element(delivery_mode::buffered, delivery_mode::streamed);
    settings.maximum_buffered_bytes = *rc::gen::element<std::size_t>(200, 100000);
    auto const result = deliver(script, settings);
    RC_ASSERT(result.whole);
    RC_ASSERT(result.outcome.status != delivery_status::caller_disconnected);
    RC_ASSERT(result.outcome.status == delivery_status::complete || !result.sink.finished);
}

// Guards against an answer lost to one or two faults that the design says are survived: every pair
// at every position, for held and whole answers and for streamed proposals of a repeatable engine.
TEST(generation_delivery, survives_every_pair_of_faults)
{
    for (auto const mode : {delivery_mode::buffered, delivery_mode::streamed})
        for (auto const first : every_fault)
            for (auto const second : every_fault)
                for (std::size_t position = 0; position < 6; ++position)
                {
                    scenario script;
                    script.faults = at(position, first);
                    script.faults.push_back(fault::none);
                    script.faults.push_back(second);
                    delivery_settings settings;
                    settings.kind = work_kind::proposal;
                    settings.mode = mode;
                    auto const result = deliver(script, settings);
                    EXPECT_TRUE(result.whole);
                    EXPECT_EQ(result.outcome.status, delivery_status::complete)
                        << static_cast<int>(first) << ' ' << static_cast<int>(second) << ' '
                        << position << ' ' << result.outcome.error.message;
                }
}

// Guards against text of two generations in one answer when an engine dies in mid-stream.
TEST(generation_delivery, reports_a_lost_generation_that_cannot_be_repeated)
{
    scenario script;
    script.faults = at(3, fault::death);
    script.repeatable = false;
    delivery_settings settings;
    settings.kind = work_kind::proposal;
    auto const result = deliver(script, settings);
    EXPECT_EQ(result.outcome.status, delivery_status::failed);
    EXPECT_EQ(result.outcome.error.kind, base::error_kind::generation_lost);
    EXPECT_EQ(result.outcome.delivered, 3);
    EXPECT_EQ(result.sink.received.size(), 3U);
    settings.mode = delivery_mode::buffered;
    EXPECT_EQ(deliver(script, settings).outcome.status, delivery_status::complete);
}

// Guards against a rerun for a kind whose table entry forbids it.
TEST(generation_delivery, does_not_replay_a_streamed_question)
{
    scenario script;
    script.faults = at(3, fault::death);
    auto const result = deliver(script, {});
    EXPECT_EQ(result.outcome.status, delivery_status::failed);
    EXPECT_EQ(result.retries, 0);
}

// Shows that the checks above notice when a mechanism is missing: with it switched off, the same
// scenario yields a wrong answer.
TEST(generation_delivery, checks_fail_without_the_mechanisms)
{
    scenario script;
    script.faults = at(2, fault::duplicate);
    script.hides_index = true;
    EXPECT_FALSE(deliver(script, {}).whole) << "token index check";
    script.faults = at(2, fault::skip);
    EXPECT_FALSE(deliver(script, {}).whole) << "token index check";
    script = {};
    script.faults = at(2, fault::crossed);
    script.hides_generation = true;
    EXPECT_FALSE(deliver(script, {}).whole) << "generation id check";
    script = {};
    script.faults = at(3, fault::death);
    script.repeatable = false;
    script.resumes_elsewhere = true;
    EXPECT_FALSE(deliver(script, {}).whole) << "verified replay";
}

// Guards against unbounded memory for a held answer, and against an endless sequence of retries.
TEST(generation_delivery, bounds_memory_and_retries)
{
    scenario script;
    script.length = 1000;
    script.faults = std::deque<fault>(500, fault::none);
    script.faults.push_back(fault::death);
    delivery_settings settings;
    settings.kind = work_kind::proposal;
    settings.mode = delivery_mode::buffered;
    settings.maximum_buffered_bytes = 4096;
    EXPECT_EQ(deliver(script, settings).outcome.status, delivery_status::complete);
    settings.may_switch_to_streaming = false;
    EXPECT_EQ(deliver(script, settings).outcome.status, delivery_status::failed);
    script.faults = std::deque<fault>(100, fault::death);
    auto const lost = deliver(script, settings);
    EXPECT_EQ(lost.outcome.status, delivery_status::failed);
    EXPECT_EQ(lost.outcome.attempts, 4);
    EXPECT_EQ(lost.outcome.error.kind, base::error_kind::generation_lost);
}

// Guards against a caller's continuation that repeats or skips tokens, after any token.
TEST(generation_delivery, continues_at_the_position_of_the_caller)
{
    for (std::size_t position = 1; position < 6; ++position)
        for (bool const dead : {false, true})
        {
            base::manual_clock_source const clock;
            scenario script;
            scripted_transport transport(script);
            recording_sink sink;
            sink.leaves_after = position;
            delivery_settings settings;
            settings.kind = work_kind::proposal;
            generation_delivery first(settings, clock, transport, sink);
            EXPECT_EQ(first.run().status, delivery_status::caller_disconnected);
            if (dead)
                transport.abandon_attempt(attempt_failure::connection_lost);
            sink.leaves_after.reset();
            generation_delivery second(settings, clock, transport, sink);
            auto const outcome =
                second.resume_from({static_cast<std::int64_t>(position), sink.digest});
            EXPECT_EQ(outcome.status, delivery_status::complete);
            EXPECT_EQ(sink.received.size(), 6U);
            EXPECT_EQ(std::set<std::string>(sink.received.begin(), sink.received.end()).size(), 6U);
        }
}

// Guards against a table entry that repeats a call which may have run.
TEST(retry_policy, never_repeats_an_action_that_may_have_run)
{
    for (std::size_t failure = 1; failure < attempt_failure_count; ++failure)
        for (std::size_t progress = 0; progress < delivery_progress_count; ++progress)
        {
            auto const action =
                retry_action_for(work_kind::action, static_cast<attempt_failure>(failure),
                                 static_cast<delivery_progress>(progress));
            EXPECT_NE(action, retry_action::rerun);
            EXPECT_NE(action, retry_action::resume);
            EXPECT_NE(action, retry_action::verified_replay);
        }
}

// Guards against retries that outgrow their share of requests while servers keep failing.
TEST(retry_policy, bounds_retries_to_their_share)
{
    retry_budget budget;
    int spent = 0;
    for (int request = 0; request < 10000; ++request)
    {
        budget.add_request(0.1);
        spent += budget.try_spend() ? 1 : 0;
    }
    EXPECT_LE(spent, 1000 + static_cast<int>(retry_budget::capacity));
}

} // namespace
} // namespace jasminepier::decision
