#include "tests/support/fake_store.hpp"

#include <Poco/URI.h>

#include <thread>

namespace jasminepier::tests
{
namespace
{

void wait_for_peer(Poco::Net::StreamSocket& socket)
{
    while (!peer_left(socket))
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

/// The text between `start` and the next `end`.
std::string value_after(std::string const& text, std::string const& start, std::string const& end)
{
    auto const at = text.find(start);
    if (at == std::string::npos)
        return {};
    auto const first = at + start.size();
    return text.substr(first, text.find(end, first) - first);
}

std::string object_text(std::string const& name, std::int64_t revision, std::string const& spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(},"spec":)" + (spec.empty() ? "null" : spec) + "}";
}

} // namespace

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

void fake_store::set_rewriting(
    std::function<std::string(std::string const&, std::string const&, std::string const&)> rewrite)
{
    std::lock_guard lock(m_mutex);
    m_rewrite = std::move(rewrite);
}

void fake_store::hide(std::string const& kind)
{
    std::lock_guard lock(m_mutex);
    m_hidden.insert(kind);
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
        if (m_mode == store_mode::losing_answers)
            return;
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
        if (!m_hidden.contains(kind))
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
            if (item.kind == kind && item.revision > since && !m_hidden.contains(kind))
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

std::string fake_store::write(std::string const& kind, std::string const& name,
                              std::string const& spec)
{
    auto const kept = m_rewrite ? m_rewrite(kind, name, spec) : spec;
    m_objects[kind][name] = {++m_revision, kept};
    m_history.push_back({m_revision, kind, name, kept, false});
    m_changed.notify_all();
    return object_text(name, m_revision, kept);
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
    auto const name = parts.size() > 2 ? parts[2] : value_after(request.body, "\"name\":\"", "\"");
    auto const found = m_objects[kind].find(name);
    bool const exists = found != m_objects[kind].end();
    if (request.method == "POST" ? exists : !exists)
    {
        status = exists ? 409 : 404;
        return exists ? object_text(name, found->second.revision, found->second.spec) : "{}";
    }
    auto const expected = request.method == "DELETE"
                              ? query["revision"]
                              : value_after(request.body, "\"revision\":", "}");
    if (exists && expected != std::to_string(found->second.revision))
    {
        status = 409;
        return object_text(name, found->second.revision, found->second.spec);
    }
    if (request.method == "DELETE")
    {
        m_objects[kind].erase(found);
        m_history.push_back({++m_revision, kind, name, "", true});
        m_changed.notify_all();
        return "{}";
    }
    auto const spec_at = request.body.find("\"spec\":") + 7;
    return write(kind, name, request.body.substr(spec_at, request.body.size() - spec_at - 1));
}

} // namespace jasminepier::tests
