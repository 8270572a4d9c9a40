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
    enum class attempt_result
    {
        delivered,
        caller_left,
        /// The request has certainly not run at this server.
        not_run,
        /// The server failed, and the request may have run there.
        failed,
        /// The server's failure is the final answer unless another attempt is allowed.
        error_response,
        deadline_exceeded,
    };

    struct pending_attempt
    {
        explicit pending_attempt(server_attempt server_attempt_)
            : attempt(std::move(server_attempt_))
        {
        }
        server_attempt attempt;
        std::unique_ptr<http::client_exchange> exchange;
        std::string body;
        bool uses_pooled_connection = false;
    };

    pending_attempt start(server_attempt attempt);
    /// Drives attempts until one has a result. Starts a second one when the first is late.
    attempt_result await_result(pending_attempt& first, std::optional<pending_attempt>& second);
    attempt_result finish_attempt(pending_attempt& current);
    bool is_idempotent() const;
    bool try_start_retry();
    std::optional<pending_attempt> start_hedge();

    request_context& m_context;
    connection_pool& m_pool;
    std::optional<http::response> m_error_response;
    bool m_may_have_executed = false;
    bool m_hedged = false;
};

} // namespace jasminepier::node
