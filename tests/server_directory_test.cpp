/// The list of servers through outages of the store. No network.
#include "serving/server_directory.hpp"

#include <gtest/gtest.h>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(100)};

server_entry make_entry(std::string id, std::int64_t revision)
{
    server_entry entry;
    entry.id = std::move(id);
    entry.service = "shop";
    entry.revision = revision;
    return entry;
}

server_phase phase_of(server_directory const& directory, std::string const& id)
{
    return directory.servers().at(id).phase;
}

// Guards against dropping healthy servers whose entries lapsed while the store was away.
TEST(server_directory, entries_that_lapse_in_an_outage_stay_usable_for_a_while)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    directory.apply_entry(make_entry("s2", 6), start);
    directory.handle_store_lost(start + seconds(1));
    directory.handle_store_reached(start + seconds(5));
    directory.apply_list({}, 9, start + seconds(5));
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::expired);
    directory.apply_entry(make_entry("s1", 10), start + seconds(6));
    directory.expire(start + seconds(5) + server_directory::expired_entry_grace_period);
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::ready);
    EXPECT_EQ(phase_of(directory, "s2"), server_phase::removed);
}

// Guards against servers that are kept although they were removed in the ordinary course.
TEST(server_directory, a_removal_without_an_outage_counts_at_once)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    directory.apply_removal("s1", 6, start + seconds(1));
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::removed);
}

// Guards against a draining server that becomes usable again because its removal looks like a
// lapse.
TEST(server_directory, a_draining_server_does_not_lapse)
{
    server_directory directory;
    auto draining = make_entry("s1", 5);
    draining.draining = true;
    directory.apply_entry(draining, start);
    directory.handle_store_lost(start);
    directory.apply_removal("s1", 6, start + seconds(1));
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::removed);
}

// Guards against stale reads that bring a removed or an older entry back.
TEST(server_directory, older_entries_change_nothing)
{
    server_directory directory;
    auto draining = make_entry("s1", 7);
    draining.draining = true;
    directory.apply_entry(draining, start);
    directory.apply_entry(make_entry("s1", 5), start);
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::draining);
    directory.apply_removal("s1", 8, start);
    directory.apply_entry(make_entry("s1", 7), start);
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::removed);
    directory.apply_list({}, 3, start);
    // A server may start again under its id.
    directory.apply_entry(make_entry("s1", 9), start);
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::ready);
}

// Guards against missing a server's leaving while only peers or the server itself tell of it.
TEST(server_directory, other_sources_may_say_that_a_server_leaves)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    auto const before = directory.change_count();
    directory.record_leaving("s1", start);
    directory.record_leaving("unknown", start);
    EXPECT_EQ(phase_of(directory, "s1"), server_phase::draining);
    EXPECT_GT(directory.change_count(), before);
}

// Guards against a table that grows with every server that ever lived.
TEST(server_directory, gone_servers_are_forgotten)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    directory.apply_removal("s1", 6, start);
    directory.expire(start + server_directory::removed_server_retention);
    EXPECT_TRUE(directory.servers().empty());
}

} // namespace
} // namespace jasminepier::serving
