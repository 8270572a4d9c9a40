/// Small stand-ins for the platform's store and servers, in the process of a test.
#pragma once

#include "http/message.hpp"
#include "http/response_reader.hpp"
#include "tests/support/process.hpp"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminepier::tests
{

/// Serves each connection of a port by a function.
class connection_server
{
public:
    using handler = std::function<void(Poco::Net::StreamSocket&)>;

    connection_server(std::uint16_t port, handler serve);
    ~connection_server();
    std::uint16_t port() const noexcept { return m_port; }

private:
    void serve(Poco::Net::StreamSocket& socket);

    std::uint16_t m_port;
    handler m_serve;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    /// Descriptors of open connections, so that the end of the server ends them.
    std::set<int> m_open;
    bool m_stopping = false;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

/// Reads one request; returns nothing when the peer has closed the connection.
std::optional<http::request> read_request(Poco::Net::StreamSocket& socket);

enum class store_mode
{
    serving,
    /// Answers 503.
    refusing,
    /// Accepts calls and never answers them, nor those that wait already.
    silent,
};

/// Objects with revisions and waiting watches, as the platform's store has them.
class fake_store
{
public:
    explicit fake_store(std::uint16_t port);
    ~fake_store();

    void put(std::string const& kind, std::string const& name, std::string const& spec);
    void remove(std::string const& kind, std::string const& name);
    void set_mode(store_mode mode);
    /// Drops the history, so that watches have to list again.
    void forget_history();
    int calls() const noexcept { return m_calls; }

private:
    struct stored
    {
        std::int64_t revision = 0;
        std::string spec;
    };
    struct change
    {
        std::int64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted = false;
    };

    void serve(Poco::Net::StreamSocket& socket);
    std::string answer(http::request const& request, int& status);
    std::string list(std::string const& kind);
    std::string watch(std::string const& kind, std::int64_t since, std::chrono::milliseconds wait,
                      int& status);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, stored>> m_objects;
    std::vector<change> m_history;
    std::int64_t m_oldest = 0;
    std::int64_t m_revision = 100;
    std::atomic<store_mode> m_mode{store_mode::serving};
    std::atomic<int> m_calls{0};
    bool m_stopping = false;
    connection_server m_server;
};

/// A server of the platform. What it does follows from the last part of a request's path: `ok`,
/// `error`, `cut` (the connection ends without an answer), `shed`, `foreign` (another request's
/// answer), `hang`, `crash` (like cut), `stream-N` (N events), `broken-N` (ends behind N events
/// without the end of the stream).
class fake_server
{
public:
    struct received
    {
        std::string path;
        http::header_list headers;
        std::string body;
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

private:
    void serve(Poco::Net::StreamSocket& socket);
    bool answer(Poco::Net::StreamSocket& socket, http::request const& request);
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
    std::atomic<int> m_abandoned{0};
    std::atomic<int> m_copies{0};
    std::atomic<std::chrono::milliseconds> m_event_pause{std::chrono::milliseconds(20)};
    connection_server m_server;
};

/// Ports of one node under test.
struct node_ports
{
    std::uint16_t callers;
    std::uint16_t addresses;
    std::uint16_t readiness;
    std::uint16_t peers;
};

/// A running jasminepier-node with its settings file.
class node_process
{
public:
    node_process(std::string name, node_ports ports, std::uint16_t store_port);
    ~node_process();
    process& program() { return *m_process; }
    node_ports const& ports() const noexcept { return m_ports; }
    bool ready() const;
    void rewrite_settings(std::string const& extra);

private:
    std::string m_name;
    node_ports m_ports;
    std::uint16_t m_store_port;
    std::string m_settings_path;
    std::unique_ptr<process> m_process;
};

/// What a caller received.
struct caller_answer
{
    int status = 0;
    http::header_list headers;
    std::string body;
    /// The answer ended as its framing says.
    bool whole = false;
};

/// Sends a request and reads the answer to its end.
caller_answer call_node(std::uint16_t port, http::request const& request);

/// A request with the fields that callers of the platform send.
http::request make_request(std::string const& method, std::string const& path,
                           std::string const& request_id);

} // namespace jasminepier::tests
