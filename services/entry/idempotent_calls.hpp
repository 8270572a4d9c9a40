/// Idempotent plain calls, which are retried at another server and hedged if slow.
#pragma once

#include "decision/hedge_policy.hpp"
#include "decision/retry_policy.hpp"
#include "services/entry/entry_state.hpp"
#include "services/entry/plain_call.hpp"

namespace jasminepier::entry
{

class idempotent_calls
{
public:
    idempotent_calls(entry_state& state, serving::process_shutdown const& shutdown)
        : m_state(state), m_shutdown(shutdown)
    {
    }

    /// Returns the first complete response without a server error and discards those of other
    /// attempts. Without one, returns the latest response with a server error, or fails. Returns by
    /// the call's deadline or the end of the shutdown.
    base::result<backend::backend_response> execute(plain_call const& call);

private:
    struct attempt_race;

    /// Starts an attempt at a server that the race has not attempted. Returns false if there is
    /// none.
    bool start_attempt(std::shared_ptr<attempt_race> const& race);
    void run_attempt(std::shared_ptr<attempt_race> const& race, selected_server const& server);
    /// Returns true if another attempt may follow. Spends a retry from the budget unless the last
    /// attempt didn't connect.
    bool may_retry(attempt_race const& race, base::error_kind last_failure);

    entry_state& m_state;
    serving::process_shutdown const& m_shutdown;
    decision::retry_budgets m_retries;
    decision::hedge_policy m_hedging;
};

} // namespace jasminepier::entry
