#include "services/control/load_collector.hpp"

#include "backend/http_exchange.hpp"
#include "backend/load_report.hpp"
#include "services/control/control_metrics.hpp"

namespace jasminepier::control
{
namespace
{

constexpr backend::exchange_timeouts poll_timeouts{std::chrono::milliseconds(300),
                                                   std::chrono::milliseconds(700)};
constexpr std::size_t maximum_report_bytes = 64U << 10U;

base::result<backend::load_report> poll(configuration::server const& server)
{
    BOOST_LEAF_AUTO(response,
                    backend::call_backend({server.host, server.port}, {"GET", "/load", {}, ""},
                                          poll_timeouts, maximum_report_bytes));
    if (response.status != 200)
        return base::fail(base::error_kind::server_failed, "load report was refused");
    return backend::parse_load_report(response.body);
}

} // namespace

void collect_loads(control_state& state)
{
    auto const snapshot = state.snapshot();
    for (auto const& [name, server] : snapshot->servers)
    {
        inner_protocol::load_digest digest;
        digest.server_id = name;
        auto const report = base::handle([&polled = server]() -> base::result<backend::load_report>
                                         { return poll(polled); },
                                         [](base::error const&)
                                         {
                                             backend::load_report unreachable;
                                             unreachable.state = backend::server_state::unreachable;
                                             return unreachable;
                                         });
        digest.instance = report.instance;
        digest.state = static_cast<int>(report.state);
        digest.running = report.running;
        digest.waiting = report.waiting;
        digest.kv_used_tokens = report.kv_used_tokens;
        digest.kv_capacity_tokens = report.kv_capacity_tokens;
        digest.cold_capacity = report.cold_capacity;
        digest.max_running = report.max_running;
        digest.preemptions = report.preemptions;
        digest.models = report.models;
        digest.role = report.role;
        observe_load(server, digest);
        state.set_load(digest);
    }
}

} // namespace jasminepier::control
