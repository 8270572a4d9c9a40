/// Idempotent plain calls: retried on another server and hedged when slow.
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
    explicit idempotent_calls(entry_state& state) : m_state(state) {}

    /// Returns the first whole answer; answers of other attempts are discarded. Fails by the call's
    /// deadline.
    base::result<backend::backend_response> execute(plain_call const& call);

private:
    struct attempt_race;

    /// Starts an attempt at a server that the race has not tried. Returns false when none is left.
    bool start_attempt(std::shared_ptr<attempt_race> const& race);
    void run_attempt(std::shared_ptr<attempt_race> const& race, selected_server const& server);
    /// Decides whether another attempt may follow the failures so far.
    bool may_retry(attempt_race const& race, base::error_kind last_failure);

    entry_state& m_state;
    decision::retry_budgets m_retries;
    decision::hedge_policy m_hedging;
};

} // namespace jasminepier::entry
