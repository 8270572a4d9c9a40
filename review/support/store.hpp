/// The platform's metadata store: objects by kind and name with one revision counter, lists and
/// watches. Loses nothing that it has acknowledged.
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace review
{

class object_store
{
public:
    explicit object_store(std::string const& host)
        : m_listener(host, 0, [this](connection& caller) { serve(caller); })
    {
    }
    std::uint16_t port() const noexcept { return m_listener.port(); }

    /// Acknowledges a write of the operator or of a server. Returns the time of the
    /// acknowledgement.
    std::int64_t put(std::string const& kind, std::string const& name, std::string const& spec)
    {
        std::lock_guard lock(m_mutex);
        write(kind, name, spec, false);
        return now_ms();
    }
    std::int64_t remove(std::string const& kind, std::string const& name)
    {
        std::lock_guard lock(m_mutex);
        write(kind, name, "null", true);
        return now_ms();
    }
    /// Cuts off each watch that has waited for so long; 0 cuts off none.
    void cut_watches_after(int milliseconds) { m_watch_limit_ms = milliseconds; }
    /// While down, the store closes every connection without a response.
    void set_down(bool down)
    {
        std::lock_guard lock(m_mutex);
        m_down = down;
        m_changed.notify_all();
    }
    int watches_cut() const { return m_watches_cut; }

private:
    struct object
    {
        std::string spec;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        bool deleted = false;
    };

    object& write(std::string const& kind, std::string const& name, std::string const& spec,
                  bool deleted)
    {
        auto& stored = m_objects[{kind, name}];
        bool const is_new = stored.revision == 0 || stored.deleted;
        if (!is_new && !deleted && stored.spec == spec)
            return stored;
        ++m_revision;
        stored = {spec, m_revision, is_new ? m_revision : stored.created, deleted};
        m_changed.notify_all();
        return stored;
    }
    static std::string to_json(std::string const& name, object const& stored)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" +
               std::to_string(stored.revision) + R"(,"created":)" + std::to_string(stored.created) +
               R"(,"finalizers":[],"deletion_pending":false},"spec":)" + stored.spec +
               R"(,"status":null})";
    }
    static void respond(connection& caller, int status, std::string const& body)
    {
        caller.send("HTTP/1.1 " + std::to_string(status) +
                    " Status\r\nContent-Type: application/json\r\nConnection: close\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    static std::int64_t query_value(std::string const& target, std::string const& name,
                                    std::int64_t default_value)
    {
        for (auto const* const separator : {"?", "&"})
            if (auto const found = target.find(separator + name + "="); found != std::string::npos)
                return std::atoll(target.c_str() + found + name.size() + 2);
        return default_value;
    }

    void serve(connection& caller)
    {
        message request;
        if (!caller.read_message(request, 5000))
            return;
        auto const target = request.second_word();
        auto const method = request.start_line.substr(0, request.start_line.find(' '));
        auto path = target.substr(0, target.find('?'));
        std::string const prefix = "/objects/";
        std::unique_lock lock(m_mutex);
        if (m_down || !path.starts_with(prefix))
            return;
        path.erase(0, prefix.size());
        auto const slash = path.find('/');
        auto const kind = path.substr(0, slash);
        auto const name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
        if (method == "GET" && name.empty() && target.find("watch=") != std::string::npos)
            return serve_watch(caller, lock, kind, target);
        if (method == "GET" && name.empty())
            return respond(caller, 200, list(kind));
        if (method == "GET")
        {
            auto const found = m_objects.find({kind, name});
            bool const exists = found != m_objects.end() && !found->second.deleted;
            return respond(caller, exists ? 200 : 404,
                           exists ? to_json(name, found->second) : "{}");
        }
        serve_write(caller, method, kind, name, target, request.body);
    }
    std::string list(std::string const& kind) const
    {
        std::string items;
        for (auto const& [key, stored] : m_objects)
            if (key.first == kind && !stored.deleted)
                items += (items.empty() ? "" : ",") + to_json(key.second, stored);
        return R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
               std::to_string(m_revision) + "}";
    }
    void serve_watch(connection& caller, std::unique_lock<std::mutex>& lock,
                     std::string const& kind, std::string const& target)
    {
        auto const since = query_value(target, "watch", 0);
        auto const begin = now_ms();
        auto const end = begin + query_value(target, "wait_ms", 0);
        while (true)
        {
            std::string events;
            for (auto const& [key, stored] : m_objects)
                if (key.first == kind && stored.revision > since)
                    events += (events.empty() ? "" : ",") + std::string(R"({"deleted":)") +
                              (stored.deleted ? "true" : "false") + R"(,"object":)" +
                              to_json(key.second, stored) + "}";
            auto const now = now_ms();
            if (m_down)
                return;
            if (!events.empty() || now >= end)
                return respond(caller, 200,
                               R"({"events":[)" + events + R"(],"at":)" +
                                   std::to_string(m_revision) + "}");
            auto const limit = m_watch_limit_ms.load();
            if (limit > 0 && now >= begin + limit)
            {
                ++m_watches_cut;
                return;
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
            if (caller.is_closed_by_peer())
                return;
        }
    }
    /// The body is {"metadata":{..},"spec":..}, as the node writes it.
    void serve_write(connection& caller, std::string const& method, std::string const& kind,
                     std::string const& path_name, std::string const& target,
                     std::string const& body)
    {
        auto name = path_name;
        std::string const name_member = R"("name":")";
        if (auto const found = body.find(name_member); name.empty() && found != std::string::npos)
        {
            auto const begin = found + name_member.size();
            name = body.substr(begin, body.find('"', begin) - begin);
        }
        std::string const spec_member = R"("spec":)";
        auto const spec_begin = body.find(spec_member);
        auto const spec = spec_begin == std::string::npos
                              ? std::string("null")
                              : body.substr(spec_begin + spec_member.size(),
                                            body.rfind('}') - spec_begin - spec_member.size());
        std::string const revision_member = R"("revision":)";
        auto const revision_begin = body.find(revision_member);
        auto const condition =
            revision_begin != std::string::npos && revision_begin < spec_begin
                ? std::atoll(body.c_str() + revision_begin + revision_member.size())
                : query_value(target, "revision", 0);
        auto const found = m_objects.find({kind, name});
        bool const exists = found != m_objects.end() && !found->second.deleted;
        if (method != "POST" && !exists)
            return respond(caller, 404, "{}");
        bool const conflicts =
            method == "POST" ? exists : condition != 0 && condition != found->second.revision;
        if (conflicts)
            return respond(caller, 409, to_json(name, found->second));
        auto const& written = write(kind, name, spec, method == "DELETE");
        respond(caller, method == "POST" ? 201 : 200, to_json(name, written));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, object> m_objects;
    std::int64_t m_revision = 100;
    bool m_down = false;
    std::atomic<int> m_watch_limit_ms{0};
    std::atomic<int> m_watches_cut{0};
    listener m_listener;
};

} // namespace review
