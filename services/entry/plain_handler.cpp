#include "services/entry/plain_handler.hpp"

#include "backend/http_exchange.hpp"
#include "base/hash.hpp"
#include "services/entry/entry_metrics.hpp"

namespace jasminepier::entry
{

base::result<void> serve_plain_call(entry_state& state, configuration::customer const& customer,
                                    std::string const& target, http_request& request,
                                    http_response& response)
{
    auto const slash = target.find('/');
    auto const service = target.substr(0, slash);
    auto const path = slash == std::string::npos ? "/" : target.substr(slash);
    auto const snapshot = state.snapshot();
    auto const found = snapshot->services.find(service);
    if (found == snapshot->services.end() ||
        found->second.type != configuration::service_type::plain)
        return base::fail(base::error_kind::not_found, "unknown service '" + service + "'");
    BOOST_LEAF_AUTO(body, read_body(request));
    auto const request_id = base::random_id();
    response.set("X-Request-Id", request_id);
    observe_request(request_id, customer.name, configuration::work_kind::lookup, "");
    BOOST_LEAF_AUTO(server, state.acquire({service, "", customer.name,
                                           configuration::work_kind::lookup, request_id}));
    backend::backend_request forwarded{request.getMethod(), path, {}, body};
    forwarded.headers["Content-Type"] = request.getContentType();
    forwarded.headers["X-Customer"] = customer.name;
    auto answer = backend::call_backend({server.host, server.port}, forwarded, {});
    state.finish(server.ticket, answer ? attempt_outcome::completed : attempt_outcome::failed);
    if (!answer)
        return answer.error();
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer->status));
    response.setContentType(answer->content_type);
    response.set("Jasminepier-Execution", "ran");
    response.sendBuffer(answer->body.data(), answer->body.size());
    return {};
}

} // namespace jasminepier::entry
