/// Plain calls that run at most once.
#pragma once

#include "base/periodic_thread.hpp"
#include "claims/claim_sweep.hpp"
#include "claims/claimant.hpp"
#include "services/entry/entry_state.hpp"
#include "services/entry/plain_call.hpp"
#include "store/http_object_store.hpp"

namespace jasminepier::entry
{

/// The system clocks, for `claims::claimant`.
struct system_clock_source : base::steady_clock_source
{
    void sleep_for(base::milliseconds duration) const { std::this_thread::sleep_for(duration); }
    std::int64_t unix_seconds() const { return base::unix_seconds(); }
};

/// Queries the node that owns a claim, at its address in the configuration snapshot.
class node_peers
{
public:
    explicit node_peers(entry_state const& state) : m_state(state) {}
    base::result<claims::claim_progress> query_progress(std::string const& node,
                                                        std::string const& claim,
                                                        std::string const& nonce) const;

private:
    entry_state const& m_state;
};

/// Sends a call once: tries further servers only while no connection is established. Waits for the
/// response until `response_deadline`.
claims::dispatch_result send_once(entry_state& state, plain_call const& call,
                                  base::time_point response_deadline);

class non_idempotent_calls
{
public:
    non_idempotent_calls(entry_state& state, serving::process_shutdown const& shutdown,
                         std::string node_id, store::http_object_store_settings const& platform);

    /// Returns by the call's deadline or the end of the shutdown. A response that arrives later is
    /// still recorded.
    claims::execution_result execute(plain_call const& call);

    claims::claim_progress progress(std::string const& nonce) const
    {
        return m_claimant.progress(nonce);
    }

    /// Returns the number of calls that are running or whose outcome is not recorded yet.
    std::size_t open_claims() const
    {
        return m_claimant.open_claims() + m_claimant.pending_writes();
    }

private:
    /// Obtains the claim of the call and sends it.
    claims::execution_result run(plain_call const& call);
    /// Sweeps expired claims if rendezvous hashing selects this node as one of the sweeping nodes.
    void sweep();

    entry_state& m_state;
    serving::process_shutdown const& m_shutdown;
    std::string m_node_id;
    store::http_object_store m_store;
    node_peers m_peers;
    system_clock_source m_clock;
    claims::claimant<store::http_object_store, node_peers, system_clock_source> m_claimant;
    claims::claim_sweep<store::http_object_store, system_clock_source> m_sweep;
    base::periodic_thread m_retry_thread;
    base::periodic_thread m_sweep_thread;
};

} // namespace jasminepier::entry
