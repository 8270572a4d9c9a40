#include "services/control/placement_runner.hpp"

#include "backend/http_exchange.hpp"
#include "backend/load_report.hpp"
#include "base/hash.hpp"

namespace jasminepier::control
{
namespace
{

constexpr base::milliseconds check_interval{500};
constexpr base::milliseconds active_round_interval{5000};
/// Standby nodes check the lease rarely, which keeps the platform's reads nearly independent of the
/// fleet size. Placement still continues after all active candidates have failed.
constexpr base::milliseconds standby_round_interval{300000};
constexpr std::size_t active_candidates = 3;
/// Commands are repeated after 30 s if the reports don't show their effect; older reports would
/// repeat commands that were executed.
constexpr base::milliseconds maximum_report_age{10000};
/// The sum must stay below the safety margin of the lease.
constexpr backend::exchange_timeouts command_timeouts{base::milliseconds(500),
                                                      base::milliseconds(1500)};
constexpr std::size_t maximum_response_bytes = 64U << 10U;

std::string make_command_body(placement::placement_command const& command,
                              std::int64_t fencing_number)
{
    base::json_object body = new Poco::JSON::Object;
    body->set("fencing_number", fencing_number);
    body->set("action", std::string(placement::to_string(command.action)));
    body->set("model", command.model);
    body->set("role", command.role);
    return base::write_json(body);
}

} // namespace

base::result<void> http_command_sender::send(placement::placement_command const& command,
                                             std::int64_t fencing_number)
{
    auto const snapshot = m_state.snapshot();
    auto const found = snapshot->servers.find(command.server);
    if (found == snapshot->servers.end())
        return base::fail(base::error_kind::no_server, "server is not listed");
    backend::backend_request request{
        "POST", "/orders", {}, make_command_body(command, fencing_number)};
    request.headers["Content-Type"] = "application/json";
    BOOST_LEAF_AUTO(response,
                    backend::call_backend({found->second.host, found->second.port}, request,
                                          command_timeouts, maximum_response_bytes));
    if (response.status == 409)
        return base::fail(base::error_kind::stale_fencing_number,
                          "server rejected the placement command: stale fencing number");
    if (response.status != 200)
        return base::fail(base::error_kind::server_failed, "server rejected the placement command");
    return {};
}

placement_runner::placement_runner(control_state& state, std::string node_id,
                                   store::http_object_store_settings const& platform,
                                   placement::command_rate_limits rate_limits)
    : m_state(state), m_node_id(std::move(node_id)), m_store(platform), m_sender(state),
      m_controller(m_store, m_sender, m_clock, {m_node_id, base::random_id()}, rate_limits),
      m_thread(check_interval, [this] { run_round_if_due(); })
{
}

std::size_t placement_runner::lease_rank() const
{
    auto const local_weight = base::rendezvous_weight("placement", m_node_id);
    auto const snapshot = m_state.snapshot();
    std::size_t higher_weights = 0;
    for (auto const& [name, node] : snapshot->nodes)
        if (name != m_node_id && base::rendezvous_weight("placement", name) > local_weight)
            ++higher_weights;
    return higher_weights;
}

void placement_runner::run_round_if_due()
{
    auto const now = m_clock.now();
    if (m_state.confirmed_revision() == 0 || now < m_next_round)
        return;
    m_next_round = now + (lease_rank() < active_candidates || m_controller.holds_lease()
                              ? active_round_interval
                              : standby_round_interval);
    m_controller.run_round(collect_reported_placements());
    m_state.set_lease_fencing_number(m_controller.holds_lease() ? m_controller.fencing_number()
                                                                : 0);
}

placement::reported_placements placement_runner::collect_reported_placements() const
{
    // FIXME: In a fleet of more than 16 nodes, a node receives the digests of its own subset of
    // servers only, so the lease holder places nothing on other servers. It has to ask their
    // observers.
    placement::reported_placements servers;
    auto const first_unusable = static_cast<int>(backend::server_state::leaving);
    for (auto const& digest : m_state.loads_newer_than(0).second)
        if (digest.state < first_unusable && digest.age_milliseconds < maximum_report_age.count())
            servers[digest.server_id] = {digest.models, digest.role};
    return servers;
}

} // namespace jasminepier::control
