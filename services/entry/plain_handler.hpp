/// Serves calls to plain services.
#pragma once

#include "services/entry/lookup_calls.hpp"
#include "services/entry/order_calls.hpp"

namespace jasminepier::entry
{

/// The state behind all plain calls of the process.
class plain_calls
{
public:
    plain_calls(entry_state& state, std::string node_id,
                store::http_object_store_settings const& platform)
        : m_state(state), m_orders(state, std::move(node_id), platform), m_lookups(state)
    {
    }

    /// Serves `/v1/services/{service}/{path}`.
    base::result<void> serve(configuration::customer const& customer, http_request& request,
                             http_response& response);

    claims::claim_progress progress(std::string const& nonce) const
    {
        return m_orders.progress(nonce);
    }

    /// Orders that have been sent or whose outcome is not recorded yet.
    std::size_t open_claims() const { return m_orders.open_claims(); }

private:
    base::result<claims::service_answer> execute(plain_call const& call);

    entry_state& m_state;
    order_calls m_orders;
    lookup_calls m_lookups;
};

} // namespace jasminepier::entry
