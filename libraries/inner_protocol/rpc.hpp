/// Client and server of Thrift RPCs between jasminepier's processes, over TCP.
#pragma once

#include "base/error.hpp"
#include "control_node.h"
#include "entry_node.h"
#include "inner_protocol/call_socket.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace jasminepier::inner_protocol
{

/// Returns the limits on a message from a peer.
std::shared_ptr<apache::thrift::TConfiguration> make_message_limits();

/// A client that connects on first use and reconnects after a failure. Not thread-safe.
template <class Client>
class rpc_client
{
public:
    rpc_client(std::string host, int port, std::chrono::milliseconds timeout)
        : m_host(std::move(host)), m_port(port), m_timeout(timeout)
    {
    }

    /// Returns `function(Client&)`. Fails with server_unreachable if the peer can't be reached, the
    /// call fails, or no complete response arrives within the timeout.
    template <class Call>
    auto call(Call&& function) -> base::result<std::invoke_result_t<Call, Client&>>
    {
        try
        {
            connect();
            m_socket->set_deadline(base::steady_clock_source{}.now() + m_timeout);
            return function(*m_client);
        }
        catch (std::exception const& failure)
        {
            m_client.reset();
            m_transport.reset();
            return base::fail(base::error_kind::server_unreachable,
                              std::string("RPC to peer failed: ") + failure.what());
        }
    }

    /// Bytes received on the latest connection, also by calls that failed.
    std::uint64_t received_bytes() const noexcept
    {
        return m_socket ? m_socket->received_bytes() : 0;
    }

private:
    void connect()
    {
        if (m_client)
            return;
        m_socket = std::make_shared<call_socket>(m_host, m_port);
        auto const timeout = static_cast<int>(m_timeout.count());
        m_socket->setConnTimeout(timeout);
        m_socket->setSendTimeout(timeout);
        m_transport = std::make_shared<apache::thrift::transport::TFramedTransport>(
            m_socket, make_message_limits());
        m_transport->open();
        m_client = std::make_unique<Client>(
            std::make_shared<apache::thrift::protocol::TCompactProtocol>(m_transport));
    }

    std::string m_host;
    int m_port;
    std::chrono::milliseconds m_timeout;
    std::shared_ptr<call_socket> m_socket;
    std::shared_ptr<apache::thrift::transport::TTransport> m_transport;
    std::unique_ptr<Client> m_client;
};

/// Serves a Thrift processor with one thread per connection until it is destroyed.
class rpc_server
{
public:
    rpc_server(std::shared_ptr<apache::thrift::TProcessor> const& processor,
               std::string const& host, int port);
    rpc_server(rpc_server const&) = delete;
    rpc_server& operator=(rpc_server const&) = delete;
    ~rpc_server();

private:
    std::unique_ptr<apache::thrift::server::TThreadedServer> m_server;
    std::thread m_thread;
};

} // namespace jasminepier::inner_protocol
