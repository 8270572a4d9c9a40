/// Relay of requests with non-streamed responses.
#pragma once

#include "base/error.hpp"
#include "http/client_exchange.hpp"
#include "services/node/connection_pool.hpp"
#include "services/node/request_context.hpp"

#include <memory>
#include <optional>

namespace jasminepier::node
{

/// Sends a request to a server and forwards the server's complete response. Retries and hedges
/// idempotent requests within the service's retry budget; retries others only if they certainly
/// have not run.
class plain_relay
{
public:
    plain_relay(request_context& context, connection_pool& pool) : m_context(context), m_pool(pool)
    {
    }

    /// Serves the request. Fails if there is no server's response to forward; the caller of this
    /// function then responds with the error.
    base::result<void> serve();

private:
    /// Result of one attempt or of a pair of hedged attempts.
    enum class attempt_result
    {
        delivered,
        caller_left,
        /// The server certainly did not run the request.
        not_run,
        /// The server failed and may have run the request.
        failed,
        /// The server responded with an error, which is forwarded unless another attempt is
        /// allowed.
        error_response,
        deadline_exceeded,
    };

    struct pending_attempt
    {
        explicit pending_attempt(server_attempt begun_attempt) : attempt(std::move(begun_attempt))
        {
        }
        server_attempt attempt;
        std::unique_ptr<http::client_exchange> exchange;
        std::string body;
        bool uses_pooled_connection = false;
    };

    pending_attempt start(server_attempt attempt);
    /// Runs the attempts until one has a result. Starts a hedge as `second` if the first is slow.
    attempt_result await_result(pending_attempt& first, std::optional<pending_attempt>& second);
    /// Charges what has arrived of the responses. Returns false if there is no room for more.
    bool try_hold_responses(pending_attempt const& first,
                            std::optional<pending_attempt> const& second);
    /// Returns the size of the error response that is kept while another server is tried.
    std::size_t error_response_bytes() const noexcept;
    /// Evaluates an ended exchange, ends its attempt and forwards a usable response. `other_bytes`
    /// is what the other attempt holds.
    attempt_result finish_attempt(pending_attempt& current, std::size_t other_bytes);
    bool is_idempotent() const;
    /// Forwards the error response of a server, if there is one, or fails. Call this if no further
    /// attempt is made.
    base::result<void> respond_after_failure();
    /// Returns true and spends a retry if the request's limits and the budget allow another
    /// attempt.
    bool try_spend_attempt();
    std::optional<pending_attempt> start_hedge();

    request_context& m_context;
    connection_pool& m_pool;
    std::optional<http::response> m_error_response;
    bool m_may_have_executed = false;
    bool m_hedged = false;
};

} // namespace jasminepier::node
