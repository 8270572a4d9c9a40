/// A stand-in for a server of a plain service.
#pragma once

#include "review/support-2/case.hpp"

namespace jasminepier::review
{

/// Runs each request for a fixed time and answers with its id. It can end and start again under its
/// id, as the platform's servers do.
class plain_server
{
public:
    /// Called as a request begins to run. Returns false if it has answered, or has ended the
    /// server, itself.
    using hook = std::function<bool(connection&, message const&)>;

    plain_server(server_entry entry, milliseconds work, hook on_run = {})
        : m_entry(std::move(entry)), m_work(work), m_on_run(std::move(on_run)),
          m_server(m_entry.where,
                   [this](connection& caller, message& request) { return serve(caller, request); })
    {
    }

    std::string id() const { return entry().id; }
    /// The next start is one of a server with this id.
    void rename(std::string id)
    {
        std::lock_guard const lock(m_mutex);
        m_entry.id = std::move(id);
    }
    /// The entry that the server writes to the store.
    server_entry entry() const
    {
        std::lock_guard const lock(m_mutex);
        return m_entry;
    }
    bool start(int warm_up_milliseconds = 0)
    {
        {
            std::lock_guard const lock(m_mutex);
            m_entry.born = unix_milliseconds();
            m_entry.warm_up_milliseconds = warm_up_milliseconds;
        }
        return m_server.start();
    }
    void end() { m_server.crash(); }
    bool running() const noexcept { return m_server.running(); }
    int runs() const noexcept { return m_runs; }

private:
    bool serve(connection& caller, message const& request)
    {
        auto const own_id = this->id();
        auto const id = request.find("Attempt-Id");
        auto const echo = "Attempt-Id: " + id + "\r\n";
        auto const expected = request.find("Expect-Instance");
        if (!expected.empty() && expected != own_id)
            return send_response(caller, 421, echo + "Not-Executed: 1\r\n", "");
        ++m_runs;
        if (m_on_run && !m_on_run(caller, request))
            return false;
        std::this_thread::sleep_for(m_work);
        return send_response(caller, 200, echo + "Server-Signature: s." + own_id + "\r\n",
                             "answer to " + id);
    }

    mutable std::mutex m_mutex;
    server_entry m_entry;
    milliseconds m_work;
    hook m_on_run;
    std::atomic<int> m_runs{0};
    http_server m_server;
};

} // namespace jasminepier::review
