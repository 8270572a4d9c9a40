/// What the connections of callers hold, for POCO's HTTP server.
#pragma once

#include "http/memory_account.hpp"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <chrono>
#include <cstddef>

namespace jasminepier::entry
{

/// Returns what the connection holds that the calling thread serves; nothing on other threads.
http::memory_holder* current_caller_memory() noexcept;
/// Returns the charge for the head of the request that the calling thread serves, bytes.
std::size_t current_head_bytes() noexcept;
/// Returns the charge for a head of which `received` bytes have arrived, bytes.
std::size_t head_charge(std::size_t received) noexcept;

/// Interval at which a connection that waits for memory asks again.
inline constexpr std::chrono::milliseconds room_poll_interval{20};

/// Marks the head of the request of the calling thread as complete until destruction, and then
/// returns what the request held.
class served_request
{
public:
    served_request();
    served_request(served_request const&) = delete;
    served_request& operator=(served_request const&) = delete;
    ~served_request();
};

/// Makes HTTP connections that count towards the account, with the heads of their requests. An
/// evicted connection reads nothing more.
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
