/// Tables of the entry process, shared by its workers.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "configuration/snapshot.hpp"
#include "decision/decision_core.hpp"
#include "inner_protocol/conversion.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminepier::entry
{

/// What the decision core needs to know about one attempt.
struct acquire_request
{
    std::string service;
    /// Empty for a call to a plain service.
    std::string model;
    std::string customer;
    configuration::work_kind kind = configuration::work_kind::question;
    std::string request_id;
    std::int64_t prompt_tokens = 0;
    /// The caller's limit on output tokens; 0 leaves the preset's limit.
    std::int64_t maximum_tokens = 0;
    /// Hash of the prompt prefix that requests share; 0 when there is none.
    std::uint64_t prefix_hash = 0;
    /// Longest wait for dispatch; 0 leaves the preset's limit for the kind.
    base::milliseconds maximum_wait{0};
    /// Servers that must not be chosen, for example because an attempt failed there.
    std::set<std::string> excluded{};
};

/// A server chosen for one attempt.
struct selected_server
{
    std::string name;
    std::string host;
    std::uint16_t port = 0;
    /// Identifies the attempt in the calls below.
    std::uint64_t ticket = 0;
    /// Value for the engine's X-Priority header; 0 is the most urgent.
    int priority = 0;
};

/// How an attempt ended.
enum class attempt_outcome
{
    /// The answer is complete; its length teaches the estimates.
    completed,
    /// The caller left or the attempt was abandoned; the server is not at fault.
    cancelled,
    /// The server broke the attempt off.
    failed,
};

class entry_state
{
public:
    /// `node` is the name of this entry VM in the configuration; slots of cold servers and the
    /// zone depend on it.
    explicit entry_state(std::string node = "node-1");

    /// Takes over what the control process sent and builds the new snapshot.
    void apply(inner_protocol::control_update const& update);
    configuration::snapshot_ptr snapshot() const;
    std::int64_t load_sequence() const;
    bool ready() const;

    /// Waits in the queue until a server is chosen, the deadline passes or the request is refused.
    /// Eligibility is checked at dispatch. Fails with no_server, overloaded or deadline_exceeded;
    /// in all three cases nothing was sent. The attempt ends with `finish`.
    base::result<selected_server> acquire(acquire_request const& request);
    /// Records `count` tokens of the attempt; the first call counts as its first token.
    void record_tokens(std::uint64_t ticket, std::int64_t count = 1);
    /// Ends the attempt and frees what it held. Unknown tickets are ignored.
    void finish(std::uint64_t ticket, attempt_outcome outcome);
    /// Excludes `server` until a report of it arrives that was made later; the callers of its
    /// attempts still call `finish` for each of them.
    void mark_server_lost(std::string const& server);
    /// Returns what a server last reported; nothing when no report has arrived.
    std::optional<inner_protocol::load_digest> load(std::string const& server) const;

private:
    using table_mutex = base::ordered_mutex<base::lock_level::server_table>;

    /// A worker that waits in `acquire`; its decision is handed over by whichever worker polls.
    struct waiter
    {
        std::condition_variable_any decision_ready;
        std::optional<decision::decision_result> result;
    };

    /// Lets the core decide and hands the decisions to their waiters. Needs the lock.
    void poll_core();
    /// Waits until `own` is decided. One waiter at a time polls at intervals for all of them.
    void wait_for_decision(std::unique_lock<table_mutex>& lock, waiter& waiting);
    base::result<selected_server> resolve_decision(acquire_request const& request,
                                                   decision::decision_result const& decided) const;
    void apply_load(inner_protocol::load_digest const& digest);

    mutable table_mutex m_mutex;
    base::steady_clock_source m_clock;
    configuration::versioned_store m_store;
    configuration::snapshot_ptr m_snapshot = std::make_shared<configuration::snapshot>();
    std::map<std::string, inner_protocol::load_digest> m_loads;
    decision::decision_core m_core;
    std::unordered_map<std::uint64_t, waiter*> m_waiters;
    std::vector<decision::decision_result> m_decisions;
    bool m_poller_active = false;
    std::int64_t m_load_sequence = 0;
    bool m_ready = false;
};

} // namespace jasminepier::entry
