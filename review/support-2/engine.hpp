/// A stand-in for an engine: a server that answers with a stream and can hand its generations to
/// another engine.
#pragma once

#include "review/support-2/case.hpp"

#include <map>

namespace jasminepier::review
{

/// Figures that the engines of a deployment share.
struct engine_figures
{
    double prompt_tokens_per_millisecond = 14;
    double event_seconds = 0.1;
    int tokens_per_event = 4;
    int events = 100;
    double bytes_per_token = 262144;
    double link_megabits_per_second = 38000;
};

/// Copies between engines. A copy waits for the earlier ones on both links, and takes twice as long
/// between zones.
class engine_links
{
public:
    explicit engine_links(engine_figures figures) : m_figures(figures) {}

    engine_figures const& figures() const noexcept { return m_figures; }
    /// Returns when the copy has ended.
    void copy(std::string const& from, std::string const& to, bool crosses_zones, int tokens)
    {
        steady::time_point end;
        {
            std::lock_guard const lock(m_mutex);
            auto const seconds = tokens * m_figures.bytes_per_token * 8 /
                                 (m_figures.link_megabits_per_second * 1e6) *
                                 (crosses_zones ? 2 : 1);
            auto const begin = std::max({steady::now(), m_free_at[from], m_free_at[to]});
            end = begin + std::chrono::duration_cast<steady::duration>(
                              std::chrono::duration<double>(seconds));
            m_free_at[from] = end;
            m_free_at[to] = end;
        }
        std::this_thread::sleep_until(end);
    }

private:
    engine_figures m_figures;
    std::mutex m_mutex;
    std::map<std::string, steady::time_point> m_free_at;
};

class engine
{
public:
    /// Called for each request that reaches the engine, calls to copy a generation apart.
    using arrival_hook = std::function<void(engine&, message const&)>;

    engine(server_entry entry, engine_links& links, arrival_hook on_arrival)
        : m_entry(std::move(entry)), m_links(links), m_on_arrival(std::move(on_arrival)),
          m_server(m_entry.where,
                   [this](connection& caller, message& request) { return serve(caller, request); })
    {
    }

    server_entry const& entry() const noexcept { return m_entry; }
    /// Engines to which this one can copy, by address.
    void set_peers(std::map<std::string, engine*> peers) { m_peers = std::move(peers); }
    bool start()
    {
        m_entry.born = unix_milliseconds();
        return m_server.start();
    }
    void end() { m_server.crash(); }
    bool running() const noexcept { return m_server.running(); }
    std::size_t generations() const
    {
        std::lock_guard const lock(m_mutex);
        return m_generations.size();
    }

private:
    struct generation
    {
        int prompt_tokens = 0;
        int events = 0;
        int copied_tokens = 0;
        bool is_copied_now = false;
        bool stopped = false;
        std::string handle;
    };

    static std::string json_text(std::string const& body, std::string const& name)
    {
        auto const begin = body.find("\"" + name + "\":\"");
        if (begin == std::string::npos)
            return {};
        auto const rest = body.substr(begin + name.size() + 4);
        return rest.substr(0, rest.find('"'));
    }
    bool serve(connection& caller, message const& request)
    {
        auto const target = request.target();
        if (target == "/kv-move")
            return move(caller, request);
        if (target == "/report")
            return send_response(caller, 200, "", R"({"state":")" + m_entry.state + "\"}");
        if (target.starts_with("/kv-handle/"))
            return send_response(caller, 200, "", "{}");
        auto const id = request.find("Attempt-Id");
        auto const echo = "Attempt-Id: " + id + "\r\n";
        auto const expected = request.find("Expect-Instance");
        if (!expected.empty() && expected != m_entry.id)
            return send_response(caller, 421, echo + "Not-Executed: 1\r\n", "");
        m_on_arrival(*this, request);
        auto const copy = request.find("Kv-From");
        if (!copy.empty() && !take_copy(copy.substr(copy.find('/') + 1)))
            return send_response(caller, 503, echo + "Not-Executed: 1\r\n", "");
        generate(caller, request, echo);
        return false;
    }
    bool take_copy(std::string const& handle)
    {
        std::lock_guard const lock(m_mutex);
        return m_copies.erase(handle) > 0;
    }
    void generate(connection& caller, message const& request, std::string const& echo)
    {
        auto const id = request.find("Attempt-Id");
        auto const& figures = m_links.figures();
        bool const continues = !request.find("Kv-From").empty();
        int const prompt = std::atoi(request.find("Token-Usage").c_str());
        {
            std::lock_guard const lock(m_mutex);
            auto& added = m_generations[id] = {};
            added.prompt_tokens = prompt;
            added.events = continues ? std::atoi(request.find("Last-Event-Id").c_str()) : 0;
        }
        if (!continues)
            sleep_for(prompt / figures.prompt_tokens_per_millisecond / 1000);
        bool open = caller.send("HTTP/1.1 200 OK\r\n" + echo + "Server-Signature: s." + m_entry.id +
                                "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
        while (open)
        {
            int number = 0;
            {
                std::lock_guard const lock(m_mutex);
                auto& own = m_generations[id];
                // A stopped generation's stream is closed without its end.
                if (own.stopped)
                    break;
                number = ++own.events;
            }
            auto const text = "id: " + std::to_string(number) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            open = caller.send(size + text + "\r\n");
            if (number >= figures.events)
            {
                caller.send("0\r\n\r\n");
                break;
            }
            sleep_for(figures.event_seconds);
        }
        std::lock_guard const lock(m_mutex);
        m_generations.erase(id);
    }
    bool move(connection& caller, message const& request)
    {
        auto const id = json_text(request.body, "id");
        bool const last = request.body.find("\"last\":true") != std::string::npos;
        auto const peer = m_peers.find(json_text(request.body, "to"));
        int tokens = 0;
        int events = 0;
        std::string handle;
        {
            std::lock_guard const lock(m_mutex);
            auto const found = m_generations.find(id);
            if (found == m_generations.end())
                return send_response(caller, 404, "", "{}");
            auto& own = found->second;
            if (own.is_copied_now)
                return send_response(caller, 409, "", "{}");
            if (peer == m_peers.end() || !peer->second->running())
                return send_response(caller, 503, "", "{}");
            own.is_copied_now = true;
            own.stopped = own.stopped || last;
            events = own.events;
            auto const now = own.prompt_tokens + events * m_links.figures().tokens_per_event;
            tokens = now - own.copied_tokens;
            own.copied_tokens = now;
            if (own.handle.empty())
                own.handle = "h" + m_entry.id + id;
            handle = own.handle;
        }
        m_links.copy(m_entry.id, peer->second->entry().id,
                     m_entry.zone != peer->second->entry().zone, tokens);
        {
            std::lock_guard const lock(m_mutex);
            if (auto const found = m_generations.find(id); found != m_generations.end())
                found->second.is_copied_now = false;
        }
        peer->second->add_copy(handle);
        return send_response(caller, 200, "Content-Type: application/json\r\n",
                             R"({"kv_handle":")" + handle + R"(","created":)" +
                                 std::to_string(events) + "}");
    }
    void add_copy(std::string const& handle)
    {
        std::lock_guard const lock(m_mutex);
        m_copies.insert(handle);
    }

    server_entry m_entry;
    engine_links& m_links;
    arrival_hook m_on_arrival;
    std::map<std::string, engine*> m_peers;
    mutable std::mutex m_mutex;
    std::map<std::string, generation> m_generations;
    std::set<std::string> m_copies;
    http_server m_server;
};

/// The ids of a stream's events, in the order in which they came.
inline std::vector<int> read_event_ids(std::string_view body)
{
    std::vector<int> ids;
    for (auto begin = body.find("id: "); begin != std::string_view::npos;
         begin = body.find("id: ", begin + 1))
        ids.push_back(std::atoi(std::string(body.substr(begin + 4, 12)).c_str()));
    return ids;
}

} // namespace jasminepier::review
