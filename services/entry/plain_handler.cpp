#include "services/entry/plain_handler.hpp"

#include "http/status.hpp"
#include "services/entry/detached_call.hpp"
#include "services/entry/entry_metrics.hpp"

namespace jasminepier::entry
{
namespace
{

/// A service that responds with a server error may have run part of the call.
base::execution_status execution_status_of(claims::service_response const& received)
{
    return received.status >= 500 ? base::execution_status::unknown : base::execution_status::ran;
}

void send_service_response(claims::service_response const& received, http_response& response)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(received.status));
    if (!received.content_type.empty())
        response.setContentType(received.content_type);
    response.set("Jasminepier-Execution",
                 std::string(base::to_string(execution_status_of(received))));
    if (received.replayed)
        response.set("Jasminepier-Replayed", received.body_omitted ? "without-body" : "true");
    response.sendBuffer(received.body.data(), received.body.size());
}

} // namespace

base::result<claims::service_response> plain_calls::execute(plain_call const& call)
{
    if (call.semantics == call_semantics::idempotent)
    {
        BOOST_LEAF_AUTO(response, m_idempotent.execute(call));
        return claims::service_response{response.status, response.content_type, response.body,
                                        false, false};
    }
    if (call.semantics == call_semantics::keyed)
    {
        auto const result = m_non_idempotent.execute(call);
        if (auto const* failure = std::get_if<base::error>(&result))
            return base::fail(failure->kind, failure->message);
        return std::get<claims::service_response>(result);
    }
    auto const sent =
        run_detached(m_shutdown, call.deadline,
                     [this, call] { return send_once(m_state, call, call.deadline); });
    if (!sent)
        return base::fail(base::error_kind::server_failed, "the service did not respond in time");
    if (sent->status != claims::dispatch_status::responded)
        return base::fail(sent->failure.kind, sent->failure.message);
    return sent->response;
}

base::result<void> plain_calls::serve(configuration::customer const& customer,
                                      http_request& request, http_response& response)
{
    BOOST_LEAF_AUTO(call, parse_plain_call(*m_state.snapshot(), customer, request));
    BOOST_LEAF_CHECK(m_shutdown.check_start(call.deadline));
    response.set("X-Request-Id", call.request_id);
    observe_request(call.request_id, customer.name,
                    call.semantics == call_semantics::idempotent ? configuration::work_kind::lookup
                                                                 : configuration::work_kind::action,
                    "");
    BOOST_LEAF_AUTO(received, execute(call));
    // A service that responds has been sent the call and may have run it.
    if (http::promises_no_execution(received.status))
        return base::fail(base::error_kind::server_failed,
                          "the service responded with status " + std::to_string(received.status));
    send_service_response(received, response);
    return {};
}

} // namespace jasminepier::entry
