/// Runs jasminepier-node in tests and sends requests to it.
#pragma once

#include "http/message.hpp"
#include "http/response_reader.hpp"
#include "tests/support/connection_server.hpp"
#include "tests/support/process.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace jasminepier::tests
{

/// Ports, hosts and zone of a node under test. The numbers are its ports for callers, for the list
/// of addresses, for readiness checks and for peers.
struct node_ports
{
    std::uint16_t callers;
    std::uint16_t addresses;
    std::uint16_t readiness;
    std::uint16_t peers;
    /// `host` is the address for peers, `caller_host` the address of the other ports.
    std::string host = loopback_host;
    std::string caller_host = loopback_host;
    std::string zone = "a";
};

/// A jasminepier-node process and its settings file.
class node_process
{
public:
    /// `extra_bounds` are further lines of the settings' table of bounds.
    node_process(std::string name, node_ports ports, std::uint16_t store_port,
                 std::string extra_bounds = "");
    ~node_process();
    process& program() { return *m_process; }
    node_ports const& ports() const noexcept { return m_ports; }
    bool is_ready() const;
    /// Rewrites the settings file and appends `extra_settings` to its last table.
    void rewrite_settings(std::string const& extra_settings);
    /// Returns the output of all runs of the program.
    std::string output() const { return m_earlier_output + m_process->output(); }
    /// Starts the program again; kills it first if it is still running.
    void restart();

private:
    std::string m_name;
    node_ports m_ports;
    std::uint16_t m_store_port;
    std::string m_extra_bounds;
    std::string m_settings_path;
    std::unique_ptr<process> m_process;
    std::string m_earlier_output;
};

/// The response that a caller received.
struct caller_response
{
    int status = 0;
    http::header_list headers;
    std::string body;
    /// The response ended as its framing requires.
    bool is_complete = false;
};

enum class receive_result
{
    data,
    end_of_connection,
    lost_connection,
    /// Nothing arrived within the socket's receive timeout.
    timeout,
};

/// Feeds the next bytes or the end of the connection to the reader.
receive_result receive_response_part(Poco::Net::StreamSocket& socket,
                                     http::response_reader& reader);

/// Returns true while more bytes are needed for the response.
bool is_reading(http::response_reader const& reader);

/// Sends a request and reads the response until its end or the end of the connection.
caller_response call_node(std::uint16_t port, http::request const& request,
                          std::string const& host = loopback_host);

/// Makes a request with the header fields that callers on the platform send; without a request id,
/// only with Host.
http::request make_request(std::string const& method, std::string const& path,
                           std::string const& request_id);

} // namespace jasminepier::tests
