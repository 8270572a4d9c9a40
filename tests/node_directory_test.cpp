/// The list of entry nodes that callers and peers use. No network.
#include "serving/node_directory.hpp"

#include <gtest/gtest.h>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(100)};

node_entry make_node(std::string const& name)
{
    return {name, "a", name + ":8740", name, 7200};
}

node_state_report make_report(std::string const& name, std::int64_t started, std::int64_t sequence,
                              node_phase phase = node_phase::ready)
{
    return {make_node(name), started, sequence, phase, true};
}

class node_directory_test : public testing::Test
{
protected:
    void SetUp() override { m_directory.set_phase(node_phase::ready); }
    std::vector<std::string> addresses(base::time_point now)
    {
        return m_directory.caller_addresses(64, now);
    }
    node_directory m_directory{make_node("self")};
};

// Guards against callers that are sent to a node which is dead or does not take them.
TEST_F(node_directory_test, names_living_ready_nodes_only)
{
    m_directory.apply_listed({make_node("n1"), make_node("n2"), make_node("n3")}, start);
    EXPECT_EQ(addresses(start), std::vector<std::string>{"self:8740"});
    m_directory.apply_report(make_report("n1", 1, 1), start);
    m_directory.apply_report(make_report("n2", 1, 1, node_phase::stopping), start);
    m_directory.apply_report(make_report("n3", 1, 1, node_phase::starting), start);
    EXPECT_EQ(addresses(start), (std::vector<std::string>{"self:8740", "n1:8740"}));
    EXPECT_EQ(addresses(start + node_directory::silence_limit),
              std::vector<std::string>{"self:8740"});
    m_directory.set_phase(node_phase::stopping);
    EXPECT_TRUE(addresses(start + node_directory::silence_limit).empty());
}

// Guards against late datagrams that make a stopped node look ready again.
TEST_F(node_directory_test, older_reports_change_nothing)
{
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 2, 5, node_phase::stopping), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 2, 4), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 1, 9), start));
    EXPECT_EQ(addresses(start).size(), 1U);
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 3, 1), start));
    EXPECT_EQ(addresses(start).size(), 2U);
}

// Guards against a list that hides a node which the store does not know yet, and against one that
// keeps nodes for ever.
TEST_F(node_directory_test, unlisted_nodes_live_as_long_as_they_report)
{
    m_directory.apply_report(make_report("n1", 1, 1), start);
    m_directory.apply_listed({}, start);
    EXPECT_EQ(m_directory.peers().size(), 1U);
    m_directory.expire(start + node_directory::silence_limit);
    EXPECT_TRUE(m_directory.peers().empty());
    m_directory.apply_listed({make_node("n2")}, start);
    EXPECT_TRUE(m_directory.long_silent(start + node_directory::removal_limit).empty());
    EXPECT_EQ(m_directory.long_silent(start + node_directory::removal_limit + seconds(1)),
              std::vector<std::string>{"n2"});
}

// Guards against report traffic that grows with the square of the fleet.
TEST_F(node_directory_test, nodes_report_more_slowly_in_larger_fleets)
{
    auto const small = m_directory.report_interval();
    std::vector<node_entry> many;
    many.reserve(400);
    for (int i = 0; i < 400; ++i)
        many.push_back(make_node("n" + std::to_string(i)));
    m_directory.apply_listed(many, start);
    EXPECT_LT(small, m_directory.report_interval());
    EXPECT_EQ(m_directory.report_interval(), node_directory::slowest_report_interval);
}

} // namespace
} // namespace jasminepier::serving
