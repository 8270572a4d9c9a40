/// Serves the requests of one caller connection.
#pragma once

#include "http/caller_connection.hpp"
#include "services/node/connection_pool.hpp"
#include "services/node/node_state.hpp"
#include "services/node/request_context.hpp"

#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace jasminepier::node
{

/// Reads and serves the requests of a connection one after the other, on a worker thread.
class caller_session : public Poco::Net::TCPServerConnection
{
public:
    caller_session(Poco::Net::StreamSocket const& socket, node_state& state, connection_pool& pool)
        : TCPServerConnection(socket), m_state(state), m_pool(pool)
    {
    }
    void run() override;

private:
    void serve_requests(http::caller_connection& caller, http::wakeup& wake);
    void serve_request(request_context& context);
    /// Routes, authenticates and admits the request, then relays it to a server.
    base::result<void> validate_and_relay(request_context& context);
    /// Responds to a request that could not be read. Sends nothing if the caller closed the
    /// connection or was idle.
    void send_read_error(http::caller_connection& caller, http::read_outcome outcome);

    node_state& m_state;
    connection_pool& m_pool;
};

class caller_session_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    caller_session_factory(node_state& state, connection_pool& pool) : m_state(state), m_pool(pool)
    {
    }
    Poco::Net::TCPServerConnection* createConnection(Poco::Net::StreamSocket const& socket) override
    {
        return new caller_session(socket, m_state, m_pool);
    }

private:
    node_state& m_state;
    connection_pool& m_pool;
};

} // namespace jasminepier::node
