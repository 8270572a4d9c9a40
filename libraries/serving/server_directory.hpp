/// The backend servers that the store lists.
#pragma once

#include "base/clock.hpp"
#include "serving/server_load.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminepier::serving
{

/// A server's entry in the store, which the server writes itself.
struct server_entry
{
    /// Usually identifies one incarnation of the server; see `started_unix_milliseconds`.
    std::string id;
    std::string service;
    /// IP:PORT.
    std::string address;
    std::string zone;
    int slots = 1;
    bool draining = false;
    /// Remaining warm-up time when the server wrote the entry.
    base::milliseconds remaining_warm_up{0};
    /// Start time of the server, which may restart under the same id.
    std::int64_t started_unix_milliseconds = 0;
    /// The store's revision of the entry.
    std::int64_t revision = 0;
    /// Version of the server's software; empty if the entry states none.
    std::string version{};
};

enum class server_phase
{
    ready,
    draining,
    /// The entry was removed during or shortly after an outage of the store, when servers could not
    /// renew it. Running servers write it again within `expired_entry_grace_period`.
    expired,
    removed,
};

/// True if a server in this phase may get requests.
constexpr bool is_usable(server_phase phase) noexcept
{
    return phase == server_phase::ready || phase == server_phase::expired;
}

struct listed_server
{
    server_entry entry;
    /// Identifies the server in reports.
    server_hash hash = 0;
    server_phase phase = server_phase::ready;
    base::time_point phase_since{};
    base::time_point cold_until{};
    /// Why the server counts as leaving or gone; empty while it is ready.
    std::optional<leaving_notice> leaving;
};

/// Effect of a notice that a server leaves.
enum class notice_effect
{
    /// The server counts as leaving from now on.
    applied,
    already_known,
    /// The server is not listed, or its entry is newer than the notice.
    outdated,
};

/// The servers that the store lists. Removals during and shortly after an outage of the store are
/// delayed by a grace period, since entries expire while servers cannot renew them. Not
/// synchronized.
class server_directory
{
public:
    /// Servers write expired entries again within about 2 s after the store recovers, according to
    /// the platform's documentation.
    static constexpr base::milliseconds expired_entry_grace_period{2200};
    /// Time after this node's first list of servers in which the list may be incomplete: if the
    /// store failed together with the nodes, the servers write their entries again only now.
    static constexpr base::milliseconds startup_period{3000};
    /// How long a removed server stays in the list. Generations that it still runs may end in this
    /// time, and its address isn't assigned to another server.
    static constexpr base::milliseconds removed_server_retention{30000};

    /// Applies a complete list read at `revision`. Servers missing from it are removed.
    void apply_list(std::span<server_entry const> entries, std::int64_t revision,
                    base::time_point now);
    void apply_entry(server_entry const& entry, base::time_point now);
    void apply_removal(std::string const& id, std::int64_t revision, base::time_point now);

    /// Records that the list of servers has been read. Only the first call has an effect.
    void record_list(base::time_point now)
    {
        if (!m_first_list)
            m_first_list = now;
    }
    /// Marks the server as draining because a peer reports that it leaves, unless its entry is
    /// newer than the notice. Entries that are not newer don't bring it back.
    notice_effect record_leaving(std::string const& id, leaving_notice const& notice,
                                 base::time_point now);
    /// The same for what the server process that started at `started_unix_milliseconds` says
    /// itself. Entries that list it as ready don't bring it back unless it has started anew.
    /// Returns false if it has said so before, or has started again since.
    bool record_announced_leaving(std::string const& id, std::int64_t started_unix_milliseconds,
                                  base::time_point now);
    /// True if the server is listed with this start time.
    bool lists_process(std::string const& id, std::int64_t started_unix_milliseconds) const;

    void handle_store_lost(base::time_point now);
    void handle_store_reached(base::time_point now);
    /// Records that the store was restored from a copy. Servers that the copy lacks write their
    /// entries again, as after an outage.
    void handle_store_restored(base::time_point now);
    /// Removes expired servers after their grace period, and removed servers after their retention.
    /// Returns true if a server changed its phase.
    bool expire(base::time_point now);

    std::map<std::string, listed_server> const& servers() const noexcept { return m_servers; }
    /// Returns the revision of the entry with which the server started again under its id; 0 if it
    /// has not since it was first listed.
    std::int64_t restart_revision(server_hash server) const
    {
        auto const found = m_restart_revisions.find(server);
        return found == m_restart_revisions.end() ? 0 : found->second;
    }
    bool store_lost() const noexcept { return m_store_lost; }
    /// True if the store recovered from an outage after `time`. Watches that were open during the
    /// outage are lost.
    bool store_recovered_since(base::time_point time) const noexcept
    {
        return m_store_ever_recovered && !m_store_lost && m_store_recovered_at > time;
    }
    /// True if running servers may be missing from the list, and will be back in a moment.
    bool may_miss_servers(base::time_point now) const noexcept
    {
        return m_store_lost || !m_first_list || now < *m_first_list + startup_period ||
               (m_store_ever_recovered && now < m_store_recovered_at + expired_entry_grace_period);
    }
    std::int64_t revision() const noexcept { return m_revision; }
    /// Increases with every change of a server's entry or phase.
    std::uint64_t change_count() const noexcept { return m_change_count; }

private:
    void mark_removed(listed_server& server, std::int64_t revision, base::time_point now);
    /// True if the entry may be what a copy, from which the store was restored, says about a server
    /// that has left since.
    static bool may_be_outdated(server_entry const& entry, listed_server const& server);

    std::map<std::string, listed_server> m_servers;
    std::unordered_map<server_hash, std::int64_t> m_restart_revisions;
    /// The revision of each server's last removal; entries that are not newer are stale.
    std::map<std::string, std::int64_t> m_removal_revisions;
    std::int64_t m_revision = 0;
    std::uint64_t m_change_count = 0;
    std::optional<base::time_point> m_first_list;
    bool m_store_lost = false;
    base::time_point m_store_recovered_at{};
    bool m_store_ever_recovered = false;
};

} // namespace jasminepier::serving
