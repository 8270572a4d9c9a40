#include "tests/support/fake_store.hpp"

#include <Poco/URI.h>

#include <thread>

namespace jasminepier::tests
{
namespace
{

void wait_for_peer_close(Poco::Net::StreamSocket& socket)
{
    while (!peer_has_closed(socket))
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

/// Returns the text between `start` and the next `end`; empty without `start`.
std::string text_between(std::string const& text, std::string const& start, std::string const& end)
{
    auto const at = text.find(start);
    if (at == std::string::npos)
        return {};
    auto const first = at + start.size();
    return text.substr(first, text.find(end, first) - first);
}

std::string make_object_json(std::string const& name, std::int64_t revision,
                             std::string const& spec, std::string const& status = "")
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(},"spec":)" + (spec.empty() ? "null" : spec) +
           (status.empty() ? "" : ",\"status\":" + status) + "}";
}

} // namespace

fake_store::fake_store(std::uint16_t port)
    : m_server(port, [this](Poco::Net::StreamSocket& socket) { serve(socket); })
{
}

fake_store::~fake_store()
{
    std::lock_guard lock(m_mutex);
    m_shutting_down = true;
    m_changed.notify_all();
}

void fake_store::put(std::string const& kind, std::string const& name, std::string const& spec)
{
    std::lock_guard lock(m_mutex);
    auto& object = m_objects[kind][name];
    object.revision = ++m_revision;
    object.spec = spec;
    m_history.push_back({m_revision, kind, name, spec, false, object.status});
    m_changed.notify_all();
}

void fake_store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard lock(m_mutex);
    m_objects[kind].erase(name);
    m_history.push_back({++m_revision, kind, name, "", true});
    m_changed.notify_all();
}

void fake_store::set_spec_rewriter(
    std::function<std::string(std::string const&, std::string const&, std::string const&)>
        rewrite_spec)
{
    std::lock_guard lock(m_mutex);
    m_rewrite_spec = std::move(rewrite_spec);
}

void fake_store::hide_kind(std::string const& kind)
{
    std::lock_guard lock(m_mutex);
    m_hidden_kinds.insert(kind);
}

void fake_store::set_mode(store_mode mode)
{
    m_mode = mode;
    std::lock_guard lock(m_mutex);
    m_changed.notify_all();
}

void fake_store::drop_history()
{
    std::lock_guard lock(m_mutex);
    m_history.clear();
    m_history_start = ++m_revision;
    m_changed.notify_all();
}

void fake_store::take_copy()
{
    std::lock_guard lock(m_mutex);
    m_copied_objects = m_objects;
    m_copied_revision = m_revision;
}

std::vector<fake_store::lost_write> fake_store::restore_copy()
{
    std::lock_guard lock(m_mutex);
    std::vector<lost_write> lost;
    for (auto const& [kind, objects] : m_objects)
        for (auto const& [name, object] : objects)
            if (object.revision > m_copied_revision)
                lost.push_back({kind, name, object.spec});
    for (auto const& [kind, objects] : m_copied_objects)
        for (auto const& [name, object] : objects)
            if (!m_objects[kind].contains(name))
                lost.push_back({kind, name, std::nullopt});
    m_objects = m_copied_objects;
    m_revision = m_copied_revision;
    std::erase_if(m_history, [&](auto const& change) { return change.revision > m_revision; });
    ++m_epoch;
    m_changed.notify_all();
    return lost;
}

void fake_store::write_again(std::vector<lost_write> const& lost)
{
    for (auto const& write : lost)
    {
        {
            std::lock_guard lock(m_mutex);
            auto const& objects = m_objects[write.kind];
            auto const found = objects.find(write.name);
            if (found != objects.end() && found->second.revision > m_copied_revision)
                continue;
        }
        if (write.spec)
            put(write.kind, write.name, *write.spec);
        else
            remove(write.kind, write.name);
    }
}

std::string fake_store::find_spec(std::string const& kind, std::string const& name)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? std::string{} : found->second.spec;
}

std::string fake_store::find_status(std::string const& kind, std::string const& name)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? std::string{} : found->second.status;
}

void fake_store::serve(Poco::Net::StreamSocket& socket)
{
    while (auto const request = read_request(socket))
    {
        ++m_request_count;
        if (m_mode == store_mode::unresponsive)
        {
            wait_for_peer_close(socket);
            return;
        }
        int status = 200;
        auto const response_body = handle_request(*request, status);
        // The mode may have changed during a watch, which then gets no response either.
        if (m_mode == store_mode::unresponsive)
        {
            wait_for_peer_close(socket);
            return;
        }
        if (m_mode == store_mode::dropping_responses)
            return;
        auto const body = m_mode == store_mode::unavailable ? std::string{} : response_body;
        if (m_mode == store_mode::unavailable)
            status = 503;
        http::header_list fields;
        fields.add("Content-Length", std::to_string(body.size()));
        fields.add("Store-Era", std::to_string(m_epoch));
        send_all(socket, http::write_response_head(status, "", fields) + body);
    }
}

std::string fake_store::list(std::string const& kind)
{
    std::string items;
    for (auto const& [name, object] : m_objects[kind])
        if (!m_hidden_kinds.contains(kind))
            items += (items.empty() ? "" : ",") +
                     make_object_json(name, object.revision, object.spec, object.status);
    return R"({"items":[)" + items + R"(],"has_more":false,"at":)" + std::to_string(m_revision) +
           "}";
}

std::string fake_store::watch(std::string const& kind, std::int64_t after_revision,
                              std::chrono::milliseconds timeout, int& status)
{
    std::unique_lock lock(m_mutex);
    std::string events;
    auto const collect_events = [&]
    {
        events.clear();
        for (auto const& change : m_history)
            if (change.kind == kind && change.revision > after_revision &&
                !m_hidden_kinds.contains(kind))
                events +=
                    std::string(events.empty() ? "" : ",") + R"({"deleted":)" +
                    (change.deleted ? "true" : "false") + R"(,"object":)" +
                    make_object_json(change.name, change.revision, change.spec, change.status) +
                    "}";
        return !events.empty() || after_revision < m_history_start || after_revision > m_revision ||
               m_shutting_down || m_mode != store_mode::serving;
    };
    m_changed.wait_for(lock, timeout, collect_events);
    if (after_revision < m_history_start || after_revision > m_revision)
    {
        status = 410;
        return "{}";
    }
    return R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}";
}

std::string fake_store::write(std::string const& kind, std::string const& name,
                              std::string const& spec)
{
    auto const stored_spec = m_rewrite_spec ? m_rewrite_spec(kind, name, spec) : spec;
    m_objects[kind][name] = {++m_revision, stored_spec};
    m_history.push_back({m_revision, kind, name, stored_spec, false});
    m_changed.notify_all();
    return make_object_json(name, m_revision, stored_spec);
}

std::string fake_store::handle_request(http::request const& request, int& status)
{
    Poco::URI const uri(request.target);
    std::vector<std::string> path_segments;
    uri.getPathSegments(path_segments);
    auto const kind = path_segments.size() > 1 ? path_segments[1] : std::string{};
    std::map<std::string, std::string> query;
    for (auto const& [name, value] : uri.getQueryParameters())
        query[name] = value;
    if (request.method == "GET" && query.contains("watch"))
        return watch(kind, std::stoll(query["watch"]),
                     std::chrono::milliseconds(std::stoll(query["wait_ms"])), status);
    std::lock_guard lock(m_mutex);
    if (request.method == "GET")
        return list(kind);
    auto const name = path_segments.size() > 2 ? path_segments[2]
                                               : text_between(request.body, "\"name\":\"", "\"");
    auto const existing = m_objects[kind].find(name);
    bool const exists = existing != m_objects[kind].end();
    if (request.method == "POST" ? exists : !exists)
    {
        status = exists ? 409 : 404;
        return exists ? make_object_json(name, existing->second.revision, existing->second.spec)
                      : "{}";
    }
    auto const expected_revision = request.method == "DELETE"
                                       ? query["revision"]
                                       : text_between(request.body, "\"revision\":", "}");
    if (exists && expected_revision != std::to_string(existing->second.revision))
    {
        status = 409;
        return make_object_json(name, existing->second.revision, existing->second.spec,
                                existing->second.status);
    }
    if (path_segments.size() > 3 && path_segments[3] == "status")
    {
        auto& object = existing->second;
        auto const start = request.body.find("\"status\":") + 9;
        object.status = request.body.substr(start, request.body.size() - start - 1);
        object.revision = ++m_revision;
        m_history.push_back({m_revision, kind, name, object.spec, false, object.status});
        m_changed.notify_all();
        return make_object_json(name, m_revision, object.spec, object.status);
    }
    if (request.method == "DELETE")
    {
        m_objects[kind].erase(existing);
        m_history.push_back({++m_revision, kind, name, "", true});
        m_changed.notify_all();
        return "{}";
    }
    auto const spec_start = request.body.find("\"spec\":") + 7;
    return write(kind, name, request.body.substr(spec_start, request.body.size() - spec_start - 1));
}

} // namespace jasminepier::tests
