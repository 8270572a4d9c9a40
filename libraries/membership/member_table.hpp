/// What a node knows of its peers and of crashes.
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

/// A peer as gossiped, with what this node saw itself.
struct member_entry
{
    member_record record;
    /// When the suspicion that this node tracks began. A leaving node is suspected here only: its
    /// record says leaving, which has precedence over suspect.
    std::optional<base::time_point> suspected_since;
    /// When the record became dead.
    std::optional<base::time_point> dead_since;
    /// Unanswered while this node heard nothing at all; never gossiped.
    bool locally_unreachable = false;

    bool is_dead() const noexcept { return record.state == member_state::dead; }
    /// The state as this node sees it.
    member_state::type observed_state() const noexcept
    {
        return locally_unreachable ? member_state::dead : record.state;
    }
};

using member_table = std::map<std::string, member_entry>;

/// Crash records merged as a set; each expires an hour after the crash.
class crash_record_set
{
public:
    static constexpr std::int64_t expiry_seconds = 3600;
    /// Bounds memory and the answer to the entry process; the oldest records give way.
    static constexpr std::size_t maximum_records = 4096;

    /// Returns true when the record was not known and has not expired.
    bool merge(base::time_point now, crash_record const& record);
    /// Returns the records that have not expired, with their present age.
    std::vector<crash_record> records(base::time_point now);
    std::optional<crash_record> find(base::time_point now, std::string const& key) const;
    static std::string make_key(crash_record const& record);

private:
    struct stored_record
    {
        crash_record record;
        base::time_point crashed;
    };
    void expire(base::time_point now);
    std::map<std::string, stored_record> m_records;
};

} // namespace jasminepier::membership
