/// Handler of calls to plain services.
#pragma once

#include "services/entry/idempotent_calls.hpp"
#include "services/entry/non_idempotent_calls.hpp"

namespace jasminepier::entry
{

/// Serves all plain calls of the process. Shared by its workers.
class plain_calls
{
public:
    plain_calls(entry_state& state, serving::process_shutdown const& shutdown, std::string node_id,
                store::http_object_store_settings const& platform)
        : m_state(state), m_shutdown(shutdown),
          m_non_idempotent(state, shutdown, std::move(node_id), platform),
          m_idempotent(state, shutdown)
    {
    }

    /// Serves `/v1/services/{service}/{path}`.
    base::result<void> serve(configuration::customer const& customer, http_request& request,
                             http_response& response);

    /// Returns the progress of the claim with this nonce, for the queries of peers.
    claims::claim_progress progress(std::string const& nonce) const
    {
        return m_non_idempotent.progress(nonce);
    }

    /// Returns the number of non-idempotent calls that are running or whose outcome is not recorded
    /// yet.
    std::size_t open_claims() const { return m_non_idempotent.open_claims(); }

private:
    base::result<claims::service_response> execute(plain_call const& call);

    entry_state& m_state;
    serving::process_shutdown const& m_shutdown;
    non_idempotent_calls m_non_idempotent;
    idempotent_calls m_idempotent;
};

} // namespace jasminepier::entry
