/// A node's program under test, and a caller of it.
#pragma once

#include "http/message.hpp"
#include "tests/support/connection_server.hpp"
#include "tests/support/process.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace jasminepier::tests
{

/// Ports of one node under test.
struct node_ports
{
    std::uint16_t callers;
    std::uint16_t addresses;
    std::uint16_t readiness;
    std::uint16_t peers;
    /// Where the node receives reports of its peers, and where callers reach it.
    std::string host = loopback_host;
    std::string caller_host = loopback_host;
    std::string zone = "a";
};

/// A running jasminepier-node with its settings file.
class node_process
{
public:
    node_process(std::string name, node_ports ports, std::uint16_t store_port);
    ~node_process();
    process& program() { return *m_process; }
    node_ports const& ports() const noexcept { return m_ports; }
    bool ready() const;
    /// Replaces the settings file; `extra` is appended to its last table.
    void rewrite_settings(std::string const& extra);
    /// Starts the program again after it has ended.
    void restart();

private:
    std::string m_name;
    node_ports m_ports;
    std::uint16_t m_store_port;
    std::string m_settings_path;
    std::unique_ptr<process> m_process;
};

/// What a caller received.
struct caller_answer
{
    int status = 0;
    http::header_list headers;
    std::string body;
    /// The answer ended as its framing says.
    bool whole = false;
};

/// Sends a request and reads the answer to its end.
caller_answer call_node(std::uint16_t port, http::request const& request,
                        std::string const& host = loopback_host);

/// A request with the fields that callers of the platform send.
http::request make_request(std::string const& method, std::string const& path,
                           std::string const& request_id);

} // namespace jasminepier::tests
