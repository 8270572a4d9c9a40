#include "services/node/server_prober.hpp"

#include "base/log.hpp"
#include "http/client_exchange.hpp"
#include "http/wait_set.hpp"
#include "platform/engine_calls.hpp"
#include "services/node/node_metrics.hpp"

#include <vector>

namespace jasminepier::node
{
namespace
{

// Engines announce their removal 1.5 to 2.1 s ahead, and a handover takes about half a second.
constexpr std::chrono::milliseconds probe_interval{300};
constexpr base::milliseconds probe_timeout{250};
// A report lists the runs of an engine, some tens of bytes each.
constexpr std::size_t maximum_report_bytes = std::size_t{256} * 1024;
constexpr int report_status = 200;

struct engine_probe
{
    std::string server;
    std::int64_t started_unix_milliseconds = 0;
    http::client_exchange exchange;
    std::string body;
};

} // namespace

server_prober::server_prober(node_state& state)
    : m_state(state), m_probe_thread(probe_interval, [this] { probe_if_needed(); })
{
}

void server_prober::probe_if_needed()
{
    auto const servers = m_state.with(
        [](node_state::tables& tables)
        {
            return tables.dispatcher.directory().store_lost()
                       ? tables.dispatcher.servers_in_use()
                       : std::map<std::string, serving::server_entry>{};
        });
    base::steady_clock_source const clock;
    auto const deadline = clock.now() + probe_timeout;
    std::vector<engine_probe> probes;
    probes.reserve(servers.size());
    for (auto const& [id, entry] : servers)
    {
        auto request = platform::make_report_request();
        request.headers.add("Host", entry.address);
        probes.push_back(
            {id,
             entry.started_unix_milliseconds,
             http::client_exchange(entry.address, http::write_request(request), true, clock.now()),
             {}});
    }
    http::wait_set poll_set;
    auto const all_probes_ended = [&]
    {
        return std::all_of(probes.begin(), probes.end(),
                           [](engine_probe const& each) { return each.exchange.ended(); });
    };
    while (!all_probes_ended() && clock.now() < deadline)
    {
        poll_set.clear();
        for (auto const& probe : probes)
            poll_set.add(probe.exchange.descriptor(), probe.exchange.poll_events());
        poll_set.wait(deadline);
        for (std::size_t i = 0; i < probes.size(); ++i)
        {
            probes[i].exchange.advance(poll_set.ready(i));
            probes[i].body += probes[i].exchange.take_body();
            if (probes[i].body.size() > maximum_report_bytes)
                probes[i].exchange.fail_as_oversized();
        }
    }
    for (auto const& probe : probes)
    {
        bool const is_report =
            probe.exchange.complete() && probe.exchange.head().status == report_status;
        if (!is_report || !platform::report_shows_draining(probe.body))
            continue;
        auto const now = clock.now();
        m_state.with(
            [&](node_state::tables& tables)
            {
                tables.dispatcher.directory().record_announced_leaving(
                    probe.server, probe.started_unix_milliseconds, now);
                tables.dispatcher.notify_leaving();
            });
        observe_event("server_probe", "leaving");
        base::log_line(base::log_level::info, "server_says_leaving").field("server", probe.server);
    }
}

} // namespace jasminepier::node
