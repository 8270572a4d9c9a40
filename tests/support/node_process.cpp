#include "tests/support/node_process.hpp"

#include "http/response_reader.hpp"
#include "tests/support/connection_server.hpp"

#include <array>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace jasminepier::tests
{

node_process::node_process(std::string name, node_ports ports, std::uint16_t store_port)
    : m_name(std::move(name)), m_ports(std::move(ports)), m_store_port(store_port),
      m_settings_path("/tmp/jasminepier_node_" + m_name + "_" + std::to_string(::getpid()) +
                      ".toml")
{
    rewrite_settings("");
    restart();
}

void node_process::restart()
{
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

void node_process::rewrite_settings(std::string const& extra)
{
    auto const at = [](std::string const& host, std::uint16_t port)
    { return "\"" + host + ":" + std::to_string(port) + "\"\n"; };
    std::ofstream file(m_settings_path);
    file << "node_name = \"" << m_name << "\"\nip = \"" << m_ports.host << "\"\nzone = \""
         << m_ports.zone << "\"\nregion = \"r\"\ninternal_port_range = [" << m_ports.peers << ","
         << m_ports.peers << "]\n[listen]\nfrontend = " << at(m_ports.caller_host, m_ports.callers)
         << "readiness = " << at(m_ports.caller_host, m_ports.readiness)
         << "registry = " << at(m_ports.caller_host, m_ports.addresses)
         << "[bounds]\ngrace_s = 6\nretry_budget_ratio = 0.2\nretry_window_s = 10\n"
         << "budget_slack = 56\nttl_max_s = 5\n[platform]\naddress = "
         << at(loopback_host, m_store_port) << extra;
}

bool node_process::ready() const
{
    try
    {
        return call_node(m_ports.readiness, make_request("GET", "/readyz", ""), m_ports.caller_host)
                   .status == 200;
    }
    catch (std::exception const&)
    {
        // Nothing listens yet, or not any more.
        return false;
    }
}

caller_answer call_node(std::uint16_t port, http::request const& request, std::string const& host)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(host, port));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    send_all(socket, http::write_request(request));
    http::response_reader reader;
    caller_answer answer;
    std::array<char, 8192> bytes{};
    while (reader.current_state() == http::response_reader::state::reading_head ||
           reader.current_state() == http::response_reader::state::reading_body)
    {
        int count = 0;
        try
        {
            count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        }
        catch (std::exception const&)
        {
            // A reset ends the answer as it stands.
            break;
        }
        if (count <= 0)
        {
            reader.feed_eof();
            break;
        }
        reader.feed({bytes.data(), static_cast<std::size_t>(count)});
        answer.body += reader.take_body();
    }
    answer.status = reader.head().status;
    answer.headers = reader.head().headers;
    answer.whole = reader.current_state() == http::response_reader::state::complete;
    return answer;
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
