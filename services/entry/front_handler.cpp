#include "services/entry/front_handler.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "metrics/exposition.hpp"
#include "services/entry/caller_memory.hpp"
#include "services/entry/completion_handler.hpp"
#include "services/entry/entry_metrics.hpp"

#include <Poco/URI.h>

namespace jasminepier::entry
{
namespace
{

base::result<void> require_method(http_request const& request, std::string const& method)
{
    if (request.getMethod() != method)
        return base::fail(base::error_kind::method_not_allowed, "use " + method);
    return {};
}

base::json_object model_entry(std::string const& service, std::string const& model)
{
    base::json_object entry = new Poco::JSON::Object;
    entry->set("id", model);
    entry->set("object", "model");
    entry->set("created", 0);
    entry->set("owned_by", service);
    return entry;
}

base::json_object list_models(configuration::snapshot const& snapshot)
{
    base::json_array data = new Poco::JSON::Array;
    for (auto const& [name, service] : snapshot.services)
        for (auto const& model : service.models)
            data->add(model_entry(name, model));
    base::json_object body = new Poco::JSON::Object;
    body->set("object", "list");
    body->set("data", data);
    return body;
}

/// Counts a request as active during its lifetime; a graceful shutdown waits for active requests.
class active_request_guard
{
public:
    explicit active_request_guard(serving_state& serving) : m_serving(serving)
    {
        m_serving.add_active_requests(1);
    }
    active_request_guard(active_request_guard const&) = delete;
    active_request_guard& operator=(active_request_guard const&) = delete;
    ~active_request_guard() { m_serving.add_active_requests(-1); }

private:
    serving_state& m_serving;
};

/// Logs a failure. Messages about invalid requests are omitted, since they quote the request, which
/// may contain a prompt or an API key.
void log_failure(base::error const& failure, std::string const& request_id)
{
    auto const& row = base::error_response_for(failure.kind);
    base::log_line line(base::log_level::info, "request_failed");
    line.field("request_id", request_id).field("kind", row.code);
    if (row.type != "invalid_request_error")
        line.field("reason", failure.message);
}

void send_failure(base::error const& failure, http_request& request, http_response& response)
{
    observe_failure(failure.kind);
    log_failure(failure, response.get("X-Request-Id", ""));
    if (response.sent())
        return;
    discard_body(request);
    send_error(response, failure);
}

zone_availability zone_availability_of(configuration::snapshot const& snapshot)
{
    for (auto const& [name, zone] : snapshot.zones)
        if (zone.state == configuration::zone_state::out_of_service)
            return zone_availability::zone_out;
    return zone_availability::all_zones_in_service;
}

void send_metrics(serving_state& serving, http_response& response)
{
    auto const text = format_entry_metrics() + http::write_account_metrics(serving.caller_memory());
    response.setContentType(metrics::exposition_content_type);
    response.sendBuffer(text.data(), text.size());
}

base::result<void> show_request(configuration::customer const& customer, std::string const& id,
                                http_response& response)
{
    auto const record = recent_requests().find(id, customer.name);
    if (!record)
        return base::fail(base::error_kind::not_found, "no record of request '" + id + "'");
    send_json(response, 200, to_json(*record));
    return {};
}

} // namespace

void front_handler::handleRequest(http_request& request, http_response& response)
{
    request_observation const observation(zone_availability_of(*m_state.snapshot()));
    active_request_guard const request_guard(m_serving);
    served_request const served;
    response.set("X-Request-Id", base::random_id());
    // During shutdown the process will close its connections, so callers must not reuse them.
    if (m_serving.phase() != shutdown_phase::serving)
        response.setKeepAlive(false);
    try
    {
        base::handle([&]() -> base::result<void> { return serve(request, response); },
                     [&](base::error const& failure)
                     {
                         // Unread bytes of the body must not be parsed as the next request.
                         response.setKeepAlive(false);
                         send_failure(failure, request, response);
                     });
    }
    catch (std::exception const& failure)
    {
        observe_disconnect();
        base::log_line(base::log_level::info, "request_aborted")
            .field("request_id", response.get("X-Request-Id", ""))
            .field("reason", failure.what());
        response.setKeepAlive(false);
        if (!response.sent())
            send_error(response, {base::error_kind::internal, "the request could not be served"});
    }
}

base::result<void> front_handler::serve(http_request& request, http_response& response)
{
    std::string const path = Poco::URI(request.getURI()).getPath();
    if (path == "/health")
        return send_json(response, 200, new Poco::JSON::Object), base::result<void>{};
    if (path == "/metrics")
        return send_metrics(m_serving, response), base::result<void>{};
    if (!m_state.ready())
        return base::fail(base::error_kind::not_ready, "no configuration has been received");
    if (path == "/v1/entry-addresses")
        return send_json(response, 200, list_addresses(request)), base::result<void>{};
    if (m_serving.phase() == shutdown_phase::refusing)
        return base::fail(base::error_kind::node_stopping, "this node is shutting down");
    if (path == "/ready")
        return send_json(response, 200, new Poco::JSON::Object), base::result<void>{};
    return serve_customer(path, request, response);
}

base::result<void> front_handler::serve_customer(std::string const& path, http_request& request,
                                                 http_response& response)
{
    std::string const service_prefix = "/v1/services/";
    std::string const request_prefix = "/v1/requests/";
    BOOST_LEAF_AUTO(customer, authenticate(request));
    if (path == "/v1/models" || path.starts_with("/v1/models/"))
    {
        BOOST_LEAF_CHECK(require_method(request, "GET"));
        return serve_models(path, response);
    }
    if (path.starts_with(request_prefix))
        return show_request(customer, path.substr(request_prefix.size()), response);
    if (path == "/v1/chat/completions")
    {
        BOOST_LEAF_CHECK(require_method(request, "POST"));
        BOOST_LEAF_CHECK(m_link.check_admission());
        return serve_completion(m_state, m_serving, customer, request, response);
    }
    if (path.starts_with(service_prefix))
    {
        BOOST_LEAF_CHECK(m_link.check_admission());
        return m_plain.serve(customer, request, response);
    }
    return base::fail(base::error_kind::not_found, "unknown path " + path);
}

base::result<void> front_handler::serve_models(std::string const& path,
                                               http_response& response) const
{
    auto const snapshot = m_state.snapshot();
    std::string const prefix = "/v1/models/";
    if (!path.starts_with(prefix))
        return send_json(response, 200, list_models(*snapshot)), base::result<void>{};
    auto const model = path.substr(prefix.size());
    auto const* service = snapshot->find_service_for_model(model);
    if (service == nullptr)
        return base::fail(base::error_kind::not_found, "unknown model '" + model + "'");
    return send_json(response, 200, model_entry(service->name, model)), base::result<void>{};
}

base::json_object front_handler::list_addresses(http_request const& request) const
{
    auto const snapshot = m_state.snapshot();
    member_map members;
    for (auto const& record : m_link.members())
        members[record.node_id] = record;
    local_node const self{m_serving.settings().local_address,
                          m_serving.phase() != shutdown_phase::serving};
    auto const seed = base::stable_hash(request.clientAddress().toString());
    base::json_array addresses = new Poco::JSON::Array;
    for (auto const& selected : select_entry_addresses(*snapshot, members, self, seed))
    {
        base::json_object entry = new Poco::JSON::Object;
        entry->set("address", selected.address);
        entry->set("zone", selected.zone);
        addresses->add(entry);
    }
    base::json_object body = new Poco::JSON::Object;
    body->set("addresses", addresses);
    body->set("time_to_live_seconds", m_serving.settings().address_time_to_live_seconds);
    return body;
}

base::result<configuration::customer> front_handler::authenticate(http_request const& request) const
{
    std::string const scheme = "Bearer ";
    auto const credentials = request.get("Authorization", "");
    if (!credentials.starts_with(scheme))
        return base::fail(base::error_kind::unauthorized, "an API key is required");
    auto const snapshot = m_state.snapshot();
    auto const digest =
        configuration::api_key_digest(std::string_view(credentials).substr(scheme.size()));
    auto const found = snapshot->customers_by_key.find(digest);
    if (found == snapshot->customers_by_key.end())
        return base::fail(base::error_kind::unauthorized, "the API key is unknown");
    return snapshot->customers.at(found->second);
}

} // namespace jasminepier::entry
