/// Stand-in for a server of the platform, in the process of a test.
#pragma once

#include "tests/support/connection_server.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <vector>

namespace jasminepier::tests
{

/// A server of the platform. What it does follows from the last part of a request's path: `ok`,
/// `error`, `cut` (the connection ends without an answer), `shed`, `foreign` (another request's
/// answer), `hang`, `work-N` (an answer after N ms), `stream-N` (N events), `broken-N` (ends behind
/// N events without the end of the stream).
class fake_server
{
public:
    struct received
    {
        std::string path;
        http::header_list headers;
        std::string body;
        std::chrono::steady_clock::time_point arrived;
        /// When the run ended in any way; empty while it goes on.
        std::optional<std::chrono::steady_clock::time_point> ended;
        /// The request was not rejected.
        bool executed = false;
        bool succeeded = false;
    };

    fake_server(std::uint16_t port, std::string id);

    std::string const& id() const noexcept { return m_id; }
    std::string address() const;
    std::vector<received> requests() const;
    /// Requests of that id that began to run here.
    int runs(std::string const& request_id) const;
    /// Connections that ended while their request still ran.
    int abandoned() const noexcept { return m_abandoned; }
    int copies() const noexcept { return m_copies; }
    void set_event_pause(std::chrono::milliseconds pause) { m_event_pause = pause; }
    /// From now on /report says that the server is leaving.
    void start_leaving() { m_leaving = true; }

private:
    void serve(Poco::Net::StreamSocket& socket);
    bool answer(Poco::Net::StreamSocket& socket, http::request const& request);
    /// Runs an accepted request; returns true when the connection can be used again.
    bool execute(Poco::Net::StreamSocket& socket, http::request const& request,
                 std::string const& action);
    /// Waits; returns false when the peer has left meanwhile.
    bool work(Poco::Net::StreamSocket& socket, std::chrono::milliseconds time);
    void stream(Poco::Net::StreamSocket& socket, http::request const& request, int events,
                bool whole);
    void copy_run(Poco::Net::StreamSocket& socket, http::request const& request);
    bool send(Poco::Net::StreamSocket& socket, int status, http::header_list fields,
              std::string const& body);

    std::string m_id;
    mutable std::mutex m_mutex;
    std::vector<received> m_received;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_stopped;
    std::atomic<bool> m_leaving{false};
    std::atomic<int> m_abandoned{0};
    std::atomic<int> m_copies{0};
    std::atomic<std::chrono::milliseconds> m_event_pause{std::chrono::milliseconds(20)};
    connection_server m_server;
};

} // namespace jasminepier::tests
