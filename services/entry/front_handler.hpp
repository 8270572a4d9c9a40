/// Distributes callers' HTTP requests to their handlers.
#pragma once

#include "services/entry/entry_state.hpp"
#include "services/entry/http_answer.hpp"
#include "services/entry/plain_handler.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace jasminepier::entry
{

class front_handler : public Poco::Net::HTTPRequestHandler
{
public:
    front_handler(entry_state& state, plain_calls& plain) : m_state(state), m_plain(plain) {}
    void handleRequest(http_request& request, http_response& response) override;

private:
    base::result<void> serve(http_request& request, http_response& response);
    base::result<configuration::customer> authenticate(http_request const& request) const;

    entry_state& m_state;
    plain_calls& m_plain;
};

class front_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    front_handler_factory(entry_state& state, plain_calls& plain) : m_state(state), m_plain(plain)
    {
    }
    Poco::Net::HTTPRequestHandler* createRequestHandler(http_request const&) override
    {
        return new front_handler(m_state, m_plain);
    }

private:
    entry_state& m_state;
    plain_calls& m_plain;
};

} // namespace jasminepier::entry
