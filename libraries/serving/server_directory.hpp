/// The backend servers that the store lists.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace jasminepier::serving
{

/// One server as it describes itself.
struct server_entry
{
    /// Names one incarnation of the server in most cases; see `born`.
    std::string id;
    std::string service;
    /// IP:PORT.
    std::string address;
    std::string zone;
    int slots = 1;
    bool draining = false;
    /// How much longer the server is cold, as of when it wrote the entry.
    base::milliseconds cold_for{0};
    /// Unix milliseconds of the server's start; a server may start again under its id.
    std::int64_t started_unix_milliseconds = 0;
    /// The store's revision of the entry.
    std::int64_t revision = 0;
};

enum class server_phase
{
    ready,
    draining,
    /// The entry was removed while the store was away or just after; servers write such entries
    /// again within `lapse_grace`.
    expired,
    removed,
};

struct listed_server
{
    server_entry entry;
    server_phase phase = server_phase::ready;
    base::time_point phase_since{};
    base::time_point cold_until{};
};

/// Follows the store's list of servers. Deletions around an outage of the store are held back,
/// since entries lapse when servers cannot renew them. Not synchronized.
class server_directory
{
public:
    /// Servers write lapsed entries again within about 2 s of the store's return (platform pages).
    static constexpr base::milliseconds expired_entry_grace_period{2200};
    /// A removed server is remembered for as long as its address is not used again and runs that
    /// it still serves may end.
    static constexpr base::milliseconds removed_server_retention{30000};

    /// Takes over a complete list read at `revision`.
    void apply_list(std::span<server_entry const> entries, std::int64_t revision,
                    base::time_point now);
    void apply_entry(server_entry const& entry, base::time_point now);
    void apply_removal(std::string const& id, std::int64_t revision, base::time_point now);

    /// Another source than the store says that the server leaves.
    void record_leaving(std::string const& id, base::time_point now);

    void handle_store_lost(base::time_point now);
    void handle_store_reached(base::time_point now);
    /// Ends the grace of lapsed entries. Returns true when a server changed its phase.
    bool expire(base::time_point now);

    std::map<std::string, listed_server> const& servers() const noexcept { return m_servers; }
    bool store_lost() const noexcept { return m_store_lost; }
    /// True when the store was away and is back since `time`. What waited there then is lost.
    bool store_returned_since(base::time_point time) const noexcept
    {
        return m_ever_returned && !m_store_lost && m_store_returned > time;
    }
    std::int64_t revision() const noexcept { return m_revision; }
    /// Changes with every change of a server's entry or phase.
    std::uint64_t change_count() const noexcept { return m_change_count; }

private:
    void remove(listed_server& server, base::time_point now);

    std::map<std::string, listed_server> m_servers;
    /// The revision at which each id was last removed, so that older entries stay out.
    std::map<std::string, std::int64_t> m_removed_at;
    std::int64_t m_revision = 0;
    std::uint64_t m_change_count = 0;
    bool m_store_lost = false;
    base::time_point m_store_returned{};
    bool m_ever_returned = false;
};

} // namespace jasminepier::serving
