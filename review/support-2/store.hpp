/// A stand-in for the platform's store: lists, watches and writes of objects.
#pragma once

#include "review/support-2/http.hpp"

#include <condition_variable>
#include <map>

namespace jasminepier::review
{

class object_store
{
public:
    explicit object_store(endpoint where)
        : m_server(std::move(where),
                   [this](connection& caller, message& request) { return serve(caller, request); })
    {
    }

    bool start() { return m_server.start(); }
    endpoint const& where() const noexcept { return m_server.where(); }

    void put(std::string const& kind, std::string const& name, std::string const& spec)
    {
        std::lock_guard const lock(m_mutex);
        change(kind, name, spec, false);
    }
    void remove(std::string const& kind, std::string const& name)
    {
        std::lock_guard const lock(m_mutex);
        if (m_objects.contains({kind, name}))
            change(kind, name, "null", true);
    }

private:
    using key = std::pair<std::string, std::string>;
    struct stored
    {
        long revision = 0;
        std::string text;
    };
    struct event
    {
        long revision = 0;
        std::string kind;
        std::string text;
        bool deleted = false;
    };

    void change(std::string const& kind, std::string const& name, std::string const& spec,
                bool deleted)
    {
        ++m_revision;
        auto const text = R"({"metadata":{"name":")" + name + R"(","revision":)" +
                          std::to_string(m_revision) + R"(,"created":1,"finalizers":[],)" +
                          R"("deletion_pending":false},"spec":)" + spec + R"(,"status":null})";
        if (deleted)
            m_objects.erase({kind, name});
        else
            m_objects[{kind, name}] = {m_revision, text};
        m_events.push_back({m_revision, kind, text, deleted});
        m_changed.notify_all();
    }
    static std::string parameter(std::string const& query, std::string const& name)
    {
        auto const begin = query.find(name + "=");
        if (begin == std::string::npos)
            return {};
        auto const value = query.substr(begin + name.size() + 1);
        return value.substr(0, value.find('&'));
    }
    bool serve(connection& caller, message& request)
    {
        auto const target = request.target();
        auto const question = target.find('?');
        auto const query = question == std::string::npos ? "" : target.substr(question + 1);
        auto path = target.substr(0, question);
        constexpr std::string_view prefix = "/objects/";
        if (!path.starts_with(prefix))
            return send_response(caller, 404, "", "{}");
        path.erase(0, prefix.size());
        auto const slash = path.find('/');
        auto const kind = path.substr(0, slash);
        auto const name = slash == std::string::npos ? "" : path.substr(slash + 1);
        int status = 200;
        std::string body;
        if (request.method() == "GET" && !parameter(query, "watch").empty())
            body = watch(kind, std::atol(parameter(query, "watch").c_str()),
                         milliseconds(std::atol(parameter(query, "wait_ms").c_str())));
        else if (request.method() == "GET" && name.empty())
            body = list(kind);
        else
            status = read_or_write(request, kind, name, body);
        send_response(caller, status, "Content-Type: application/json\r\n", body);
        return request.find("Connection") != "close";
    }
    std::string list(std::string const& kind)
    {
        std::lock_guard const lock(m_mutex);
        std::string items;
        for (auto const& [id, object] : m_objects)
            if (id.first == kind)
                items += (items.empty() ? "" : ",") + object.text;
        return R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
               std::to_string(m_revision) + "}";
    }
    std::string watch(std::string const& kind, long since, milliseconds wait)
    {
        std::unique_lock lock(m_mutex);
        std::string events;
        auto const find_events = [&]
        {
            for (auto const& each : m_events)
                if (each.revision > since && each.kind == kind)
                    events += (events.empty() ? "" : ",") +
                              (R"({"object":)" + each.text + R"(,"deleted":)") +
                              (each.deleted ? "true}" : "false}");
            return !events.empty();
        };
        m_changed.wait_for(lock, wait, find_events);
        return R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}";
    }
    int read_or_write(message const& request, std::string const& kind, std::string const& name,
                      std::string& body)
    {
        std::lock_guard const lock(m_mutex);
        auto const method = request.method();
        auto written_name = name;
        if (method == "POST")
        {
            constexpr std::string_view member = "\"name\":\"";
            auto const begin = request.body.find(member);
            auto const rest = request.body.substr(begin + member.size());
            written_name = rest.substr(0, rest.find('"'));
        }
        key const id{kind, written_name};
        bool const exists = m_objects.contains(id);
        if (method == "DELETE")
        {
            if (exists)
                change(kind, written_name, "null", true);
            body = "{}";
            return exists ? 200 : 404;
        }
        if (method == "POST" && exists)
        {
            body = m_objects[id].text;
            return 409;
        }
        if (method != "POST" && !exists)
        {
            body = "{}";
            return 404;
        }
        constexpr std::string_view member = "\"spec\":";
        auto const begin = request.body.find(member);
        if (method != "GET" && begin != std::string::npos)
        {
            auto const spec = request.body.substr(begin + member.size());
            change(kind, written_name, spec.substr(0, spec.rfind('}')), false);
        }
        body = m_objects[id].text;
        return method == "POST" ? 201 : 200;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    long m_revision = 100;
    std::map<key, stored> m_objects;
    std::vector<event> m_events;
    http_server m_server;
};

/// Forwards connections to another address. While it is cut, it forwards no byte either way.
class relay
{
public:
    relay(endpoint where, endpoint target) : m_where(std::move(where)), m_target(std::move(target))
    {
    }

    endpoint const& where() const noexcept { return m_where; }
    bool start()
    {
        int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const address = socket_address(m_where);
        auto const* const generic = reinterpret_cast<sockaddr const*>(&address);
        if (::bind(listener, generic, sizeof address) != 0 || ::listen(listener, 256) != 0)
            return false;
        std::thread(
            [this, listener]
            {
                while (true)
                    if (int const caller = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                        caller >= 0)
                        std::thread([this, caller] { forward(caller); }).detach();
            })
            .detach();
        return true;
    }
    void set_cut(bool cut)
    {
        std::lock_guard const lock(m_mutex);
        m_cut = cut;
        m_changed.notify_all();
    }

private:
    void wait_until_open()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return !m_cut; });
    }
    void pump(int from, int to)
    {
        char bytes[16384];
        while (true)
        {
            auto const received = ::recv(from, bytes, sizeof bytes, 0);
            wait_until_open();
            if (received <= 0 ||
                ::send(to, bytes, static_cast<std::size_t>(received), MSG_NOSIGNAL) <= 0)
                break;
        }
        ::shutdown(to, SHUT_RDWR);
        ::shutdown(from, SHUT_RDWR);
    }
    void forward(int caller)
    {
        connection const near(caller);
        wait_until_open();
        auto const far = connect_to(m_target, milliseconds(1000));
        if (!far)
            return;
        std::thread back([&] { pump(far->descriptor(), caller); });
        pump(caller, far->descriptor());
        back.join();
    }

    endpoint m_where;
    endpoint m_target;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_cut = false;
};

} // namespace jasminepier::review
