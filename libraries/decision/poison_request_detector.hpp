/// Detection of poison requests: requests that crash the servers that run them.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace jasminepier::decision
{

/// A crash of a server and the fingerprint of a request that was running on it. `instance`
/// distinguishes several crashes of one server.
struct crash_event
{
    std::uint64_t fingerprint = 0;
    std::string server;
    std::string instance;
    /// Rounded up, so forwarding an event never makes it younger.
    std::int64_t age_seconds = 0;
};

enum class poison_verdict
{
    clean,
    /// Has been running during a crash. It runs only on a server without another suspected request.
    suspected,
    rejected,
};

/// A replicated set of crash events. Merging is idempotent and commutative, so duplicate and
/// reordered messages don't matter. Thread-safe.
class poison_request_detector
{
public:
    static constexpr std::chrono::seconds event_lifetime{3600};
    /// Crashes after which a request is rejected. A harmless request that shares a batch with a
    /// poison request once or twice stays below the threshold.
    static constexpr std::size_t rejection_threshold = 3;
    /// Each event takes about 200 bytes. When the set is full, the oldest event is evicted.
    static constexpr std::size_t maximum_events = 4096;

    /// Returns true if the event was not known yet.
    bool record(crash_event const& event, base::time_point now);
    void merge(std::span<crash_event const> events, base::time_point now);
    poison_verdict classify(std::uint64_t fingerprint, base::time_point now);
    /// Returns the events that have not expired.
    std::vector<crash_event> events(base::time_point now);
    std::size_t size() const;

    /// Reserves `server` for one suspected request of this node. Returns false if it is already
    /// reserved.
    bool try_reserve_server(std::string const& server);
    void release_server(std::string const& server);

private:
    using event_key = std::tuple<std::uint64_t, std::string, std::string>;

    bool insert(crash_event const& event, base::time_point now);
    void drop_expired(base::time_point now);

    mutable base::ordered_mutex<base::lock_level::poison_request_detector> m_mutex;
    /// Time of each crash; the earliest one reported.
    std::map<event_key, base::time_point> m_events;
    std::set<std::string> m_reserved_servers;
};

} // namespace jasminepier::decision
