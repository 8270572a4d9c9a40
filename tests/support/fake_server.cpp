#include "tests/support/fake_server.hpp"

#include <cstdio>
#include <stdexcept>
#include <thread>

namespace jasminepier::tests
{

fake_server::fake_server(std::uint16_t port, std::string id)
    : m_id(std::move(id)),
      m_server(port, [this](Poco::Net::StreamSocket& socket) { serve(socket); })
{
}

std::string fake_server::address() const
{
    return std::string(loopback_host) + ":" + std::to_string(m_server.port());
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
        return send(socket, 200, {},
                    m_leaving ? R"({"state":"draining"})" : R"({"state":"ready"})");
    auto const id = std::string(request.headers.find("Attempt-Id").value_or(""));
    auto const action = path.substr(path.rfind('/') + 1);
    http::header_list fields;
    fields.add("Attempt-Id", id);
    auto const expected = request.headers.find("Expect-Instance").value_or("");
    if (expected != m_id)
        return send(socket, 421, fields, "");
    std::size_t place = 0;
    {
        std::lock_guard lock(m_mutex);
        place = m_received.size();
        m_received.push_back({request.target,
                              request.headers,
                              request.body,
                              std::chrono::steady_clock::now(),
                              {},
                              action != "shed",
                              false});
        if (action != "shed")
            ++m_runs[id];
    }
    auto const note_end = [&](bool succeeded)
    {
        std::lock_guard lock(m_mutex);
        m_received[place].ended = std::chrono::steady_clock::now();
        m_received[place].succeeded = succeeded;
    };
    try
    {
        bool const succeeded = execute(socket, request, action);
        note_end(succeeded);
        return succeeded;
    }
    catch (std::exception const&)
    {
        note_end(false);
        throw;
    }
}

bool fake_server::work(Poco::Net::StreamSocket& socket, std::chrono::milliseconds time)
{
    auto const end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end)
    {
        if (peer_left(socket))
        {
            ++m_abandoned;
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

bool fake_server::execute(Poco::Net::StreamSocket& socket, http::request const& request,
                          std::string const& action)
{
    auto const id = std::string(request.headers.find("Attempt-Id").value_or(""));
    http::header_list fields;
    fields.add("Attempt-Id", id);
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
        return work(socket, std::chrono::hours(1));
    if (action.starts_with("work-"))
        return work(socket, std::chrono::milliseconds(std::stoi(action.substr(5)))) &&
               send(socket, 200, fields, "answer to " + id);
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

} // namespace jasminepier::tests
