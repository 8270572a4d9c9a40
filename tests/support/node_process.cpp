#include "tests/support/node_process.hpp"

#include "tests/support/connection_server.hpp"

#include <array>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace jasminepier::tests
{

node_process::node_process(std::string name, node_ports ports, std::uint16_t store_port,
                           std::string extra_bounds)
    : m_name(std::move(name)), m_ports(std::move(ports)), m_store_port(store_port),
      m_extra_bounds(std::move(extra_bounds)),
      m_settings_path("/tmp/jasminepier_node_" + m_name + "_" + std::to_string(::getpid()) +
                      ".toml")
{
    rewrite_settings("");
    restart();
}

void node_process::restart()
{
    if (m_process)
        m_earlier_output += m_process->output();
    m_process.reset();
    m_process = std::make_unique<process>(
        "jasminepier-node", std::vector<std::string>{},
        std::vector<std::string>{"JASMINEPIER_CONFIG=" + m_settings_path});
}

node_process::~node_process()
{
    m_process.reset();
    std::remove(m_settings_path.c_str());
}

void node_process::rewrite_settings(std::string const& extra_settings)
{
    auto const quoted_address = [](std::string const& host, std::uint16_t port)
    { return "\"" + host + ":" + std::to_string(port) + "\"\n"; };
    std::ofstream file(m_settings_path);
    file << "node_name = \"" << m_name << "\"\nip = \"" << m_ports.host << "\"\nzone = \""
         << m_ports.zone << "\"\nregion = \"r\"\ninternal_port_range = [" << m_ports.peers << ","
         << m_ports.peers
         << "]\n[listen]\nfrontend = " << quoted_address(m_ports.caller_host, m_ports.callers)
         << "readiness = " << quoted_address(m_ports.caller_host, m_ports.readiness)
         << "registry = " << quoted_address(m_ports.caller_host, m_ports.addresses)
         << "[bounds]\ngrace_s = 6\nretry_budget_ratio = 0.2\nretry_window_s = 10\n"
         << "budget_slack = 56\nttl_max_s = 5\n"
         << m_extra_bounds
         << "[platform]\naddress = " << quoted_address(loopback_host, m_store_port)
         << extra_settings;
}

bool node_process::is_ready() const
{
    try
    {
        return call_node(m_ports.readiness, make_request("GET", "/readyz", ""), m_ports.caller_host)
                   .status == 200;
    }
    catch (std::exception const&)
    {
        // The node does not listen yet, or has shut down.
        return false;
    }
}

receive_result receive_response_part(Poco::Net::StreamSocket& socket, http::response_reader& reader)
{
    std::array<char, 8192> bytes{};
    try
    {
        auto const count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (count > 0)
        {
            reader.feed({bytes.data(), static_cast<std::size_t>(count)});
            return receive_result::data;
        }
        reader.feed_eof();
        return receive_result::end_of_connection;
    }
    catch (Poco::TimeoutException const&)
    {
        return receive_result::timeout;
    }
    catch (Poco::Exception const&)
    {
        return receive_result::lost_connection;
    }
}

bool is_reading(http::response_reader const& reader)
{
    return reader.current_state() == http::response_reader::state::reading_head ||
           reader.current_state() == http::response_reader::state::reading_body;
}

caller_response call_node(std::uint16_t port, http::request const& request, std::string const& host)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(host, port));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    send_all(socket, http::write_request(request));
    http::response_reader reader(request.method != "HEAD");
    caller_response response;
    // After a reset, return what was received.
    while (is_reading(reader) && receive_response_part(socket, reader) == receive_result::data)
        response.body += reader.take_body();
    response.status = reader.head().status;
    response.headers = reader.head().headers;
    response.is_complete = reader.current_state() == http::response_reader::state::complete;
    return response;
}

http::request make_request(std::string const& method, std::string const& path,
                           std::string const& request_id)
{
    http::request request;
    request.method = method;
    request.target = path;
    request.headers.add("Host", "shop.example");
    if (request_id.empty())
        return request;
    request.headers.add("Attempt-Id", request_id);
    request.headers.add("Deadline-Ms", "8000");
    request.headers.add("Authorization", "Token key-1");
    return request;
}

} // namespace jasminepier::tests
