#include "tests/support/fake_server.hpp"

#include <cstdio>
#include <stdexcept>
#include <thread>
#include <utility>

namespace jasminepier::tests
{
namespace
{

std::string encode_chunk(std::string const& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Makes the end of the connection a reset. The peer first reads what has been sent.
void reset(Poco::Net::StreamSocket& socket)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    socket.setLinger(true, 0);
}

} // namespace

fake_server::fake_server(std::uint16_t port, std::string id)
    : m_id(std::move(id)),
      m_server(port, [this](Poco::Net::StreamSocket& socket) { serve(socket); })
{
}

std::string fake_server::address() const
{
    return std::string(loopback_host) + ":" + std::to_string(m_server.port());
}

std::vector<fake_server::received_request> fake_server::requests() const
{
    std::lock_guard lock(m_mutex);
    return m_requests;
}

int fake_server::execution_count(std::string const& request_id) const
{
    std::lock_guard lock(m_mutex);
    auto const found = m_execution_counts.find(request_id);
    return found == m_execution_counts.end() ? 0 : found->second;
}

void fake_server::serve(Poco::Net::StreamSocket& socket)
{
    std::string late_copy;
    auto const connection = ++m_connection_count;
    while (auto const request = read_request(socket))
    {
        if (!late_copy.empty())
            send_all(socket, std::exchange(late_copy, {}));
        if (!respond(socket, *request, connection))
            return;
        bool const refuses = request->path().ends_with("/refusal-copied");
        if (!refuses && !request->path().ends_with("/copied"))
            continue;
        auto const id = std::string(request->headers.find("Attempt-Id").value_or(""));
        auto const body = "response to " + id;
        http::header_list fields;
        fields.add("Attempt-Id", id);
        fields.add("Server-Signature", "signed-by-" + m_id);
        fields.add("Content-Length", std::to_string(body.size()));
        if (refuses)
            fields.add("Not-Executed", "1");
        late_copy = http::write_response_head(refuses ? 503 : 200, "", fields) + body;
    }
}

void fake_server::set_extra_fields(http::header_list fields)
{
    std::lock_guard lock(m_mutex);
    m_extra_fields = std::move(fields);
}

void fake_server::set_raw_response(std::string response, raw_delivery delivery)
{
    std::lock_guard lock(m_mutex);
    m_raw_response = std::move(response);
    m_raw_delivery = delivery;
}

void fake_server::set_raw_report(std::string response)
{
    std::lock_guard lock(m_mutex);
    m_raw_report = std::move(response);
}

std::string fake_server::make_raw_response(std::string const& id) const
{
    constexpr std::string_view placeholder = "{id}";
    std::lock_guard lock(m_mutex);
    auto response = m_raw_response;
    for (auto at = response.find(placeholder); at != std::string::npos;
         at = response.find(placeholder, at + id.size()))
        response.replace(at, placeholder.size(), id);
    return response;
}

bool fake_server::send_raw_response(Poco::Net::StreamSocket& socket, std::string const& id)
{
    auto const response = make_raw_response(id);
    std::unique_lock lock(m_mutex);
    auto const delivery = m_raw_delivery;
    lock.unlock();
    if (delivery == raw_delivery::byte_by_byte)
    {
        socket.setNoDelay(true);
        for (char const byte : response)
            send_all(socket, std::string(1, byte));
        return true;
    }
    send_all(socket, response);
    if (delivery == raw_delivery::then_reset)
        reset(socket);
    return delivery == raw_delivery::at_once;
}

http::header_list fake_server::make_fields(std::string const& id) const
{
    std::lock_guard lock(m_mutex);
    auto fields = m_extra_fields;
    fields.add("Attempt-Id", id);
    fields.add("Server-Signature", "signed-by-" + m_id);
    return fields;
}

bool fake_server::send(Poco::Net::StreamSocket& socket, int status, http::header_list fields,
                       std::string const& body)
{
    fields.add("Content-Length", std::to_string(body.size()));
    send_all(socket, http::write_response_head(status, "", fields) + body);
    return true;
}

bool fake_server::respond(Poco::Net::StreamSocket& socket, http::request const& request,
                          int connection)
{
    // Under load, a thread may read a request long after it has arrived.
    auto const arrived_at = std::chrono::steady_clock::now() - time_since_last_data(socket);
    auto const path = std::string(request.path());
    if (path == "/kv-move")
        return copy_generation(socket, request), true;
    if (path.starts_with("/kv-handle/"))
        return send(socket, 200, {}, "{}");
    if (path == "/report")
    {
        std::unique_lock lock(m_mutex);
        auto const raw_report = m_raw_report;
        lock.unlock();
        if (!raw_report.empty())
            return send_all(socket, raw_report), true;
    }
    if (path == "/report")
        return send(socket, 200, {},
                    m_draining ? R"({"state":"draining"})" : R"({"state":"ready"})");
    auto const id = std::string(request.headers.find("Attempt-Id").value_or(""));
    auto const action = path.substr(path.rfind('/') + 1);
    http::header_list fields;
    fields.add("Attempt-Id", id);
    auto const expected = request.headers.find("Expect-Instance").value_or("");
    if (expected != m_id)
        return send(socket, 421, fields, "");
    std::size_t index = 0;
    {
        std::lock_guard lock(m_mutex);
        index = m_requests.size();
        m_requests.push_back({request.target,
                              request.headers,
                              request.body,
                              arrived_at,
                              {},
                              action != "shed",
                              false,
                              connection});
        if (action != "shed")
            ++m_execution_counts[id];
    }
    auto const record_end = [&](bool succeeded)
    {
        std::lock_guard lock(m_mutex);
        m_requests[index].ended_at = std::chrono::steady_clock::now();
        m_requests[index].succeeded = succeeded;
    };
    try
    {
        bool const succeeded = execute(socket, request, action);
        record_end(succeeded);
        return succeeded;
    }
    catch (std::exception const&)
    {
        record_end(false);
        throw;
    }
}

bool fake_server::wait_while_connected(Poco::Net::StreamSocket& socket,
                                       std::chrono::milliseconds duration)
{
    auto const deadline = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < deadline)
    {
        if (peer_has_closed(socket))
        {
            ++m_disconnect_count;
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
    auto fields = make_fields(id);
    if (action == "ok" && m_fails)
        return send(socket, 500, fields, "failed");
    if (action == "ok" || action == "copied" || action == "refusal-copied")
        return send(socket, 200, fields, "response to " + id);
    if (action == "error")
        return send(socket, 500, fields, "failed");
    bool const resumed = request.headers.find("Last-Event-Id").has_value();
    if (action.starts_with("raw-") && resumed)
        return stream(socket, request, std::stoi(action.substr(4)), true), true;
    if (action == "raw" || action.starts_with("raw-"))
        return send_raw_response(socket, id);
    if (action == "shed")
    {
        fields.add("Not-Executed", "1");
        return send(socket, 503, fields, "");
    }
    if (action == "foreign")
    {
        fields.set("Attempt-Id", "another");
        return send(socket, 200, fields, "response to another request");
    }
    if (action == "crash")
    {
        fields.add("Content-Type", "text/event-stream");
        fields.add("Transfer-Encoding", "chunked");
        send_all(socket, http::write_response_head(200, "", fields));
        m_crashed = true;
        return wait_while_connected(socket, std::chrono::hours(1));
    }
    if (action == "hang")
        return wait_while_connected(socket, std::chrono::hours(1));
    if (action.starts_with("work-"))
        return wait_while_connected(socket,
                                    std::chrono::milliseconds(std::stoi(action.substr(5)))) &&
               send(socket, 200, fields, "response to " + id);
    if (action.starts_with("large-"))
        return send(socket, 200, fields,
                    std::string(std::stoul(action.substr(6)) * std::size_t{1024}, 'b'));
    if (action.starts_with("unavailable-"))
        return wait_while_connected(socket,
                                    std::chrono::milliseconds(std::stoi(action.substr(12)))) &&
               send(socket, 503, fields, "failed after the request had run");
    if (action.starts_with("stream-"))
        return stream(socket, request, std::stoi(action.substr(7)), true), true;
    if (action == "endless")
        return send_without_end(socket, request), false;
    if (action == "endless-head" || action == "short-head")
        return send_unfinished_head(socket, request, action == "endless-head"), false;
    if (action == "closed" || action == "reset")
    {
        auto const body = request.method == "HEAD" ? "" : "response to " + id;
        send_all(socket, http::write_response_head(200, "", fields) +
                             (action == "closed" ? body : body.substr(0, body.size() / 2)));
        if (action == "reset")
            reset(socket);
        return false;
    }
    if (action.starts_with("closed-"))
        return stream(socket, request, std::stoi(action.substr(7)), true,
                      framing::end_of_connection),
               false;
    if (action.starts_with("comment-"))
        return send_partial_stream(socket, request, std::stoi(action.substr(8)), ": end\n",
                                   framing::end_of_connection),
               false;
    if (action.starts_with("partial-"))
        return serve_partial_stream(socket, request, action), false;
    if (action.starts_with("stalled-") && resumed)
        return stream(socket, request, std::stoi(action.substr(8)), true), true;
    if (action.starts_with("stalled-"))
        return stall(socket, request), false;
    if (action.starts_with("failing-") && resumed)
    {
        fields.add("Content-Type", "application/json");
        auto const resumed_status = std::stoi(action.substr(action.rfind('-') + 1));
        return send(socket, resumed_status, fields,
                    resumed_status == 204 ? "" : "the error text\n\n");
    }
    if (action.starts_with("failing-"))
        return stream(socket, request, std::stoi(action.substr(8)), false), false;
    if (action.starts_with("status-"))
        return send(socket, std::stoi(action.substr(7)), fields, "failed");
    if (action == "greeting")
    {
        fields.add("Transfer-Encoding", "chunked");
        send_all(socket, http::write_response_head(200, "", fields) + encode_chunk(": \n\n"));
        return false;
    }
    if (action.starts_with("dying-"))
    {
        execute(socket, request, action.substr(6));
        m_server.refuse_connections(std::chrono::milliseconds(400));
        return false;
    }
    if (action.starts_with("losing-"))
        return lose_first_answers(socket, request, action);
    if (action.starts_with("broken-"))
        stream(socket, request, std::stoi(action.substr(7)), false);
    return false;
}

bool fake_server::lose_first_answers(Poco::Net::StreamSocket& socket, http::request const& request,
                                     std::string const& action)
{
    auto const number_end = action.find('-', 7);
    bool loses = false;
    {
        std::lock_guard lock(m_mutex);
        loses = m_loss_counts[request.target]++ < std::stoi(action.substr(7));
    }
    if (loses)
        return execute(socket, request, action.substr(number_end + 1)), false;
    bool const is_stream =
        request.target.starts_with("/plan/") || request.target.starts_with("/question/");
    return execute(socket, request, is_stream ? "stream-2" : "ok");
}

void fake_server::serve_partial_stream(Poco::Net::StreamSocket& socket,
                                       http::request const& request, std::string const& action)
{
    auto const number_start = action.rfind('-') + 1;
    auto const events = std::stoi(action.substr(number_start));
    if (request.headers.find("Last-Event-Id"))
        return stream(socket, request, events + 2, true);
    auto const body_framing = action.starts_with("partial-chunked-") ? framing::chunked
                              : action.starts_with("partial-sized-") ? framing::sized
                              : action.starts_with("partial-reset-") ? framing::reset_connection
                                                                     : framing::end_of_connection;
    send_partial_stream(socket, request, events,
                        "id: " + std::to_string(events + 1) + "\ndata: pie", body_framing);
}

void fake_server::send_partial_stream(Poco::Net::StreamSocket& socket, http::request const& request,
                                      int events, std::string const& rest, framing body_framing)
{
    std::string body;
    for (int number = 1; number <= events; ++number)
        body += "id: " + std::to_string(number) + "\ndata: piece\n\n";
    body += rest;
    auto fields = make_fields(std::string(request.headers.find("Attempt-Id").value_or("")));
    fields.add("Content-Type", "text/event-stream");
    if (body_framing == framing::sized)
        fields.add("Content-Length", std::to_string(body.size()));
    if (body_framing == framing::chunked)
    {
        fields.add("Transfer-Encoding", "chunked");
        body = encode_chunk(body) + "0\r\n\r\n";
    }
    send_all(socket, http::write_response_head(200, "", fields) + body);
    if (body_framing == framing::reset_connection)
        reset(socket);
}

void fake_server::stream(Poco::Net::StreamSocket& socket, http::request const& request, int events,
                         bool complete, framing body_framing)
{
    bool const chunked = body_framing == framing::chunked;
    auto const id = std::string(request.headers.find("Attempt-Id").value_or(""));
    auto const last = std::string(request.headers.find("Last-Event-Id").value_or(""));
    auto fields = make_fields(id);
    fields.add("Content-Type", "text/event-stream");
    if (chunked)
        fields.add("Transfer-Encoding", "chunked");
    send_all(socket, http::write_response_head(200, "", fields));
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= events; ++number)
    {
        auto const event = "id: " + std::to_string(number) + "\ndata: piece\n\n";
        send_all(socket, chunked ? encode_chunk(event) : event);
        std::this_thread::sleep_for(m_event_interval.load());
        if (peer_has_closed(socket))
        {
            ++m_disconnect_count;
            throw std::runtime_error("the peer closed the connection");
        }
        std::lock_guard lock(m_mutex);
        if (m_handed_over_ids.contains(id))
            throw std::runtime_error("the generation was handed over");
    }
    if (complete && chunked)
        send_all(socket, "0\r\n\r\n");
}

void fake_server::stall(Poco::Net::StreamSocket& socket, http::request const& request)
{
    auto fields = make_fields(std::string(request.headers.find("Attempt-Id").value_or("")));
    fields.add("Content-Type", "text/event-stream");
    fields.add("Transfer-Encoding", "chunked");
    send_all(socket,
             http::write_response_head(200, "", fields) + "17\r\nid: 1\ndata: piece\n\n: \n\n\r\n");
    while (wait_while_connected(socket, std::chrono::milliseconds(100)))
        send_all(socket, "1\r\n:\r\n");
}

void fake_server::send_without_end(Poco::Net::StreamSocket& socket, http::request const& request)
{
    auto fields = make_fields(std::string(request.headers.find("Attempt-Id").value_or("")));
    fields.add("Transfer-Encoding", "chunked");
    send_all(socket, http::write_response_head(200, "", fields));
    auto const chunk = "10000\r\n" + std::string(0x10000, 'b') + "\r\n";
    while (!peer_has_closed(socket))
        send_all(socket, chunk);
    ++m_disconnect_count;
}

void fake_server::send_unfinished_head(Poco::Net::StreamSocket& socket,
                                       http::request const& request, bool is_endless)
{
    auto fields = make_fields(std::string(request.headers.find("Attempt-Id").value_or("")));
    fields.add("Content-Type", "text/event-stream");
    fields.add("Content-Length", "0");
    auto const head = http::write_response_head(200, "", fields);
    send_all(socket, head.substr(0, head.size() - 2));
    auto const field = "Name: " + std::string(16384, 'v') + "\r\n";
    while (is_endless && !peer_has_closed(socket))
        send_all(socket, field);
}

void fake_server::copy_generation(Poco::Net::StreamSocket& socket, http::request const& request)
{
    ++m_copy_count;
    if (m_copy_status != 200)
    {
        send(socket, m_copy_status, {}, "{}");
        return;
    }
    auto const id_start = request.body.find("\"id\":\"") + 6;
    auto const id = request.body.substr(id_start, request.body.find('"', id_start) - id_start);
    if (request.body.find("\"last\":true") != std::string::npos)
    {
        {
            std::lock_guard lock(m_mutex);
            m_handed_over_ids.insert(id);
        }
        std::this_thread::sleep_for(m_stop_delay.load());
    }
    send(socket, 200, {}, R"({"kv_handle":"h-)" + id + R"(","created":1})");
}

} // namespace jasminepier::tests
