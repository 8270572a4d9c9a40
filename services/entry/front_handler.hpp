/// Distributes callers' HTTP requests to their handlers.
#pragma once

#include "services/entry/control_link.hpp"
#include "services/entry/entry_state.hpp"
#include "services/entry/http_answer.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace jasminepier::entry
{

class front_handler : public Poco::Net::HTTPRequestHandler
{
public:
    front_handler(entry_state& state, control_link const& link) : m_state(state), m_link(link) {}
    void handleRequest(http_request& request, http_response& response) override;

private:
    base::result<void> serve(http_request& request, http_response& response);
    base::result<configuration::customer> authenticate(http_request const& request) const;

    entry_state& m_state;
    control_link const& m_link;
};

class front_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    front_handler_factory(entry_state& state, control_link const& link)
        : m_state(state), m_link(link)
    {
    }
    Poco::Net::HTTPRequestHandler* createRequestHandler(http_request const&) override
    {
        return new front_handler(m_state, m_link);
    }

private:
    entry_state& m_state;
    control_link const& m_link;
};

} // namespace jasminepier::entry
