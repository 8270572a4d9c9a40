/// Configuration, loads and decisions of the entry process, shared by its workers.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "configuration/snapshot.hpp"
#include "decision/decision_core.hpp"
#include "inner_protocol/conversion.hpp"
#include "serving/process_shutdown.hpp"

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

/// Requirements of one attempt on the server that is acquired for it.
struct acquire_request
{
    std::string service;
    /// Empty for a call to a plain service.
    std::string model;
    std::string customer;
    configuration::work_kind kind = configuration::work_kind::question;
    std::string request_id;
    std::int64_t prompt_tokens = 0;
    /// The caller's limit on output tokens; 0 uses the preset's limit.
    std::int64_t maximum_tokens = 0;
    /// Hash of the prompt prefix, for prefix affinity; 0 if there is none.
    std::uint64_t prefix_hash = 0;
    /// Maximum wait for dispatch; 0 uses the preset's limit for the work kind.
    base::milliseconds maximum_wait{0};
    /// Time by which the response has ended. A process that shuts down rejects requests without
    /// one.
    std::optional<base::time_point> deadline{};
    /// Servers that must not be selected, for example because an attempt at them failed.
    std::set<std::string> excluded{};
};

/// A server selected for one attempt.
struct selected_server
{
    std::string name;
    std::string host;
    std::uint16_t port = 0;
    /// Identifies the attempt in `record_tokens` and `finish`.
    std::uint64_t ticket = 0;
    /// Value for the engine's X-Priority header; 0 is the most urgent.
    int priority = 0;
};

/// How an attempt ended.
enum class attempt_outcome
{
    /// The response is complete; its length updates the estimates.
    completed,
    /// The caller disconnected or the attempt was abandoned. The server is not at fault.
    cancelled,
    /// The server failed the attempt.
    failed,
};

/// The workers' interface to the configuration and to the decision core. Thread-safe.
class entry_state
{
public:
    /// `node` is the name of this entry VM in the configuration. It determines the local zone and
    /// this node's slots at cold servers. `shutdown` outlives this object.
    entry_state(std::string node, serving::process_shutdown const& shutdown);

    /// Applies an update of the control process and rebuilds the snapshot if objects changed.
    void apply(inner_protocol::control_update const& update);
    configuration::snapshot_ptr snapshot() const;
    std::int64_t load_sequence() const;
    bool ready() const;

    /// Waits in the queue until a server is selected, the maximum wait has passed or the request is
    /// rejected. Eligibility is checked at dispatch. Fails with no_server, overloaded,
    /// deadline_exceeded, or with node_stopping if the process may exit before the response has
    /// ended; nothing was sent in these cases. The caller must end a successful attempt with
    /// `finish`.
    base::result<selected_server> acquire(acquire_request const& request);
    /// Records `count` tokens of the attempt. The first call marks its first token.
    void record_tokens(std::uint64_t ticket, std::int64_t count = 1);
    /// Ends the attempt and releases its capacity. Ignores unknown tickets.
    void finish(std::uint64_t ticket, attempt_outcome outcome);
    /// Excludes `server` until a newer report of it arrives. Each of its attempts still needs a
    /// call of `finish`.
    void mark_server_lost(std::string const& server);
    /// Returns the last load report of a server, or nothing if there is none.
    std::optional<inner_protocol::load_digest> load(std::string const& server) const;

private:
    using table_mutex = base::ordered_mutex<base::lock_level::server_table>;

    /// A worker that waits in `acquire`. The polling worker stores the decision.
    struct waiter
    {
        std::condition_variable_any decision_ready;
        std::optional<base::time_point> deadline;
        std::optional<decision::decision_result> result;
    };

    /// Polls the decision core and passes its decisions to the waiters. Requires the lock.
    void poll_core();
    /// Rejects the waiting requests that must not be started any more, once the shutdown has begun.
    /// Requires the lock.
    void reject_waiters_at_shutdown();
    /// Waits for the decision of `waiting`. One waiter at a time polls for all of them.
    void wait_for_decision(std::unique_lock<table_mutex>& lock, waiter& waiting);
    /// Logs a decision and returns its server, or the error for a rejected request.
    base::result<selected_server> resolve_decision(acquire_request const& request,
                                                   decision::decision_result const& decided) const;
    void apply_load(inner_protocol::load_digest const& digest);

    serving::process_shutdown const& m_shutdown;
    mutable table_mutex m_mutex;
    base::steady_clock_source m_clock;
    configuration::versioned_store m_store;
    configuration::snapshot_ptr m_snapshot = std::make_shared<configuration::snapshot>();
    std::map<std::string, inner_protocol::load_digest> m_loads;
    decision::decision_core m_core;
    std::unordered_map<std::uint64_t, waiter*> m_waiters;
    /// The requests that waited when the shutdown began have been checked.
    bool m_waiters_checked = false;
    std::vector<decision::decision_result> m_decisions;
    bool m_poller_active = false;
    std::int64_t m_load_sequence = 0;
    bool m_ready = false;
};

} // namespace jasminepier::entry
