#include "services/entry/plain_handler.hpp"

#include "services/entry/entry_metrics.hpp"

namespace jasminepier::entry
{
namespace
{

/// A service that answers with an error of its own may have run the call in part.
base::execution_status executed(claims::service_answer const& answer)
{
    return answer.status >= 500 ? base::execution_status::unknown : base::execution_status::ran;
}

void send_answer(claims::service_answer const& answer, http_response& response)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    if (!answer.content_type.empty())
        response.setContentType(answer.content_type);
    response.set("Jasminepier-Execution", std::string(base::to_string(executed(answer))));
    if (answer.replayed)
        response.set("Jasminepier-Replayed", answer.body_omitted ? "without-body" : "true");
    response.sendBuffer(answer.body.data(), answer.body.size());
}

} // namespace

base::result<claims::service_answer> plain_calls::execute(plain_call const& call)
{
    if (call.repeats == repetition::lookup)
    {
        BOOST_LEAF_AUTO(found, m_lookups.execute(call));
        return claims::service_answer{found.status, found.content_type, found.body, false, false};
    }
    if (call.repeats == repetition::claimed)
    {
        auto const told = m_orders.execute(call);
        if (auto const* failure = std::get_if<base::error>(&told))
            return base::fail(failure->kind, failure->message);
        return std::get<claims::service_answer>(told);
    }
    auto const silence = std::max(call.time_left(), base::milliseconds(1));
    auto const sent = send_once(m_state, call, silence);
    if (sent.status != claims::dispatch_status::answered)
        return base::fail(sent.failure.kind, sent.failure.message);
    return sent.answer;
}

base::result<void> plain_calls::serve(configuration::customer const& customer,
                                      http_request& request, http_response& response)
{
    BOOST_LEAF_AUTO(call, parse_plain_call(*m_state.snapshot(), customer, request));
    response.set("X-Request-Id", call.request_id);
    observe_request(call.request_id, customer.name,
                    call.repeats == repetition::lookup ? configuration::work_kind::lookup
                                                       : configuration::work_kind::action,
                    "");
    BOOST_LEAF_AUTO(answer, execute(call));
    send_answer(answer, response);
    return {};
}

} // namespace jasminepier::entry
