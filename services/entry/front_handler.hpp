/// Routing of callers' HTTP requests.
#pragma once

#include "services/entry/address_list.hpp"
#include "services/entry/control_link.hpp"
#include "services/entry/entry_state.hpp"
#include "services/entry/http_messages.hpp"
#include "services/entry/plain_handler.hpp"
#include "services/entry/serving_state.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace jasminepier::entry
{

/// State shared by the handlers of callers' requests. Must outlive the HTTP server.
struct front_dependencies
{
    entry_state& state;
    serving_state& serving;
    plain_calls& plain;
    control_link const& link;
};

/// Authenticates and serves one request of a caller.
class front_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit front_handler(front_dependencies const& dependencies)
        : m_state(dependencies.state), m_serving(dependencies.serving), m_plain(dependencies.plain),
          m_link(dependencies.link)
    {
    }
    void handleRequest(http_request& request, http_response& response) override;

private:
    base::result<void> serve(http_request& request, http_response& response);
    base::result<void> serve_customer(std::string const& path, http_request& request,
                                      http_response& response);
    base::result<void> serve_models(std::string const& path, http_response& response) const;
    base::json_object list_addresses(http_request const& request) const;
    base::result<configuration::customer> authenticate(http_request const& request) const;

    entry_state& m_state;
    serving_state& m_serving;
    plain_calls& m_plain;
    control_link const& m_link;
};

class front_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit front_handler_factory(front_dependencies const& dependencies)
        : m_dependencies(dependencies)
    {
    }
    Poco::Net::HTTPRequestHandler* createRequestHandler(http_request const&) override
    {
        return new front_handler(m_dependencies);
    }

private:
    front_dependencies m_dependencies;
};

} // namespace jasminepier::entry
