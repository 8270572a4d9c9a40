/// Tests of the search for evidence after a lost answer.
#include "serving/lost_answer_table.hpp"

#include <gtest/gtest.h>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;

class lost_answer_table_test : public testing::Test
{
protected:
    lost_answer_table_test() { list("s1", "127.0.0.1:1000", 5000); }

    void list(std::string const& id, std::string const& address, std::int64_t started)
    {
        server_entry entry;
        entry.id = id;
        entry.address = address;
        entry.started_unix_milliseconds = started;
        entry.revision = ++m_revision;
        m_directory.apply_entry(entry, m_now);
    }

    lost_answer make_answer(std::string const& request, std::string const& address,
                            std::int64_t started) const
    {
        return {request, 1, {}, "s1", address, started, m_now};
    }

    base::time_point m_now{milliseconds(100000)};
    server_directory m_directory;
    std::int64_t m_revision = 0;
    lost_answer_table m_table;
};

TEST_F(lost_answer_table_test, finds_a_server_that_restarted_under_its_id)
{
    m_table.add(make_answer("r1", "127.0.0.1:1000", 5000));
    EXPECT_TRUE(m_table.take_restarted(m_directory, m_now).empty());
    list("s1", "127.0.0.1:1000", 9000);
    auto const found = m_table.take_restarted(m_directory, m_now + milliseconds(3000));
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].request_id, "r1");
    EXPECT_EQ(m_table.size(), 0U);
}

TEST_F(lost_answer_table_test, finds_a_server_that_restarted_under_another_id)
{
    m_table.add(make_answer("r1", "127.0.0.1:1000", 5000));
    list("s2", "127.0.0.1:1000", 9000);
    EXPECT_EQ(m_table.take_restarted(m_directory, m_now).size(), 1U);
}

// Guards against blaming a request for a start that was known when its answer was lost, or for one
// that cannot be compared.
TEST_F(lost_answer_table_test, ignores_other_servers_and_unknown_starts)
{
    list("s2", "127.0.0.1:2000", 9000);
    m_table.add(make_answer("r1", "127.0.0.1:1000", 5000));
    m_table.add(make_answer("r2", "127.0.0.1:2000", 0));
    EXPECT_TRUE(m_table.take_restarted(m_directory, m_now).empty());
}

// Guards against blaming a request for a restart long after its answer was lost.
TEST_F(lost_answer_table_test, drops_answers_after_the_observation_time)
{
    m_table.add(make_answer("r1", "127.0.0.1:1000", 5000));
    list("s1", "127.0.0.1:1000", 9000);
    EXPECT_TRUE(
        m_table.take_restarted(m_directory, m_now + lost_answer_table::observation_time).empty());
    EXPECT_EQ(m_table.size(), 0U);
}

TEST_F(lost_answer_table_test, asks_for_one_more_probe_of_each_server)
{
    m_table.add(make_answer("r1", "127.0.0.1:1000", 5000));
    m_table.add(make_answer("r2", "127.0.0.1:1000", 5000));
    m_table.add(make_answer("r3", "127.0.0.1:2000", 5000));
    EXPECT_TRUE(m_table.take_due_probes(m_now, 9).empty());
    auto const due = m_now + lost_answer_table::second_probe_delay;
    EXPECT_EQ(m_table.take_due_probes(due, 1), (std::vector<std::string>{"127.0.0.1:1000"}));
    EXPECT_EQ(m_table.take_due_probes(due, 1), (std::vector<std::string>{"127.0.0.1:2000"}));
    EXPECT_TRUE(m_table.take_due_probes(due, 1).empty());
    EXPECT_EQ(m_table.take_refused("127.0.0.1:1000").size(), 2U);
    EXPECT_EQ(m_table.size(), 1U);
}

TEST_F(lost_answer_table_test, is_bounded)
{
    for (std::size_t i = 0; i < 2 * lost_answer_table::maximum_answers; ++i)
        m_table.add(make_answer("r" + std::to_string(i), "127.0.0.1:1000", 5000));
    EXPECT_EQ(m_table.size(), lost_answer_table::maximum_answers);
}

} // namespace
} // namespace jasminepier::serving
