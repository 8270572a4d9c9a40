/// Tables of the members and of the crash records that a node has received.
#pragma once

#include "base/clock.hpp"
#include "membership/record.hpp"
#include "membership/update_queue.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace jasminepier::membership
{

/// The gossiped record of a peer and what this node observed itself.
struct member_entry
{
    member_record record;
    /// When the local suspicion began. The suspicion of a leaving node isn't gossiped, since its
    /// state `leaving` takes precedence over `suspect`.
    std::optional<base::time_point> suspected_since;
    /// When the record's state became `dead`.
    std::optional<base::time_point> dead_since;
    /// True if the suspicion timed out while this node received nothing at all. Never gossiped.
    bool locally_unreachable = false;

    bool is_dead() const noexcept { return record.state == member_state::dead; }
    member_state::type observed_state() const noexcept
    {
        return locally_unreachable ? member_state::dead : record.state;
    }
};

using member_table = std::map<std::string, member_entry>;

/// A set of crash records, each of which expires an hour after the crash.
class crash_record_set
{
public:
    static constexpr std::int64_t expiry_seconds = 3600;
    /// Limits memory and the size of updates to the entry process; the oldest record is evicted.
    static constexpr std::size_t maximum_records = 4096;

    /// Returns true if the record is new and has not expired.
    bool merge(base::time_point now, crash_record const& record);
    /// Returns the records that have not expired, with their current age.
    std::vector<crash_record> records(base::time_point now);
    std::optional<crash_record> find(base::time_point now, std::string const& key) const;
    static std::string make_key(crash_record const& record);

private:
    struct stored_record
    {
        crash_record record;
        base::time_point crash_time;
    };
    void expire(base::time_point now);
    std::map<std::string, stored_record> m_records;
};

} // namespace jasminepier::membership
