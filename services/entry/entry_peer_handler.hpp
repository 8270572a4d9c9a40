/// Handler of Thrift calls from other entry nodes.
#pragma once

#include "inner_protocol/rpc.hpp"
#include "services/entry/plain_handler.hpp"

namespace jasminepier::entry
{

class entry_peer_handler : public inner_protocol::entry_nodeIf
{
public:
    explicit entry_peer_handler(plain_calls const& calls) : m_calls(calls) {}

    inner_protocol::claim_progress::type claim_status(std::string const&,
                                                      std::string const& nonce) override
    {
        using thrift_progress = inner_protocol::claim_progress;
        switch (m_calls.progress(nonce))
        {
        case claims::claim_progress::dispatched:
            return thrift_progress::dispatched;
        case claims::claim_progress::abandoned:
            return thrift_progress::abandoned;
        case claims::claim_progress::finished:
            return thrift_progress::finished;
        case claims::claim_progress::preparing:
            return thrift_progress::preparing;
        case claims::claim_progress::unknown:
            break;
        }
        return thrift_progress::unknown_claim;
    }

private:
    plain_calls const& m_calls;
};

} // namespace jasminepier::entry
