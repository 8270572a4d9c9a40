/// Requests whose answers are relayed as a whole.
#pragma once

#include "base/error.hpp"
#include "http/client_exchange.hpp"
#include "services/node/connection_pool.hpp"
#include "services/node/request_context.hpp"

#include <memory>
#include <optional>

namespace jasminepier::node
{

/// Sends a request to a server and the server's whole answer to the caller. A repeatable request is
/// sent again when its server fails, within the service's bound on retries; any other one is sent
/// again only when it certainly has not run.
class plain_relay
{
public:
    plain_relay(request_context& context, connection_pool& pool) : m_context(context), m_pool(pool)
    {
    }

    /// Serves the request to its end; failures are answers to the caller.
    base::result<void> serve();

private:
    /// What to do after an attempt.
    enum class verdict
    {
        delivered,
        caller_left,
        /// The request has certainly not run at this server.
        not_run,
        /// The server failed, and the request may have run there.
        failed,
        /// The server's failure is the final answer unless another attempt is allowed.
        failure_answer,
        out_of_time,
    };

    struct attempt
    {
        explicit attempt(server_attempt taken) : run(std::move(taken)) {}
        server_attempt run;
        std::unique_ptr<http::client_exchange> exchange;
        std::string body;
        bool pooled = false;
    };

    attempt start(server_attempt run);
    /// Drives attempts until one has a result. Starts a second one when the first is late.
    verdict drive(attempt& first, std::optional<attempt>& second);
    verdict judge(attempt& current);
    bool may_repeat() const;
    bool may_send_again();
    std::optional<attempt> start_hedge();

    request_context& m_context;
    connection_pool& m_pool;
    std::optional<http::response> m_failure_answer;
    bool m_started_work = false;
    bool m_hedged = false;
};

} // namespace jasminepier::node
