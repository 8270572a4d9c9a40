/// One caller's connection.
#pragma once

#include "http/caller_connection.hpp"
#include "services/node/connection_pool.hpp"
#include "services/node/node_state.hpp"
#include "services/node/request_context.hpp"

#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace jasminepier::node
{

/// Reads requests one after the other and serves each of them. Runs on a worker of the pool.
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
    void serve(request_context& context);
    base::result<void> check_and_relay(request_context& context);
    void answer_unreadable(http::caller_connection& caller, http::read_outcome outcome);

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
