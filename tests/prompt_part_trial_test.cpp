#include "tests/support/report_network.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminepier::decision
{
namespace
{

using namespace std::chrono_literals;

constexpr base::milliseconds report_interval{200};

struct fleet
{
    std::size_t nodes;
    std::size_t zones;
};

/// Plays requests with one part at random nodes and trials that end after a second. Three nodes
/// record crashes at the start.
class trial_play
{
public:
    explicit trial_play(fleet const& size) : m_network(size.nodes, size.zones, 0.2)
    {
        for (std::size_t crash = 0; crash < 3; ++crash)
        {
            m_now += 500ms;
            crash_at((crash * 2 + 1) % m_network.size());
            m_network.exchange(m_now);
        }
        m_last_crash = m_now;
        m_last_news = m_now;
    }

    void run(base::milliseconds duration, bool crashes)
    {
        for (auto const end = m_now + duration; m_now < end;)
        {
            m_now += report_interval;
            for (std::size_t i = 0; i <= m_network.size() / 8; ++i)
                send_request_at(m_random() % m_network.size());
            if (m_running && m_now >= m_running->begin + 1s)
            {
                if (crashes)
                    crash_at(m_running->node);
                else
                    m_network.node(m_running->node).record_answered(m_part, m_now);
                m_running.reset();
                m_last_news = m_now;
            }
            // Reports without news change nothing, and large fleets take long to simulate.
            if (m_now < m_last_news + 3s)
                m_network.exchange(m_now);
        }
    }

    std::size_t rejecting_nodes() const { return m_network.count_nodes_that_reject(m_part, m_now); }
    /// Times of the trials since the last of the first crashes.
    std::vector<std::chrono::seconds> const& trials() const noexcept { return m_trials; }

private:
    struct running_trial
    {
        std::size_t node;
        base::time_point begin;
    };

    void crash_at(std::size_t node)
    {
        m_network.node(node).record_unanswered(m_part, "s" + std::to_string(++m_crashes), "",
                                               m_now);
    }

    void send_request_at(std::size_t node)
    {
        auto& detector = m_network.node(node);
        auto const deciding_part = detector.find_due_trial(m_part, m_now);
        if (!deciding_part ||
            !detector.try_begin_trial(m_part, m_network.position(node, *deciding_part), m_now))
            return;
        m_trials.push_back(std::chrono::duration_cast<std::chrono::seconds>(m_now - m_last_crash));
        m_running = {node, m_now};
        m_last_news = m_now;
    }

    report_network m_network;
    std::vector<std::uint64_t> m_part = make_parts({"part"});
    base::time_point m_now{10000s};
    base::time_point m_last_crash{};
    base::time_point m_last_news{};
    std::optional<running_trial> m_running;
    std::vector<std::chrono::seconds> m_trials;
    int m_crashes = 0;
    std::mt19937 m_random{7};
};

// Guards against a part that is rejected by mistake and stays rejected for an hour, since nothing
// with it may run and so nothing can clear it.
TEST(prompt_part_trial, clears_a_part_that_was_rejected_by_mistake)
{
    for (auto const& size : {fleet{1, 1}, fleet{8, 1}, fleet{67, 3}, fleet{300, 3}})
    {
        trial_play play(size);
        play.run(50s, false);
        EXPECT_EQ(play.rejecting_nodes(), size.nodes);
        EXPECT_TRUE(play.trials().empty());
        play.run(100s, false);
        EXPECT_EQ(play.rejecting_nodes(), 0U) << size.nodes << " nodes";
        EXPECT_EQ(play.trials().size(), 1U) << size.nodes << " nodes";
        std::cout << size.nodes << " nodes: cleared by the trial at "
                  << play.trials().front().count() << " s\n";
    }
}

// Guards against trials by which a part that still crashes servers breaks the limit of three
// requests, at several nodes at once or because the delay does not grow.
TEST(prompt_part_trial, of_a_crashing_part_is_sent_by_one_node_with_growing_delays)
{
    for (auto const& size : {fleet{8, 1}, fleet{67, 3}, fleet{300, 3}})
    {
        trial_play play(size);
        play.run(900s, true);
        EXPECT_LE(play.trials().size(), 3U) << size.nodes << " nodes";
        EXPECT_EQ(play.rejecting_nodes(), size.nodes);
        // The first crashes expire.
        if (size.nodes < 10)
            play.run(3h, true);
        EXPECT_EQ(play.rejecting_nodes(), size.nodes);
        auto previous = 0s;
        auto delay = first_trial_delay;
        for (auto const trial : play.trials())
        {
            EXPECT_GE(trial - previous, delay)
                << size.nodes << " nodes, trial at " << trial.count();
            previous = trial;
            delay = std::min(delay * 2, maximum_trial_delay / 2);
        }
    }
}

// Guards against two processes that may begin a trial of a part at the same time, and against a
// process that never may.
RC_GTEST_PROP(prompt_part_trial, turn_belongs_to_one_process, ())
{
    auto const zones = *rc::gen::inRange<std::size_t>(1, 4);
    auto const nodes = *rc::gen::inRange<std::size_t>(zones, 30);
    auto const part = *rc::gen::arbitrary<std::uint64_t>();
    auto const overdue = base::milliseconds(*rc::gen::inRange(0, 1'000'000));
    report_network const network(nodes, zones, 0);
    std::size_t open = 0;
    std::set<std::size_t> ranks;
    for (std::size_t node = 0; node < nodes; ++node)
    {
        auto const position = network.position(node, part);
        RC_ASSERT(position.rank < position.size);
        RC_ASSERT(ranks.insert(position.rank).second);
        open += has_trial_turn(overdue, position) ? 1 : 0;
    }
    RC_ASSERT(open <= 1U);
}

// Guards against a second trial while the outcome of the first is unknown, and against none if it
// never becomes known.
TEST(prompt_part_trial, without_an_outcome_is_repeated_after_the_first_delay)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const part = make_parts({"part"});
    for (auto const* server : {"a", "b", "c"})
        detector.record_unanswered(part, server, "", now += 1s);
    EXPECT_FALSE(detector.try_begin_trial(part, {}, now + first_trial_delay - 1ms));
    now += first_trial_delay;
    // Another process has announced a trial.
    poison_request_detector informed;
    informed.merge(detector.events(now), now);
    EXPECT_TRUE(detector.try_begin_trial(part, {}, now));
    informed.merge_tried(detector.take_report(4, now).tried_parts, now);
    for (auto* node : {&detector, &informed})
    {
        EXPECT_FALSE(node->find_due_trial(part, now + first_trial_delay - 1ms));
        EXPECT_TRUE(node->try_begin_trial(part, {}, now + first_trial_delay));
    }
}

// Guards against unbounded memory use by the trials of many parts.
TEST(prompt_part_trial, is_remembered_for_a_limited_number_of_parts)
{
    base::time_point const now{10000s};
    poison_request_detector detector;
    std::vector<tried_part> tried;
    for (std::uint64_t part = 0; part < 2 * poison_request_detector::maximum_trials; ++part)
        tried.push_back({part, 0});
    detector.merge_tried(tried, now);
    auto const part = make_parts({"part"});
    for (auto const* server : {"a", "b", "c"})
        detector.merge(std::vector<crash_event>{{part[0], server, "", 100 + server[0]}}, now);
    EXPECT_FALSE(detector.try_begin_trial(part, {}, now));
    EXPECT_TRUE(detector.try_begin_trial(part, {}, now + first_trial_delay));
}

} // namespace
} // namespace jasminepier::decision
