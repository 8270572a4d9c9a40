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
    disconnect,
    silence,
    repeated_index,
    skipped_index,
    other_generation,
    crash,
    early_end,
    /// The engine refuses the request.
    rejection,
};

struct scenario
{
    std::deque<fault> faults;
    std::int64_t length = 6;
    bool deterministic = true;
    /// Ways to bypass a mechanism, which show that the checks detect its absence.
    bool renumbers_tokens = false;
    bool forges_generation_id = false;
    bool resumes_on_new_generation = false;
    /// Every start breaks off after a part of the request has been sent.
    bool loses_starts = false;
};

/// A transport to simulated engines. Each read consumes one fault of the script.
class scripted_transport
{
public:
    explicit scripted_transport(scenario script) : m_script(std::move(script)) {}

    std::optional<start_failure> start()
    {
        ++m_generation;
        m_next_index = 0;
        m_generation_lost = m_script.loses_starts;
        if (m_script.loses_starts)
            return start_failure{attempt_failure::connection_lost, {}, "lost while sending"};
        return std::nullopt;
    }
    std::optional<start_failure> resume(std::int64_t index)
    {
        if (m_script.resumes_on_new_generation && m_generation_lost)
            start();
        if (m_generation_lost)
            return start_failure{attempt_failure::generation_gone, {}, "dead"};
        m_next_index = index;
        return std::nullopt;
    }
    std::string generation_id() const { return std::to_string(m_generation); }
    void abandon_attempt(attempt_failure) { m_generation_lost = true; }
    bool try_spend_retry() { return ++retries <= 3; }

    attempt_event read()
    {
        auto const next_fault = m_script.faults.empty() ? fault::none : m_script.faults.front();
        if (!m_script.faults.empty())
            m_script.faults.pop_front();
        switch (next_fault)
        {
        case fault::disconnect:
            return failure(attempt_failure::connection_lost);
        case fault::silence:
            return failure(attempt_failure::silent);
        case fault::crash:
            m_generation_lost = true;
            return failure(attempt_failure::connection_lost);
        case fault::repeated_index:
            m_next_index = std::max<std::int64_t>(0, m_next_index - 1);
            return token_event(m_generation);
        case fault::skipped_index:
            m_next_index = std::min(m_script.length - 1, m_next_index + 1);
            return token_event(m_generation);
        case fault::other_generation:
            return event_of_other_generation();
        case fault::rejection:
            return failure(attempt_failure::rejected);
        case fault::early_end:
            return {event_type::end, generation_id(), {}, {}, {}};
        case fault::none:
            break;
        }
        return token_event(m_generation);
    }

    std::string payload_of(int generation, std::int64_t index) const
    {
        return (m_script.deterministic ? "" : std::to_string(generation) + ":") +
               std::to_string(index) + " ";
    }
    int generation() const { return m_generation; }

    int retries = 0;

private:
    attempt_event failure(attempt_failure kind) const
    {
        return {event_type::failure, generation_id(), {}, kind, "scripted"};
    }
    /// An event of another caller's generation.
    attempt_event event_of_other_generation() const
    {
        auto const id = m_script.forges_generation_id ? m_generation : 99;
        return {event_type::token, std::to_string(id), {m_next_index, "other ", "", false}, {}, {}};
    }
    attempt_event token_event(int generation)
    {
        attempt_event event{event_type::token, generation_id(), {}, {}, {}};
        event.token = {m_next_index, payload_of(generation, m_next_index), "",
                       m_next_index + 1 == m_script.length};
        if (m_script.renumbers_tokens)
            event.token.index = m_tokens_sent;
        ++m_tokens_sent;
        ++m_next_index;
        return event;
    }

    scenario m_script;
    int m_generation = 0;
    std::int64_t m_next_index = 0;
    std::int64_t m_tokens_sent = 0;
    bool m_generation_lost = false;
};

struct recording_sink
{
    std::vector<std::string> received;
    bool finished = false;
    std::optional<std::size_t> disconnects_after;
    std::uint64_t digest = 0;

    bool begin_response(std::int64_t, std::uint64_t) { return true; }
    bool deliver(generation_token const& token, std::uint64_t new_digest)
    {
        received.push_back(token.payload);
        digest = new_digest;
        return !disconnects_after || received.size() < *disconnects_after;
    }
    bool keep_alive() { return true; }
    bool finish() { return finished = true; }
};

struct delivery_run
{
    delivery_result outcome;
    recording_sink sink;
    /// The caller received each token once, in order and from one generation; if the delivery
    /// completed, it received all of them.
    bool correct = false;
    int retries = 0;
};

delivery_run deliver(scenario const& script, delivery_settings settings)
{
    base::manual_clock_source const clock;
    scripted_transport transport(script);
    delivery_run run;
    generation_delivery delivery(settings, clock, transport, run.sink);
    run.outcome = delivery.run();
    auto const& received = run.sink.received;
    for (int generation = 1; generation <= transport.generation() + 1; ++generation)
    {
        bool matches = true;
        for (std::size_t i = 0; i < received.size(); ++i)
            matches = matches &&
                      received[i] == transport.payload_of(generation, static_cast<std::int64_t>(i));
        run.correct = run.correct || matches;
    }
    if (run.outcome.status == delivery_status::complete)
        run.correct = run.correct && run.sink.finished &&
                      received.size() == static_cast<std::size_t>(script.length);
    run.retries = transport.retries;
    return run;
}

constexpr std::array all_faults{
    fault::disconnect,       fault::silence, fault::repeated_index, fault::skipped_index,
    fault::other_generation, fault::crash,   fault::early_end};

std::deque<fault> faults_with(std::size_t index, fault kind)
{
    std::deque<fault> faults(index, fault::none);
    faults.push_back(kind);
    return faults;
}

// Guards against repeated, missing or reordered tokens and tokens of other requests under any
// sequence of faults, for every work kind and delivery mode.
RC_GTEST_PROP(generation_delivery, delivers_each_token_once_from_one_generation_under_any_faults,
              ())
{
    scenario script;
    auto const drawn = *rc::gen::container<std::vector<int>>(rc::gen::weightedElement<int>(
        {{6, 0}, {1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}}));
    for (int value : drawn)
        script.faults.push_back(static_cast<fault>(value));
    script.length = *rc::gen::inRange<std::int64_t>(1, 30);
    script.deterministic = *rc::gen::arbitrary<bool>();
    delivery_settings settings;
    settings.kind = *rc::gen::element(work_kind::proposal, work_kind::question, work_kind::bulk);
    settings.mode = *rc::gen::element(delivery_mode::buffered, delivery_mode::streamed);
    settings.maximum_buffered_bytes = *rc::gen::element<std::size_t>(200, 100000);
    auto const run = deliver(script, settings);
    RC_ASSERT(run.correct);
    RC_ASSERT(run.outcome.status != delivery_status::caller_disconnected);
    RC_ASSERT(run.outcome.status == delivery_status::complete || !run.sink.finished);
}

// Guards against failing because of one or two faults that a delivery must survive: every pair at
// every position, for buffered responses and for streamed proposals of a deterministic engine.
TEST(generation_delivery, completes_under_every_pair_of_faults)
{
    for (auto const mode : {delivery_mode::buffered, delivery_mode::streamed})
        for (auto const first : all_faults)
            for (auto const second : all_faults)
                for (std::size_t index = 0; index < 6; ++index)
                {
                    scenario script;
                    script.faults = faults_with(index, first);
                    script.faults.push_back(fault::none);
                    script.faults.push_back(second);
                    delivery_settings settings;
                    settings.kind = work_kind::proposal;
                    settings.mode = mode;
                    auto const run = deliver(script, settings);
                    EXPECT_TRUE(run.correct);
                    EXPECT_EQ(run.outcome.status, delivery_status::complete)
                        << static_cast<int>(first) << ' ' << static_cast<int>(second) << ' '
                        << index << ' ' << run.outcome.error.message;
                }
}

// Guards against mixing the text of two generations when an engine crashes in the middle of a
// stream.
TEST(generation_delivery, reports_a_lost_generation_if_the_replay_differs)
{
    scenario script;
    script.faults = faults_with(3, fault::crash);
    script.deterministic = false;
    delivery_settings settings;
    settings.kind = work_kind::proposal;
    auto const run = deliver(script, settings);
    EXPECT_EQ(run.outcome.status, delivery_status::failed);
    EXPECT_EQ(run.outcome.error.kind, base::error_kind::generation_lost);
    EXPECT_EQ(run.outcome.delivered, 3);
    EXPECT_EQ(run.sink.received.size(), 3U);
    settings.mode = delivery_mode::buffered;
    EXPECT_EQ(deliver(script, settings).outcome.status, delivery_status::complete);
}

// Guards against a rerun that the retry table forbids.
TEST(generation_delivery, does_not_replay_a_streamed_question)
{
    scenario script;
    script.faults = faults_with(3, fault::crash);
    auto const run = deliver(script, {});
    EXPECT_EQ(run.outcome.status, delivery_status::failed);
    EXPECT_EQ(run.retries, 0);
}

// Verifies that the checks above fail if a mechanism is missing: without it, the same scenario must
// yield an incorrect response.
TEST(generation_delivery, checks_detect_missing_mechanisms)
{
    scenario script;
    script.faults = faults_with(2, fault::repeated_index);
    script.renumbers_tokens = true;
    EXPECT_FALSE(deliver(script, {}).correct) << "token index check";
    script.faults = faults_with(2, fault::skipped_index);
    EXPECT_FALSE(deliver(script, {}).correct) << "token index check";
    script = {};
    script.faults = faults_with(2, fault::other_generation);
    script.forges_generation_id = true;
    EXPECT_FALSE(deliver(script, {}).correct) << "generation id check";
    script = {};
    script.faults = faults_with(3, fault::crash);
    script.deterministic = false;
    script.resumes_on_new_generation = true;
    EXPECT_FALSE(deliver(script, {}).correct) << "verified replay";
}

// Guards against a false "not run" after an attempt whose outcome is unknown.
TEST(generation_delivery, is_reported_as_not_run_only_if_no_attempt_may_have_run)
{
    auto const fail_delivery = [](scenario const& script)
    {
        auto const run = deliver(script, {});
        EXPECT_EQ(run.outcome.status, delivery_status::failed);
        return run.outcome.error.kind;
    };
    scenario script;
    script.faults = {fault::rejection};
    EXPECT_EQ(fail_delivery(script), base::error_kind::bad_request);
    script.faults = {fault::crash, fault::rejection};
    EXPECT_EQ(fail_delivery(script), base::error_kind::generation_lost);
    script.faults = {};
    script.loses_starts = true;
    EXPECT_EQ(fail_delivery(script), base::error_kind::generation_lost);
}

// Guards against unbounded memory use by a buffered response and against endless retries.
TEST(generation_delivery, limits_buffered_bytes_and_attempts)
{
    scenario script;
    script.length = 1000;
    script.faults = std::deque<fault>(500, fault::none);
    script.faults.push_back(fault::crash);
    delivery_settings settings;
    settings.kind = work_kind::proposal;
    settings.mode = delivery_mode::buffered;
    settings.maximum_buffered_bytes = 4096;
    EXPECT_EQ(deliver(script, settings).outcome.status, delivery_status::complete);
    settings.may_switch_to_streaming = false;
    EXPECT_EQ(deliver(script, settings).outcome.status, delivery_status::failed);
    script.faults = std::deque<fault>(100, fault::crash);
    auto const failed_run = deliver(script, settings);
    EXPECT_EQ(failed_run.outcome.status, delivery_status::failed);
    EXPECT_EQ(failed_run.outcome.attempts, 4);
    EXPECT_EQ(failed_run.outcome.error.kind, base::error_kind::generation_lost);
}

// Guards against repeated or skipped tokens if the caller reconnects, after any token.
TEST(generation_delivery, resumes_at_the_position_of_the_caller)
{
    for (std::size_t index = 1; index < 6; ++index)
        for (bool const generation_lost : {false, true})
        {
            base::manual_clock_source const clock;
            scenario script;
            scripted_transport transport(script);
            recording_sink sink;
            sink.disconnects_after = index;
            delivery_settings settings;
            settings.kind = work_kind::proposal;
            generation_delivery first(settings, clock, transport, sink);
            EXPECT_EQ(first.run().status, delivery_status::caller_disconnected);
            if (generation_lost)
                transport.abandon_attempt(attempt_failure::connection_lost);
            sink.disconnects_after.reset();
            generation_delivery second(settings, clock, transport, sink);
            auto const outcome =
                second.resume_from({static_cast<std::int64_t>(index), sink.digest});
            EXPECT_EQ(outcome.status, delivery_status::complete);
            EXPECT_EQ(sink.received.size(), 6U);
            EXPECT_EQ(std::set<std::string>(sink.received.begin(), sink.received.end()).size(), 6U);
        }
}

// Guards against a table entry that repeats an action that may have been executed.
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

// Guards against retry storms: while servers keep failing, retries must not exceed their fraction
// of the requests.
TEST(retry_policy, limits_retries_to_their_fraction_of_requests)
{
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 10000; ++request)
    {
        budget.add_request(0.1);
        retries += budget.try_spend() ? 1 : 0;
    }
    EXPECT_LE(retries, 1000 + static_cast<int>(retry_budget::capacity));
}

} // namespace
} // namespace jasminepier::decision
