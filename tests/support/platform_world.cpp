#include "tests/support/platform_world.hpp"

#include "http/request_reader.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/URI.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace jasminepier::tests
{
namespace
{

constexpr char const* host = "127.0.0.1";

class function_connection : public Poco::Net::TCPServerConnection
{
public:
    function_connection(Poco::Net::StreamSocket const& socket,
                        connection_server::handler const& serve)
        : TCPServerConnection(socket), m_serve(serve)
    {
    }
    void run() override { m_serve(socket()); }

private:
    connection_server::handler const& m_serve;
};

class function_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit function_factory(connection_server::handler serve) : m_serve(std::move(serve)) {}
    Poco::Net::TCPServerConnection* createConnection(Poco::Net::StreamSocket const& socket) override
    {
        return new function_connection(socket, m_serve);
    }

private:
    connection_server::handler m_serve;
};

void send_all(Poco::Net::StreamSocket& socket, std::string const& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
        sent += static_cast<std::size_t>(
            socket.sendBytes(text.data() + sent, static_cast<int>(text.size() - sent)));
}

/// True when the peer closed its side.
bool peer_left(Poco::Net::StreamSocket& socket)
{
    char byte = 0;
    return ::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void wait_for_peer(Poco::Net::StreamSocket& socket)
{
    while (!peer_left(socket))
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

std::string object_text(std::string const& name, std::int64_t revision, std::string const& spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(},"spec":)" + (spec.empty() ? "null" : spec) + "}";
}

} // namespace

connection_server::connection_server(std::uint16_t port, handler serve)
    : m_port(port), m_serve(std::move(serve))
{
    auto* const parameters = new Poco::Net::TCPServerParams;
    parameters->setMaxThreads(128);
    parameters->setThreadIdleTime(Poco::Timespan(1, 0));
    static Poco::ThreadPool pool(16, 512);
    m_server = std::make_unique<Poco::Net::TCPServer>(
        new function_factory([this](Poco::Net::StreamSocket& socket) { this->serve(socket); }),
        pool, Poco::Net::ServerSocket(Poco::Net::SocketAddress(host, port), 128), parameters);
    m_server->start();
}

connection_server::~connection_server()
{
    m_server->stop();
    std::unique_lock lock(m_mutex);
    m_stopping = true;
    for (int const descriptor : m_open)
        ::shutdown(descriptor, SHUT_RDWR);
    m_ended.wait(lock, [&] { return m_open.empty(); });
}

void connection_server::serve(Poco::Net::StreamSocket& socket)
{
    auto const descriptor = socket.impl()->sockfd();
    {
        std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_open.insert(descriptor);
    }
    try
    {
        m_serve(socket);
    }
    catch (std::exception const&)
    {
        // The peer has left; what it should have received is checked at the peer.
    }
    std::lock_guard lock(m_mutex);
    m_open.erase(descriptor);
    m_ended.notify_all();
}

std::optional<http::request> read_request(Poco::Net::StreamSocket& socket)
{
    http::request_reader reader({});
    std::array<char, 8192> bytes{};
    while (reader.current() != http::request_reader::state::complete)
    {
        auto const count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (count <= 0)
            return std::nullopt;
        reader.feed({bytes.data(), static_cast<std::size_t>(count)});
    }
    return reader.take_request();
}

fake_store::fake_store(std::uint16_t port)
    : m_server(port, [this](Poco::Net::StreamSocket& socket) { serve(socket); })
{
}

fake_store::~fake_store()
{
    std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

void fake_store::put(std::string const& kind, std::string const& name, std::string const& spec)
{
    std::lock_guard lock(m_mutex);
    m_objects[kind][name] = {++m_revision, spec};
    m_history.push_back({m_revision, kind, name, spec, false});
    m_changed.notify_all();
}

void fake_store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard lock(m_mutex);
    m_objects[kind].erase(name);
    m_history.push_back({++m_revision, kind, name, "", true});
    m_changed.notify_all();
}

void fake_store::set_mode(store_mode mode)
{
    m_mode = mode;
    std::lock_guard lock(m_mutex);
    m_changed.notify_all();
}

void fake_store::forget_history()
{
    std::lock_guard lock(m_mutex);
    m_history.clear();
    m_oldest = ++m_revision;
    m_changed.notify_all();
}

void fake_store::serve(Poco::Net::StreamSocket& socket)
{
    while (auto const request = read_request(socket))
    {
        ++m_calls;
        if (m_mode == store_mode::silent)
        {
            wait_for_peer(socket);
            return;
        }
        int status = 200;
        auto const answered = answer(*request, status);
        // What waits while the store falls silent is never answered.
        if (m_mode == store_mode::silent)
        {
            wait_for_peer(socket);
            return;
        }
        auto const body = m_mode == store_mode::refusing ? std::string{} : answered;
        if (m_mode == store_mode::refusing)
            status = 503;
        http::header_list fields;
        fields.add("Content-Length", std::to_string(body.size()));
        send_all(socket, http::write_response_head(status, "", fields) + body);
    }
}

std::string fake_store::list(std::string const& kind)
{
    std::string items;
    for (auto const& [name, object] : m_objects[kind])
        items += (items.empty() ? "" : ",") + object_text(name, object.revision, object.spec);
    return R"({"items":[)" + items + R"(],"has_more":false,"at":)" + std::to_string(m_revision) +
           "}";
}

std::string fake_store::watch(std::string const& kind, std::int64_t since,
                              std::chrono::milliseconds wait, int& status)
{
    std::unique_lock lock(m_mutex);
    std::string events;
    auto const collect = [&]
    {
        events.clear();
        for (auto const& item : m_history)
            if (item.kind == kind && item.revision > since)
                events += std::string(events.empty() ? "" : ",") + R"({"deleted":)" +
                          (item.deleted ? "true" : "false") + R"(,"object":)" +
                          object_text(item.name, item.revision, item.spec) + "}";
        return !events.empty() || since < m_oldest || m_stopping || m_mode != store_mode::serving;
    };
    m_changed.wait_for(lock, wait, collect);
    if (since < m_oldest)
    {
        status = 410;
        return "{}";
    }
    return R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}";
}

std::string fake_store::answer(http::request const& request, int& status)
{
    Poco::URI const uri(request.target);
    std::vector<std::string> parts;
    uri.getPathSegments(parts);
    auto const kind = parts.size() > 1 ? parts[1] : std::string{};
    std::map<std::string, std::string> query;
    for (auto const& [name, value] : uri.getQueryParameters())
        query[name] = value;
    if (request.method == "GET" && query.contains("watch"))
        return watch(kind, std::stoll(query["watch"]),
                     std::chrono::milliseconds(std::stoll(query["wait_ms"])), status);
    std::lock_guard lock(m_mutex);
    if (request.method == "GET")
        return list(kind);
    if (request.method == "POST")
    {
        // Only nodes write here, each its own entry.
        auto const start = request.body.find("\"name\":\"") + 8;
        auto const name = request.body.substr(start, request.body.find('"', start) - start);
        auto const spec_at = request.body.find("\"spec\":") + 7;
        auto const spec = request.body.substr(spec_at, request.body.size() - spec_at - 1);
        if (m_objects[kind].contains(name))
        {
            status = 409;
            auto const& held = m_objects[kind][name];
            return object_text(name, held.revision, held.spec);
        }
        m_objects[kind][name] = {++m_revision, spec};
        m_history.push_back({m_revision, kind, name, spec, false});
        m_changed.notify_all();
        return object_text(name, m_revision, spec);
    }
    status = 404;
    return "{}";
}

fake_server::fake_server(std::uint16_t port, std::string id)
    : m_id(std::move(id)),
      m_server(port, [this](Poco::Net::StreamSocket& socket) { serve(socket); })
{
}

std::string fake_server::address() const
{
    return std::string(host) + ":" + std::to_string(m_server.port());
}

std::vector<fake_server::received> fake_server::requests() const
{
    std::lock_guard lock(m_mutex);
    return m_received;
}

int fake_server::runs(std::string const& request_id) const
{
    std::lock_guard lock(m_mutex);
    auto const found = m_runs.find(request_id);
    return found == m_runs.end() ? 0 : found->second;
}

void fake_server::serve(Poco::Net::StreamSocket& socket)
{
    while (auto const request = read_request(socket))
        if (!answer(socket, *request))
            return;
}

bool fake_server::send(Poco::Net::StreamSocket& socket, int status, http::header_list fields,
                       std::string const& body)
{
    fields.add("Content-Length", std::to_string(body.size()));
    send_all(socket, http::write_response_head(status, "", fields) + body);
    return true;
}

bool fake_server::answer(Poco::Net::StreamSocket& socket, http::request const& request)
{
    auto const path = std::string(request.path());
    if (path == "/kv-move")
        return copy_run(socket, request), true;
    if (path.starts_with("/kv-handle/"))
        return send(socket, 200, {}, "{}");
    if (path == "/report")
        return send(socket, 200, {}, R"({"state":"ready"})");
    auto const id = std::string(request.headers.find("Attempt-Id").value_or(""));
    auto const action = path.substr(path.rfind('/') + 1);
    http::header_list fields;
    fields.add("Attempt-Id", id);
    auto const expected = request.headers.find("Expect-Instance").value_or("");
    if (expected != m_id)
        return send(socket, 421, fields, "");
    {
        std::lock_guard lock(m_mutex);
        m_received.push_back({request.target, request.headers, request.body});
        if (action != "shed")
            ++m_runs[id];
    }
    fields.add("Server-Signature", "signed-by-" + m_id);
    if (action == "ok")
        return send(socket, 200, fields, "answer to " + id);
    if (action == "error")
        return send(socket, 500, fields, "failed");
    if (action == "shed")
    {
        fields.add("Not-Executed", "1");
        return send(socket, 503, fields, "");
    }
    if (action == "foreign")
    {
        fields.set("Attempt-Id", "another");
        return send(socket, 200, fields, "another's answer");
    }
    if (action == "hang")
    {
        while (!peer_left(socket))
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        ++m_abandoned;
        return false;
    }
    if (action.starts_with("stream-"))
        return stream(socket, request, std::stoi(action.substr(7)), true), true;
    if (action.starts_with("broken-"))
        stream(socket, request, std::stoi(action.substr(7)), false);
    return false;
}

void fake_server::stream(Poco::Net::StreamSocket& socket, http::request const& request, int events,
                         bool whole)
{
    auto const id = std::string(request.headers.find("Attempt-Id").value_or(""));
    auto const last = std::string(request.headers.find("Last-Event-Id").value_or(""));
    http::header_list fields;
    fields.add("Attempt-Id", id);
    fields.add("Server-Signature", "signed-by-" + m_id);
    fields.add("Content-Type", "text/event-stream");
    fields.add("Transfer-Encoding", "chunked");
    send_all(socket, http::write_response_head(200, "", fields));
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= events; ++number)
    {
        auto const event = "id: " + std::to_string(number) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        send_all(socket, size + event + "\r\n");
        std::this_thread::sleep_for(m_event_pause.load());
        if (peer_left(socket))
        {
            ++m_abandoned;
            throw std::runtime_error("the peer has left");
        }
        std::lock_guard lock(m_mutex);
        if (m_stopped.contains(id))
            throw std::runtime_error("the run was moved");
    }
    if (whole)
        send_all(socket, "0\r\n\r\n");
}

void fake_server::copy_run(Poco::Net::StreamSocket& socket, http::request const& request)
{
    ++m_copies;
    auto const start = request.body.find("\"id\":\"") + 6;
    auto const id = request.body.substr(start, request.body.find('"', start) - start);
    if (request.body.find("\"last\":true") != std::string::npos)
    {
        std::lock_guard lock(m_mutex);
        m_stopped.insert(id);
    }
    send(socket, 200, {}, R"({"kv_handle":"h-)" + id + R"(","created":1})");
}

node_process::node_process(std::string name, node_ports ports, std::uint16_t store_port)
    : m_name(std::move(name)), m_ports(ports), m_store_port(store_port),
      m_settings_path("/tmp/jasminepier_node_" + m_name + "_" + std::to_string(::getpid()) +
                      ".toml")
{
    rewrite_settings("");
    ::setenv("JASMINEPIER_CONFIG", m_settings_path.c_str(), 1);
    m_process = std::make_unique<process>("jasminepier-node", std::vector<std::string>{});
}

node_process::~node_process()
{
    m_process.reset();
    std::remove(m_settings_path.c_str());
}

void node_process::rewrite_settings(std::string const& extra)
{
    auto const at = [](std::uint16_t port)
    { return "\"" + std::string(host) + ":" + std::to_string(port) + "\"\n"; };
    std::ofstream file(m_settings_path);
    file << "node_name = \"" << m_name << "\"\nip = \"" << host
         << "\"\nzone = \"a\"\nregion = \"r\"\ninternal_port_range = [" << m_ports.peers << ","
         << m_ports.peers << "]\n[listen]\nfrontend = " << at(m_ports.callers)
         << "readiness = " << at(m_ports.readiness) << "registry = " << at(m_ports.addresses)
         << "[bounds]\ngrace_s = 6\nretry_budget_ratio = 0.2\nretry_window_s = 10\n"
         << "budget_slack = 56\nttl_max_s = 5\n[platform]\naddress = " << at(m_store_port) << extra;
}

bool node_process::ready() const
{
    try
    {
        return call_node(m_ports.readiness, make_request("GET", "/readyz", "")).status == 200;
    }
    catch (std::exception const&)
    {
        // Nothing listens yet, or not any more.
        return false;
    }
}

caller_answer call_node(std::uint16_t port, http::request const& request)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(host, port));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    send_all(socket, http::write_request(request));
    http::response_reader reader;
    caller_answer answer;
    std::array<char, 8192> bytes{};
    while (reader.current() == http::response_reader::state::reading_head ||
           reader.current() == http::response_reader::state::reading_body)
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
            reader.feed_end();
            break;
        }
        reader.feed({bytes.data(), static_cast<std::size_t>(count)});
        answer.body += reader.take_body();
    }
    answer.status = reader.head().status;
    answer.headers = reader.head().headers;
    answer.whole = reader.current() == http::response_reader::state::complete;
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
