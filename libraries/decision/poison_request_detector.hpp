/// Requests that were running on servers when these died.
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

/// One death of a server and the fingerprint of a request that was running there. `instance` tells
/// the deaths of one server apart.
struct crash_event
{
    std::uint64_t fingerprint = 0;
    std::string server;
    std::string instance;
    /// Rounded up, so that passing an event on never makes it younger.
    std::int64_t age_seconds = 0;
};

enum class poison_verdict
{
    clean,
    /// Runs only on a server without another suspect.
    suspected,
    rejected,
};

/// A set of crash events. Merging is idempotent and commutative, so that repeated and reordered
/// messages change nothing. Synchronized.
class poison_request_detector
{
public:
    static constexpr std::chrono::seconds lifetime{3600};
    /// Sharing a batch with a crashing request once or twice must not condemn a request.
    static constexpr std::size_t refusal_threshold = 3;
    /// About 200 bytes each; the oldest event makes room for a new one.
    static constexpr std::size_t maximum_events = 4096;

    /// Returns true when the event was new.
    bool record(crash_event const& event, base::time_point now);
    void merge(std::span<crash_event const> events, base::time_point now);
    poison_verdict classify(std::uint64_t fingerprint, base::time_point now);
    /// Returns the events that have not expired.
    std::vector<crash_event> events(base::time_point now);
    std::size_t size() const;

    /// Keeps suspects apart: returns false when a suspect of this node runs on `server` already.
    bool try_reserve_server(std::string const& server);
    void release_server(std::string const& server);

private:
    using key = std::tuple<std::uint64_t, std::string, std::string>;

    bool insert(crash_event const& event, base::time_point now);
    void drop_expired(base::time_point now);

    mutable base::ordered_mutex<base::lock_level::poison_request_detector> m_mutex;
    /// The time of each death; the earliest that was reported.
    std::map<key, base::time_point> m_events;
    std::set<std::string> m_reserved_servers;
};

} // namespace jasminepier::decision
