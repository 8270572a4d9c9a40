#include "services/entry/front_handler.hpp"

#include "base/log.hpp"
#include "services/entry/completion_handler.hpp"
#include "services/entry/plain_handler.hpp"

#include <Poco/URI.h>

#include <algorithm>
#include <random>
#include <span>

namespace jasminepier::entry
{
namespace
{

constexpr int address_time_to_live_seconds = 30;
constexpr std::size_t most_addresses = 8;

base::result<void> require_method(http_request const& request, std::string const& method)
{
    if (request.getMethod() != method)
        return base::fail(base::error_kind::method_not_allowed, "use " + method);
    return {};
}

base::json_object list_models(configuration::snapshot const& snapshot)
{
    base::json_array data = new Poco::JSON::Array;
    for (auto const& [name, service] : snapshot.services)
        for (auto const& model : service.models)
        {
            base::json_object entry = new Poco::JSON::Object;
            entry->set("id", model);
            entry->set("object", "model");
            entry->set("owned_by", name);
            data->add(entry);
        }
    base::json_object body = new Poco::JSON::Object;
    body->set("object", "list");
    body->set("data", data);
    return body;
}

/// Lists live, ready nodes that do not leave: those of the own zone first, then those of the own
/// region, in an order that differs between callers so that they spread.
base::json_object list_addresses(std::vector<inner_protocol::member_record> members)
{
    auto const self = members.empty() ? inner_protocol::member_record{} : members.front();
    std::erase_if(members,
                  [](inner_protocol::member_record const& record) {
                      return record.state > inner_protocol::member_state::suspect || !record.ready;
                  });
    std::shuffle(members.begin(), members.end(), base::random_source(std::random_device{}()));
    auto const distance = [&](inner_protocol::member_record const& record) {
        return record.zone == self.zone ? 0 : record.region == self.region ? 1 : 2;
    };
    std::stable_sort(members.begin(), members.end(),
                     [&](auto const& left, auto const& right)
                     { return distance(left) < distance(right); });
    base::json_array addresses = new Poco::JSON::Array;
    for (auto const& record : std::span(members).first(std::min(members.size(), most_addresses)))
    {
        base::json_object entry = new Poco::JSON::Object;
        entry->set("address", record.host + ":" + std::to_string(record.entry_port));
        entry->set("zone", record.zone);
        addresses->add(entry);
    }
    base::json_object body = new Poco::JSON::Object;
    body->set("addresses", addresses);
    body->set("time_to_live_seconds", address_time_to_live_seconds);
    return body;
}

} // namespace

void front_handler::handleRequest(http_request& request, http_response& response)
{
    try
    {
        base::handle([&]() -> base::result<void> { return serve(request, response); },
                     [&](base::error const& failure)
                     {
                         base::log_line(base::log_level::info, "request_failed")
                             .field("request_id", response.get("X-Request-Id", ""))
                             .field("kind", base::to_string(failure.kind))
                             .field("reason", failure.message);
                         if (!response.sent())
                             send_error(response, failure);
                     });
    }
    catch (std::exception const& failure)
    {
        base::log_line(base::log_level::info, "caller_disconnected")
            .field("request_id", response.get("X-Request-Id", ""))
            .field("reason", failure.what());
    }
}

base::result<void> front_handler::serve(http_request& request, http_response& response)
{
    std::string const path = Poco::URI(request.getURI()).getPath();
    std::string const service_prefix = "/v1/services/";
    auto const snapshot = m_state.snapshot();
    if (path == "/health")
        return send_json(response, 200, new Poco::JSON::Object), base::result<void>{};
    if (!m_state.ready())
        return base::fail(base::error_kind::not_ready, "no configuration has been received");
    if (path == "/ready")
        return send_json(response, 200, new Poco::JSON::Object), base::result<void>{};
    if (path == "/v1/entry-addresses")
        return send_json(response, 200, list_addresses(m_link.members())), base::result<void>{};
    BOOST_LEAF_AUTO(customer, authenticate(request));
    if (path == "/v1/models")
        return send_json(response, 200, list_models(*snapshot)), base::result<void>{};
    if (path == "/v1/chat/completions")
    {
        BOOST_LEAF_CHECK(require_method(request, "POST"));
        BOOST_LEAF_CHECK(m_link.check_admission());
        return serve_completion(m_state, customer, request, response);
    }
    if (path.starts_with(service_prefix))
    {
        BOOST_LEAF_CHECK(m_link.check_admission());
        return serve_plain_call(m_state, customer, path.substr(service_prefix.size()), request,
                                response);
    }
    return base::fail(base::error_kind::not_found, "unknown path " + path);
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
