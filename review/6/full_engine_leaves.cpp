/// All engines are full when one of them leaves. Its generations find no other engine, and go on
/// there until it exits. Meanwhile the node must go on to answer orders.
#include "review/support-2/engine.hpp"
#include "review/support-2/plain_server.hpp"

#include <algorithm>

namespace
{

using namespace jasminepier::review;

constexpr int engine_count = 7;
constexpr int slots = 24;
// `cpu_quota` of the settings.
constexpr double processor_share = 0.25;
constexpr double orders_per_second = 30;
constexpr int timeout_milliseconds = 2500;
// Callers wait for longer than the route's timeout.
constexpr int order_deadline_milliseconds = 4000;
constexpr double drain_seconds = 2;
// "continues serving for `drain_ms` [...] and a little longer (at times many seconds)"
constexpr double linger_seconds = 13;
// Requests that last longer than the timeout, of which the rule speaks.
constexpr int enough_late_orders = 8;

std::string configuration()
{
    return R"({"version":3,"routes":[{"name":"r-design","host":"shop.example",)"
           R"("path_prefix":"/design/","route_type":"streaming","timeout_ms":39000,)"
           R"("target_latency_ms":1800,"priority":1,"service":"engines","max_attempts":1,)"
           R"("public":false,"session_affinity":true,"stream_resume":false,)"
           R"("target_itl_ms":180},{"name":"r-order","host":"shop.example",)"
           R"("path_prefix":"/order/","route_type":"non_idempotent","timeout_ms":)" +
           std::to_string(timeout_milliseconds) +
           R"(,"target_latency_ms":150,"priority":2,"service":"orders","max_attempts":2,)"
           R"("public":false}],"services":[{"name":"engines",)"
           R"("health_check_path":"/healthz","max_connections":252,"warmup_s":1.0,)"
           R"("warmup_per_s":37.0,"engine":{"slots":24,"kv_capacity":34228,"kv_bytes":262144,)"
           R"("link_mbps":38000.0,"moves":true,"backups":true,"kv_handle_s":5.0}},)"
           R"({"name":"orders","health_check_path":"/healthz","max_connections":110,)"
           R"("warmup_s":0.0,"warmup_per_s":0.0}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"shop","api_keys":["key-1"]}]})";
}

class scenario
{
public:
    int play(std::string const& record_path);

private:
    bool set_up();
    void ask_for_stream(int number);
    void place_order();
    void send_orders(double seconds);
    void write_orders(std::string const& title, double processor_seconds);
    int judge();

    std::string m_network = pick_network();
    temporary_directory m_directory;
    std::unique_ptr<record> m_record;
    std::unique_ptr<object_store> m_store;
    engine_links m_links{engine_figures{.events = 330}};
    std::vector<std::unique_ptr<engine>> m_engines;
    std::vector<std::unique_ptr<plain_server>> m_servers;
    std::unique_ptr<node_process> m_node;
    std::mutex m_mutex;
    /// Seconds from the sending of each order to its answer.
    std::vector<double> m_answer_seconds;
    std::map<int, int> m_statuses;
    std::atomic<int> m_copies{0};
};

bool scenario::set_up()
{
    if (m_network.empty() || m_directory.path().empty())
        return false;
    m_store = std::make_unique<object_store>(endpoint{m_network + "2", 8742});
    if (!m_store->start())
        return false;
    std::map<std::string, engine*> peers;
    for (int i = 0; i < engine_count; ++i)
    {
        server_entry const entry{"e-" + std::to_string(i),
                                 "engines",
                                 {m_network + "3", static_cast<std::uint16_t>(9200 + i)},
                                 "z-" + std::string(1, static_cast<char>('a' + i % 3)),
                                 slots};
        m_engines.push_back(
            std::make_unique<engine>(entry, m_links, [](engine&, message const&) {}));
        peers[entry.where.text()] = m_engines.back().get();
        if (!m_engines.back()->start())
            return false;
        m_store->put("servers", entry.id, write_spec(m_engines.back()->entry()));
    }
    for (auto const& each : m_engines)
        each->set_peers(peers);
    for (int i = 0; i < 3; ++i)
    {
        server_entry const entry{"i-" + std::to_string(i),
                                 "orders",
                                 {m_network + "4", static_cast<std::uint16_t>(9200 + i)},
                                 "z-a",
                                 6};
        m_servers.push_back(std::make_unique<plain_server>(entry, milliseconds(30)));
        if (!m_servers.back()->start())
            return false;
        m_store->put("servers", entry.id, write_spec(m_servers.back()->entry()));
    }
    m_store->put("config", "main", configuration());
    node_options options{"edge-0", m_network + "10", "z-a", m_store->where()};
    options.one_core = true;
    m_node = std::make_unique<node_process>(options, m_directory.path());
    m_node->start();
    return m_node->wait_until_ready();
}

void scenario::ask_for_stream(int number)
{
    call(m_node->frontend(),
         {.path = "/design/1",
          .id = next_request_id(),
          .deadline_milliseconds = 39000,
          .fields = "Model: m\r\nToken-Usage: 300,1400\r\nPrefix-Hash: aa:79,b" +
                    std::to_string(number) + ":221\r\n",
          .body = "a design"});
}

void scenario::place_order()
{
    auto const begin = steady::now();
    auto const answer =
        call(m_node->frontend(), {.path = "/order/1",
                                  .id = next_request_id(),
                                  .deadline_milliseconds = order_deadline_milliseconds,
                                  .body = "an order"});
    auto const seconds = std::chrono::duration<double>(steady::now() - begin).count();
    std::lock_guard const lock(m_mutex);
    // Orders that found no answer lasted until their caller gave up.
    m_answer_seconds.push_back(answer.status == 0 ? 1000 : seconds);
    ++m_statuses[answer.status];
}

void scenario::send_orders(double seconds)
{
    thread_group orders;
    auto const end = steady::now() + std::chrono::duration<double>(seconds);
    while (steady::now() < end)
    {
        orders.add([this] { place_order(); });
        sleep_for(1 / orders_per_second);
    }
}

void scenario::write_orders(std::string const& title, double processor_seconds)
{
    std::lock_guard const lock(m_mutex);
    auto sorted = m_answer_seconds;
    std::sort(sorted.begin(), sorted.end());
    std::string statuses;
    for (auto const& [status, number] : m_statuses)
        statuses += " " + std::to_string(status) + "x" + std::to_string(number);
    m_record->write(title, "orders", sorted.size(), "answers", statuses, "median",
                    sorted.empty() ? 0 : sorted[sorted.size() / 2], "s; processor time of the node",
                    processor_seconds, "s");
}

int scenario::judge()
{
    std::lock_guard const lock(m_mutex);
    auto const timeout = timeout_milliseconds / 1000.0;
    auto const unanswered = std::count_if(m_answer_seconds.begin(), m_answer_seconds.end(),
                                          [&](double each) { return each > timeout; });
    auto const late = std::count_if(m_answer_seconds.begin(), m_answer_seconds.end(),
                                    [&](double each) { return each > timeout + 0.5; });
    bool const is_broken = unanswered >= enough_late_orders && 2 * late > unanswered;
    m_record->write("orders without an answer at the route's timeout:", unanswered, "of",
                    m_answer_seconds.size(), "; without one half a second later:", late, ";",
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
    m_record->write("node ready");
    auto quota = std::make_unique<processor_quota>(m_node->id(), processor_share);
    for (int i = 0; i < engine_count * slots; ++i)
    {
        std::thread([this, i] { ask_for_stream(i); }).detach();
        sleep_for(0.03);
    }
    sleep_for(1);
    for (auto const& each : m_engines)
        m_record->write(each->entry().id, "runs", each->generations(), "generations");
    auto before = quota->used_seconds();
    send_orders(4);
    write_orders("before:", quota->used_seconds() - before);
    {
        std::lock_guard const lock(m_mutex);
        m_answer_seconds.clear();
        m_statuses.clear();
    }
    auto entry = m_engines.front()->entry();
    if (with_trouble())
    {
        entry.state = "draining";
        m_store->put("servers", entry.id, write_spec(entry));
        m_record->write(entry.id, "reports draining");
    }
    sleep_for(2);
    before = quota->used_seconds();
    send_orders(drain_seconds + linger_seconds - 5);
    write_orders("while it leaves:", quota->used_seconds() - before);
    for (auto const& each : m_engines)
        m_record->write(each->entry().id, "runs", each->generations(), "generations");
    auto const status = judge();
    quota.reset();
    m_node.reset();
    m_directory.remove();
    return status;
}

} // namespace

int main(int argc, char** argv)
{
    run_case<scenario>(argc, argv);
}
