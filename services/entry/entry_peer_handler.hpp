/// Answers the Thrift calls of other entry nodes.
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
        using told = inner_protocol::claim_progress;
        switch (m_calls.progress(nonce))
        {
        case claims::claim_progress::dispatched:
            return told::dispatched;
        case claims::claim_progress::abandoned:
            return told::abandoned;
        case claims::claim_progress::finished:
            return told::finished;
        case claims::claim_progress::preparing:
            return told::preparing;
        case claims::claim_progress::unknown:
            break;
        }
        return told::unknown_claim;
    }

private:
    plain_calls const& m_calls;
};

} // namespace jasminepier::entry
