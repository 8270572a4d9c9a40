#include "services/node/server_prober.hpp"

#include "base/log.hpp"
#include "http/client_exchange.hpp"
#include "http/wait_set.hpp"
#include "platform/engine_requests.hpp"
#include "services/node/node_metrics.hpp"

#include <vector>

namespace jasminepier::node
{
namespace
{

// Notices come 1.5 to 2.1 s ahead, and a handover takes about half a second.
constexpr std::chrono::milliseconds probe_interval{300};
constexpr base::milliseconds probe_limit{250};

struct probe
{
    std::string server;
    http::client_exchange exchange;
    std::string body;
};

} // namespace

server_prober::server_prober(node_state& state)
    : m_state(state), m_probing(probe_interval, [this] { probe_if_needed(); })
{
}

void server_prober::probe_if_needed()
{
    auto const servers = m_state.with(
        [](node_state::tables& tables)
        {
            return tables.dispatcher.directory().store_lost()
                       ? tables.dispatcher.servers_in_use()
                       : std::map<std::string, std::string>{};
        });
    base::steady_clock_source const clock;
    auto const until = clock.now() + probe_limit;
    std::vector<probe> probes;
    probes.reserve(servers.size());
    for (auto const& [id, address] : servers)
    {
        auto call = platform::make_report_request();
        call.headers.add("Host", address);
        probes.push_back(
            {id, http::client_exchange(address, http::write_request(call), true, clock.now()), {}});
    }
    http::wait_set waiting;
    auto const all_ended = [&]
    {
        return std::all_of(probes.begin(), probes.end(),
                           [](probe const& item) { return item.exchange.ended(); });
    };
    while (!all_ended() && clock.now() < until)
    {
        waiting.clear();
        for (auto const& item : probes)
            waiting.add(item.exchange.descriptor(), item.exchange.poll_events());
        waiting.wait(until);
        for (std::size_t i = 0; i < probes.size(); ++i)
        {
            probes[i].exchange.advance(waiting.ready(i));
            probes[i].body += probes[i].exchange.take_body();
        }
    }
    for (auto const& item : probes)
    {
        if (!item.exchange.complete() || !platform::report_shows_draining(item.body))
            continue;
        auto const now = clock.now();
        m_state.with(
            [&](node_state::tables& tables)
            {
                tables.dispatcher.directory().record_leaving(item.server, now);
                tables.dispatcher.notify_leaving();
            });
        observe_event("server_probe", "leaving");
        base::log_line(base::log_level::info, "server_says_leaving").field("server", item.server);
    }
}

} // namespace jasminepier::node
