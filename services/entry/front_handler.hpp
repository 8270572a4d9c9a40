/// Distributes callers' HTTP requests to their handlers.
#pragma once

#include "services/entry/entry_state.hpp"
#include "services/entry/http_answer.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace jasminepier::entry
{

class front_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit front_handler(entry_state& state) : m_state(state) {}
    void handleRequest(http_request& request, http_response& response) override;

private:
    base::result<void> serve(http_request& request, http_response& response);
    base::result<configuration::customer> authenticate(http_request const& request) const;

    entry_state& m_state;
};

class front_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit front_handler_factory(entry_state& state) : m_state(state) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(http_request const&) override
    {
        return new front_handler(m_state);
    }

private:
    entry_state& m_state;
};

} // namespace jasminepier::entry
