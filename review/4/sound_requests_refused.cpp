/// Each of three servers loses a few answers. Afterwards, in steady state, a route that was added
/// later must still be served as often as the first one.
#include "../support/deployment.hpp"

#include <array>

namespace
{

using namespace review;

constexpr std::int64_t work_ms = 20;
constexpr std::int64_t request_interval_ms = 10;
// Each episode takes one server of three.
constexpr std::int64_t episode_times[] = {9000, 15000, 21000};
constexpr std::int64_t episode_ms = 5000;
// On each route, one answer in 20 is lost meanwhile.
constexpr int lost_interval = 20;
constexpr std::int64_t steady_begin = 31000;
constexpr std::int64_t steady_end = 43000;

std::string make_configuration(int version, bool has_status_route)
{
    std::string const added =
        R"(,{"name":"status","host":"shop.example","path_prefix":"/status/",)"
        R"("route_type":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,)"
        R"("service":"app","max_attempts":2,"public":true})";
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"stock","host":"shop.example","path_prefix":"/stock/",)"
           R"("route_type":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,)"
           R"("service":"app","max_attempts":2,"public":true})" +
           (has_status_route ? added : "") +
           R"(],"services":[{"name":"app","health_check_path":"/healthz",)"
           R"("max_connections":110,"warmup_s":0.0,"warmup_per_s":0.0}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// Runs on the first and on the added route.
using run_counts = std::array<std::atomic<int>, 2>;

struct served_share
{
    int requests = 0;
    int served = 0;
    double share() const { return requests == 0 ? 0 : static_cast<double>(served) / requests; }
};

int run_case()
{
    auto const store_host = make_host(200);
    auto& store = *new object_store(store_host);
    auto& log = *new arrival_log;
    std::vector<std::unique_ptr<backend_server>> servers;
    for (std::size_t index = 0; index < std::size(episode_times); ++index)
    {
        auto const id = "i-app-" + std::to_string(index);
        auto const run = [index, id, runs = std::make_shared<run_counts>()](connection& caller,
                                                                            message const& request)
        {
            sleep_ms(work_ms);
            auto const begin = episode_times[index];
            auto const now = now_ms();
            bool const in_episode = has_trouble() && now >= begin && now < begin + episode_ms;
            bool const is_added = request.second_word().starts_with("/status/");
            if (in_episode && ++(*runs)[is_added ? 1 : 0] % lost_interval == 0)
            {
                record("the answer of " + id + " to " + request.header("Attempt-Id") + " (" +
                       request.second_word() + ") is lost");
                return false;
            }
            return caller.send(make_response(request, "in stock"));
        };
        servers.push_back(std::make_unique<backend_server>(
            id, make_host(201 + static_cast<int>(index)), 0, log, run));
        store.put("servers", id,
                  make_server_entry("app", servers.back()->address(), "zrh-a", 6, 0, 1000, 1));
    }
    store.put("config", "main", make_configuration(7, false));
    node_process first(1, "zrh-a", store, store_host);
    node_process second(2, "zrh-b", store, store_host);
    node_process* const nodes[] = {&first, &second};
    for (auto* node : nodes)
        node->start();
    for (auto* node : nodes)
        if (!node->wait_until_ready(10000))
            return record("a node did not become ready"), could_not_run;
    store.put("config", "main", make_configuration(8, true));
    record("the store acknowledged version 8, which adds the route /status/");
    sleep_until_ms(5000);

    std::mutex mutex;
    std::vector<std::pair<bool, client_result>> results;
    std::atomic<int> open_requests{0};
    for (int i = 0; now_ms() < steady_end; ++i)
    {
        ++open_requests;
        std::thread(
            [&, i]
            {
                bool const is_added = i % 2 == 0;
                // Callers ask for many articles, but there is one status page.
                auto const path = is_added ? "/status/page" : "/stock/" + std::to_string(i);
                auto const result = send_request(nodes[i / 2 % 2]->host(), "r" + std::to_string(i),
                                                 "GET", path, "", 2500);
                std::lock_guard lock(mutex);
                results.emplace_back(is_added, result);
                --open_requests;
            })
            .detach();
        sleep_ms(request_interval_ms);
    }
    while (open_requests > 0)
        sleep_ms(10);

    served_share original;
    served_share added;
    for (auto const& [is_added, result] : results)
    {
        record(describe(result) + (is_added ? ", added route" : ", first route"));
        if (result.sent < steady_begin)
            continue;
        auto& share = is_added ? added : original;
        ++share.requests;
        share.served += result.status == 200 && result.complete ? 1 : 0;
    }
    record("steady state: first route " + std::to_string(original.served) + " of " +
           std::to_string(original.requests) + " served, added route " +
           std::to_string(added.served) + " of " + std::to_string(added.requests));
    bool const broken = added.requests >= 20 && added.share() < original.share() / 4;
    return broken ? rule_broken : rule_held;
}

} // namespace

int main()
{
    auto const result = run_case();
    record("exit status " + std::to_string(result));
    std::_Exit(result);
}
