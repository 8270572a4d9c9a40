/// What the connections of callers hold, for POCO's HTTP server.
#pragma once

#include "http/memory_account.hpp"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace jasminepier::entry
{

/// Returns what the connection holds that the calling thread serves; nothing on other threads.
http::memory_holder* current_caller_memory() noexcept;

/// Marks the request of the calling thread as complete until destruction, and then returns what it
/// held.
class served_request
{
public:
    served_request();
    served_request(served_request const&) = delete;
    served_request& operator=(served_request const&) = delete;
    ~served_request();
};

/// Makes HTTP connections that count towards the account. An evicted connection reads nothing more.
class caller_connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    /// `account` must outlive the connections.
    caller_connection_factory(http::memory_account& account,
                              Poco::Net::HTTPServerParams::Ptr parameters,
                              Poco::Net::HTTPRequestHandlerFactory::Ptr handlers)
        : m_account(account), m_parameters(std::move(parameters)), m_handlers(std::move(handlers))
    {
    }
    Poco::Net::TCPServerConnection*
    createConnection(Poco::Net::StreamSocket const& socket) override;

private:
    http::memory_account& m_account;
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_handlers;
};

} // namespace jasminepier::entry
