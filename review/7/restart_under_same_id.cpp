/// The servers of a service are restarted in turn and keep their ids, while one node is cut off
/// from the store. Afterwards, in steady state, the service's route must still be served.
#include "review/support-2/plain_server.hpp"

#include <map>

namespace
{

using namespace jasminepier::review;

constexpr int node_count = 3;
constexpr double cut_seconds = 5.5;
// The first entry is removed this long after the cut has begun.
constexpr double first_removal_seconds = 0.1;
// `drain_ms` and a little longer: servers that do not report `draining` serve on for this time.
constexpr double linger_seconds = 2.05;
constexpr double restart_seconds = 0.1;
// `contact_ms`, `config_apply_ms` and a reserve after the last change.
constexpr double settle_seconds = 8;
constexpr double steady_seconds = 20;
constexpr double request_interval_seconds = 0.05;

std::string route(std::string const& name, std::string const& service)
{
    return R"({"name":"r-)" + name + R"(","host":"shop.example","path_prefix":"/)" + name +
           R"(/","route_type":"idempotent","timeout_ms":2500,"target_latency_ms":150,)" +
           R"("priority":2,"service":")" + service + R"(","max_attempts":2,"public":false})";
}

std::string service(std::string const& name)
{
    return R"({"name":")" + name + R"(","health_check_path":"/healthz","max_connections":110,)" +
           R"("warmup_s":0.0,"warmup_per_s":0.0})";
}

std::string configuration(int version, std::string const& routes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[)" + service("orders") + "," + service("stock") +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)" +
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)" +
           R"("tenants":[{"name":"shop","api_keys":["key-1"]}]})";
}

/// Requests of one route in one phase of the case.
struct tally
{
    int sent = 0;
    int served = 0;
    std::map<int, int> statuses;
};

class scenario
{
public:
    int play(std::string const& record_path);

private:
    bool set_up();
    void send_requests();
    void count(std::string const& path, endpoint const& node);
    void restart(plain_server& server);
    void write_phase(std::string const& title);
    int judge();

    std::string m_network = pick_network();
    temporary_directory m_directory;
    std::unique_ptr<record> m_record;
    std::unique_ptr<object_store> m_store;
    std::unique_ptr<relay> m_relay;
    std::vector<std::unique_ptr<plain_server>> m_servers;
    std::vector<std::unique_ptr<node_process>> m_nodes;
    std::atomic<bool> m_sending{false};
    std::mutex m_mutex;
    std::map<std::string, tally> m_tallies;
};

bool scenario::set_up()
{
    if (m_network.empty() || m_directory.path().empty())
        return false;
    m_store = std::make_unique<object_store>(endpoint{m_network + "2", 8742});
    m_relay = std::make_unique<relay>(endpoint{m_network + "4", 8742}, m_store->where());
    if (!m_store->start() || !m_relay->start())
        return false;
    for (int i = 0; i < 4; ++i)
    {
        auto const* const name = i < 2 ? "orders" : "stock";
        server_entry const entry{"i-" + std::to_string(i),
                                 name,
                                 {m_network + "3", static_cast<std::uint16_t>(9200 + i)},
                                 "z-a",
                                 6};
        m_servers.push_back(std::make_unique<plain_server>(entry, milliseconds(20)));
        if (!m_servers.back()->start())
            return false;
        m_store->put("servers", entry.id, write_spec(m_servers.back()->entry()));
    }
    m_store->put("config", "main", configuration(3, route("order", "orders")));
    for (int i = 0; i < node_count; ++i)
    {
        // The last node reaches the store through the relay.
        auto const& store = i + 1 < node_count ? m_store->where() : m_relay->where();
        m_nodes.push_back(std::make_unique<node_process>(
            node_options{"edge-" + std::to_string(i), m_network + std::to_string(10 + i),
                         "z-" + std::string(1, static_cast<char>('a' + i)), store},
            m_directory.path()));
        m_nodes.back()->start();
    }
    for (auto const& node : m_nodes)
        if (!node->wait_until_ready())
            return false;
    return true;
}

void scenario::count(std::string const& path, endpoint const& node)
{
    auto const answer = call(node, {.method = "GET", .path = path, .id = next_request_id()});
    std::lock_guard const lock(m_mutex);
    auto& counted = m_tallies[path];
    ++counted.sent;
    ++counted.statuses[answer.status];
    counted.served += answer.status == 200 && answer.is_complete ? 1 : 0;
}

void scenario::send_requests()
{
    std::mt19937 random(std::random_device{}());
    while (m_sending)
    {
        for (auto const* const path : {"/order/1", "/stock/1"})
        {
            auto const node = m_nodes[random() % m_nodes.size()]->frontend();
            std::thread([this, path, node] { count(path, node); }).detach();
        }
        sleep_for(request_interval_seconds);
    }
}

void scenario::write_phase(std::string const& title)
{
    std::lock_guard const lock(m_mutex);
    for (auto const& [path, counted] : m_tallies)
    {
        std::string statuses;
        for (auto const& [status, number] : counted.statuses)
            statuses += " " + std::to_string(status) + "x" + std::to_string(number);
        m_record->write(title, path, "sent", counted.sent, "served", counted.served, "answers",
                        statuses);
    }
}

void scenario::restart(plain_server& server)
{
    m_store->remove("servers", server.id());
    m_record->write("entry of", server.id(), "removed, it serves on");
    sleep_for(linger_seconds);
    server.end();
    m_record->write(server.id(), "ended");
    sleep_for(restart_seconds);
    server.start();
    m_store->put("servers", server.id(), write_spec(server.entry()));
    m_record->write(server.id(), "started again under its id, entry ready");
}

int scenario::judge()
{
    write_phase("steady state");
    for (auto const& server : m_servers)
        m_record->write("server", server->id(), "has run", server->runs(), "requests in all");
    std::lock_guard const lock(m_mutex);
    auto const share = [&](std::string const& path)
    {
        auto const& counted = m_tallies[path];
        return counted.sent == 0 ? 0.0 : static_cast<double>(counted.served) / counted.sent;
    };
    auto const first = share("/order/1");
    auto const later = share("/stock/1");
    if (m_tallies["/stock/1"].sent < 20 || first < 0.9)
    {
        m_record->write("cannot judge: the first route is not served");
        return cannot_run;
    }
    bool const is_broken = later < first / 4;
    m_record->write("share served on the first route", first, "on the later one", later,
                    is_broken ? "CONFIG is broken" : "CONFIG holds");
    return is_broken ? broken : held;
}

int scenario::play(std::string const& record_path)
{
    m_record = std::make_unique<record>(record_path);
    if (!set_up())
    {
        m_record->write("cannot run: the deployment did not start");
        return cannot_run;
    }
    m_record->write("nodes ready, version 3 has the first route");
    sleep_for(2);
    m_store->put("config", "main",
                 configuration(5, route("order", "orders") + "," + route("stock", "stock")));
    m_record->write("version 5 adds the second route");
    sleep_for(2);
    m_sending = true;
    std::thread sender([this] { send_requests(); });
    sleep_for(3);
    write_phase("before");
    if (with_trouble())
    {
        m_relay->set_cut(true);
        m_record->write("the last node is cut off from the store for", cut_seconds, "s");
    }
    auto const heal_at = steady::now() + std::chrono::duration<double>(cut_seconds);
    sleep_for(first_removal_seconds);
    restart(*m_servers[2]);
    restart(*m_servers[3]);
    std::this_thread::sleep_until(heal_at);
    m_relay->set_cut(false);
    m_record->write("the store can be reached by all nodes");
    sleep_for(settle_seconds);
    {
        std::lock_guard const lock(m_mutex);
        m_tallies.clear();
    }
    m_record->write("steady state begins");
    sleep_for(steady_seconds);
    auto const status = judge();
    m_sending = false;
    sender.join();
    m_nodes.clear();
    m_directory.remove();
    return status;
}

} // namespace

int main(int argc, char** argv)
{
    run_case<scenario>(argc, argv);
}
