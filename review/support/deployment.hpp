/// A small deployment on loopback: node processes with the command of the deploy file, a backend
/// server stand-in and a client.
#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/// Results of a case, as exit statuses.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// A network of its own in 127/8, so that cases which run at the same time do not share ports.
inline std::string make_host(int number)
{
    auto const process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + process / 250 % 128) + "." +
           std::to_string(1 + process % 250) + "." + std::to_string(number);
}

/// One entry VM. The process is started as in deploy/system.toml.
class node_process
{
public:
    static constexpr std::uint16_t caller_port = 8740;
    static constexpr std::uint16_t registry_port = 8746;
    static constexpr std::uint16_t readiness_port = 8749;

    node_process(int number, std::string const& zone, object_store const& store,
                 std::string const& store_host)
        : m_name("edge-" + zone + "-" + std::to_string(number)), m_host(make_host(number)),
          m_folder(std::getenv("REVIEW_TEMPORARY") != nullptr ? std::getenv("REVIEW_TEMPORARY")
                                                              : "/tmp")
    {
        std::ofstream file(settings_path());
        file << "node_name = \"" << m_name << "\"\nrole = \"node\"\nmachine_class = \"edge\"\n"
             << "serves = [\"edge\",\"registry\"]\nip = \"" << m_host << "\"\nzone = \"" << zone
             << "\"\nregion = \"zrh\"\ninternal_port_range = [7200,7215]\n"
             << "seed_nodes = []\nbootstrap = true\nfault_counted = false\n"
             << "discovery = \"platform\"\nentry_type = \"registry\"\nheartbeat_ms = 1200\n"
             << "[zones]\nzrh-a = \"zrh\"\nzrh-b = \"zrh\"\nzrh-c = \"zrh\"\n"
             << "[listen]\nfrontend = \"" << m_host << ":" << caller_port << "\"\nreadiness = \""
             << m_host << ":" << readiness_port << "\"\nregistry = \"" << m_host << ":"
             << registry_port << "\"\n"
             << "[limits]\ncpu_quota = 0.25\ncpu_cores = 1\nmemory_mb = 110\nmax_fds = 4100\n"
             << "link_mbps = 1000.0\ndisk_mb = 0\n"
             << "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
             << "[bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\ncontact_ms = 3000\n"
             << "ack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n"
             << "loss_slack_ms = 200\nconfig_apply_ms = 2000\ndowngrade_ms = 250\n"
             << "max_skew_ms = 5000\nrevoke_strict = false\nrevoke_ms = 5000\n"
             << "retry_budget_ratio = 0.2\nretry_window_s = 10\nbudget_slack = 56\n"
             << "warmup_overage = 1.5\nwarmup_tolerance = 5\nevacuate_ms = 5000\n"
             << "recovery_s = 12\niteration_ms = 120\nreuse_window_s = 4.7\nttl_max_s = 5\n"
             << "[platform]\naddress = \"" << store_host << ":" << store.port()
             << "\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
             << "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
    }
    ~node_process()
    {
        if (m_process > 0)
        {
            ::kill(m_process, SIGKILL);
            wait_for_exit(2000);
        }
    }
    node_process(node_process const&) = delete;
    node_process& operator=(node_process const&) = delete;

    void start()
    {
        auto const settings = "JASMINEPIER_CONFIG=" + settings_path();
        auto const log = m_folder + "/" + m_name + ".log";
        m_process = ::fork();
        if (m_process != 0)
            return;
        // Ends with the case, also when that is interrupted.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        char program[] = "target/jasminepier-node";
        char option[] = "--metrics-port";
        char port[] = "9464";
        char* const arguments[] = {program, option, port, nullptr};
        char path[] = "PATH=/usr/local/bin:/usr/bin:/bin";
        char* const environment[] = {path, const_cast<char*>(settings.c_str()), nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    void signal(int number) const { ::kill(m_process, number); }
    /// Returns true if the process has ended.
    bool wait_for_exit(std::int64_t timeout_ms)
    {
        auto const end = now_ms() + timeout_ms;
        while (m_process > 0)
        {
            if (::waitpid(m_process, &m_status, WNOHANG) == m_process)
                m_process = 0;
            else if (now_ms() >= end)
                return false;
            else
                sleep_ms(5);
        }
        return true;
    }
    bool has_exited() { return wait_for_exit(0); }
    bool is_ready() const
    {
        int const descriptor = connect_to(m_host, readiness_port);
        if (descriptor < 0)
            return false;
        connection probe(descriptor);
        message response;
        return probe.send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
               probe.read_message(response, 1000) && response.second_word() == "200";
    }
    bool wait_until_ready(std::int64_t timeout_ms) const
    {
        auto const end = now_ms() + timeout_ms;
        while (!is_ready())
        {
            if (now_ms() >= end)
                return false;
            sleep_ms(20);
        }
        return true;
    }
    pid_t process_id() const noexcept { return m_process; }
    std::string const& host() const noexcept { return m_host; }
    std::string const& name() const noexcept { return m_name; }

private:
    std::string settings_path() const { return m_folder + "/" + m_name + ".toml"; }

    std::string m_name;
    std::string m_host;
    std::string m_folder;
    pid_t m_process = 0;
    int m_status = 0;
};

/// A request as it arrived at a backend server.
struct arrival
{
    std::int64_t time = 0;
    std::string server;
    std::string id;
};

/// All requests that servers began to run.
class arrival_log
{
public:
    void add(arrival const& added)
    {
        std::lock_guard lock(m_mutex);
        m_arrivals.push_back(added);
    }
    std::vector<arrival> all() const
    {
        std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<arrival> m_arrivals;
};

inline constexpr char const* health_path = "/healthz";

/// A backend server under one id. `run` answers a request that names this server; another one gets
/// 421. Ending the server closes its connections.
class backend_server
{
public:
    using run_function = std::function<bool(connection&, message const&)>;

    backend_server(std::string id, std::string const& host, std::uint16_t port, arrival_log& log,
                   run_function run)
        : m_state(std::make_shared<state>())
    {
        m_state->id = std::move(id);
        m_state->log = &log;
        m_state->run = std::move(run);
        m_listener = new listener(
            host, port, [shared = m_state](connection& caller) { serve(*shared, caller); });
        m_address = host + ":" + std::to_string(m_listener->port());
    }
    std::string const& address() const noexcept { return m_address; }
    std::uint16_t port() const noexcept { return m_listener->port(); }
    bool is_listening() const noexcept { return m_listener->is_listening(); }
    /// Health responses say from now on how long the server stays cold.
    void set_cold_until(std::int64_t time) { m_state->cold_until = time; }
    /// Ends the server, like the exit of its process. Returns the number of requests that it was
    /// running.
    int stop()
    {
        m_listener->stop();
        std::lock_guard lock(m_state->mutex);
        m_state->stopped = true;
        for (auto const* open : m_state->connections)
            open->shut_down();
        return m_state->running;
    }

private:
    struct state
    {
        std::string id;
        arrival_log* log = nullptr;
        run_function run;
        std::mutex mutex;
        std::vector<connection const*> connections;
        bool stopped = false;
        std::atomic<int> running{0};
        std::atomic<std::int64_t> cold_until{0};
    };

    static void serve(state& server, connection& caller)
    {
        {
            std::lock_guard lock(server.mutex);
            if (server.stopped)
                return;
            server.connections.push_back(&caller);
        }
        message request;
        while (caller.read_message(request, 10000) && serve_request(server, caller, request))
            continue;
        std::lock_guard lock(server.mutex);
        std::erase(server.connections, &caller);
    }
    static bool serve_request(state& server, connection& caller, message const& request)
    {
        auto const id = request.header("Attempt-Id");
        if (request.second_word() == health_path)
            return caller.send(
                "HTTP/1.1 200 OK\r\nInstance-Id: " + server.id + "\r\nWarmup-Ms: " +
                std::to_string(std::max<std::int64_t>(server.cold_until - now_ms(), 0)) +
                "\r\nContent-Length: 0\r\n\r\n");
        if (request.header("Expect-Instance") != server.id)
            return caller.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id +
                               "\r\nInstance-Id: " + server.id + "\r\nContent-Length: 0\r\n\r\n");
        server.log->add({now_ms(), server.id, id});
        ++server.running;
        bool const keeps_connection = server.run(caller, request);
        --server.running;
        return keeps_connection;
    }

    std::shared_ptr<state> m_state;
    // Outlives this object, since its threads use it.
    listener* m_listener = nullptr;
    std::string m_address;
};

inline std::string make_response(message const& request, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id") +
           "\r\nServer-Signature: signed\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// The entry that a server writes about itself.
inline std::string make_server_entry(std::string const& service, std::string const& address,
                                     std::string const& zone, int slots,
                                     std::int64_t warmup_left_ms, std::int64_t born, int sequence)
{
    return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":")" + zone +
           R"(","version":"v1","slots":)" + std::to_string(slots) +
           R"(,"state":"ready","warmup_left_ms":)" + std::to_string(warmup_left_ms) +
           R"(,"sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) +
           "}";
}

/// What a client saw of one request.
struct client_result
{
    std::string id;
    std::int64_t sent = 0;
    std::int64_t ended = 0;
    /// 0 without a response.
    int status = 0;
    bool complete = false;
    std::string body;
};

/// Sends a request on a new connection and waits for its whole answer.
inline client_result send_request(std::string const& host, std::string const& id,
                                  std::string const& method, std::string const& path,
                                  std::string const& extra_headers, std::int64_t deadline_ms)
{
    client_result result;
    result.id = id;
    result.sent = now_ms();
    int const descriptor = connect_to(host, node_process::caller_port);
    if (descriptor >= 0)
    {
        connection caller(descriptor);
        message response;
        std::string const body = method == "POST" ? "request=" + id : "";
        caller.send(
            method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
            "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + extra_headers +
            (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
            "\r\n" + body);
        result.complete = caller.read_message(response, static_cast<int>(deadline_ms));
        result.status = std::atoi(response.second_word().c_str());
        result.body = response.body;
    }
    result.ended = now_ms();
    return result;
}

inline std::string describe(client_result const& result)
{
    return "request " + result.id + " sent at " + std::to_string(result.sent) + ", status " +
           std::to_string(result.status) + (result.complete ? ", complete" : ", not complete") +
           " at " + std::to_string(result.ended);
}

} // namespace review
