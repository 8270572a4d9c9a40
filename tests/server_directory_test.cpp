/// Server list during outages of the store. No network.
#include "serving/server_directory.hpp"
#include "store/object_version.hpp"

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

server_phase find_phase(server_directory const& directory, std::string const& id)
{
    return directory.servers().at(id).phase;
}

// Guards against dropping healthy servers whose entries expired during an outage of the store.
TEST(server_directory, keeps_entries_that_expire_in_a_store_outage_for_the_grace_period)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    directory.apply_entry(make_entry("s2", 6), start);
    directory.handle_store_lost(start + seconds(1));
    directory.handle_store_reached(start + seconds(5));
    directory.apply_list({}, 9, start + seconds(5));
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::expired);
    directory.apply_entry(make_entry("s1", 10), start + seconds(6));
    directory.expire(start + seconds(5) + server_directory::expired_entry_grace_period);
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::ready);
    EXPECT_EQ(find_phase(directory, "s2"), server_phase::removed);
}

// Guards against applying the grace period to regular removals.
TEST(server_directory, removes_a_server_at_once_without_a_store_outage)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    directory.apply_removal("s1", 6, start + seconds(1));
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::removed);
}

// Guards against selecting a draining server again because its removal is taken for an expired
// entry.
TEST(server_directory, removes_a_draining_server_at_once_in_a_store_outage)
{
    server_directory directory;
    auto draining_entry = make_entry("s1", 5);
    draining_entry.draining = true;
    directory.apply_entry(draining_entry, start);
    directory.handle_store_lost(start);
    directory.apply_removal("s1", 6, start + seconds(1));
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::removed);
}

// Guards against stale reads that restore a removed server or an older entry.
TEST(server_directory, ignores_entries_that_are_not_newer)
{
    server_directory directory;
    auto draining_entry = make_entry("s1", 7);
    draining_entry.draining = true;
    directory.apply_entry(draining_entry, start);
    directory.apply_entry(make_entry("s1", 5), start);
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::draining);
    directory.apply_removal("s1", 8, start);
    directory.apply_entry(make_entry("s1", 7), start);
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::removed);
    directory.apply_list({}, 3, start);
    // A server may restart under the same id.
    directory.apply_entry(make_entry("s1", 9), start);
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::ready);
}

// Guards against missing a drain notice that only reaches the node through a peer or the server.
TEST(server_directory, marks_a_server_as_draining_when_another_source_reports_it)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    auto const previous_count = directory.change_count();
    EXPECT_EQ(directory.record_leaving("s1", {.revision = 6}, start), notice_effect::applied);
    EXPECT_EQ(directory.record_leaving("s1", {.revision = 6}, start), notice_effect::already_known);
    EXPECT_EQ(directory.record_leaving("unknown", {.revision = 6}, start), notice_effect::outdated);
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::draining);
    EXPECT_GT(directory.change_count(), previous_count);
}

// Guards against a list that grows with every server that has ever existed.
TEST(server_directory, drops_removed_servers_after_the_retention)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", 5), start);
    directory.apply_removal("s1", 6, start);
    directory.expire(start + server_directory::removed_server_retention);
    EXPECT_TRUE(directory.servers().empty());
}

// Guards against selecting a server that has left because a store that was restored from a copy
// lists it as ready, and against never using it again after it has started anew.
TEST(server_directory, entry_of_a_restored_store_does_not_bring_back_a_server_that_left)
{
    server_directory directory;
    auto entry = make_entry("s1", store::make_version(1, 20));
    entry.started_unix_milliseconds = 7000;
    directory.apply_entry(entry, start);
    entry.draining = true;
    entry.revision = store::make_version(1, 30);
    directory.apply_entry(entry, start);
    directory.handle_store_restored(start + seconds(1));
    entry.draining = false;
    entry.revision = store::make_version(2, 20);
    directory.apply_list({&entry, 1}, store::make_version(2, 25), start + seconds(1));
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::draining);
    directory.apply_removal("s1", store::make_version(2, 26), start + seconds(2));
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::removed);
    entry.started_unix_milliseconds = 9000;
    entry.revision = store::make_version(2, 27);
    directory.apply_entry(entry, start + seconds(3));
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::ready);
}

// Guards against ignoring what a server writes again, which has a revision given out before.
TEST(server_directory, restored_revisions_are_newer_than_those_before)
{
    server_directory directory;
    directory.apply_entry(make_entry("s1", store::make_version(1, 50)), start);
    auto draining = make_entry("s1", store::make_version(2, 12));
    draining.draining = true;
    directory.apply_entry(draining, start);
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::draining);
    directory.apply_entry(make_entry("s1", store::make_version(1, 51)), start);
    EXPECT_EQ(find_phase(directory, "s1"), server_phase::draining);
}

// Guards against limiting servers as cold because the copy is of the time when they started.
TEST(server_directory, entry_of_a_restored_store_does_not_start_the_warm_up_again)
{
    server_directory directory;
    auto entry = make_entry("s1", store::make_version(1, 50));
    entry.remaining_warm_up = seconds(5);
    directory.apply_entry(entry, start);
    entry.revision = store::make_version(2, 40);
    directory.apply_entry(entry, start + seconds(60));
    EXPECT_EQ(directory.servers().at("s1").cold_until, start + seconds(5));
}

} // namespace
} // namespace jasminepier::serving
