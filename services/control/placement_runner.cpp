#include "services/control/placement_runner.hpp"

#include "backend/http_exchange.hpp"
#include "backend/load_report.hpp"
#include "base/hash.hpp"

namespace jasminepier::control
{
namespace
{

constexpr base::milliseconds thread_interval{500};
constexpr base::milliseconds renewal_interval{5000};
/// Nodes that are not among the first few look at the lease rarely, so that the platform's reads
/// hardly grow with the fleet and placement still goes on when the first few are all gone.
constexpr base::milliseconds reserve_interval{300000};
constexpr std::size_t first_nodes = 3;
/// Orders are repeated after 30 s; an older report would repeat orders that were carried out.
constexpr base::milliseconds oldest_report{10000};
/// Together below the lease's safety margin.
constexpr backend::exchange_timeouts command_timeouts{base::milliseconds(500),
                                                      base::milliseconds(1500)};
constexpr std::size_t maximum_answer_bytes = 64U << 10U;

std::string command_body(placement::placement_command const& command, std::int64_t number)
{
    base::json_object body = new Poco::JSON::Object;
    body->set("fencing_number", number);
    body->set("action", std::string(placement::to_string(command.action)));
    body->set("model", command.model);
    body->set("role", command.role);
    return base::write_json(body);
}

} // namespace

base::result<void> http_command_sender::send(placement::placement_command const& command,
                                             std::int64_t number)
{
    auto const snapshot = m_state.snapshot();
    auto const found = snapshot->servers.find(command.server);
    if (found == snapshot->servers.end())
        return base::fail(base::error_kind::no_server, "server is not listed");
    backend::backend_request request{"POST", "/orders", {}, command_body(command, number)};
    request.headers["Content-Type"] = "application/json";
    BOOST_LEAF_AUTO(answer, backend::call_backend({found->second.host, found->second.port}, request,
                                                  command_timeouts, maximum_answer_bytes));
    if (answer.status == 409)
        return base::fail(base::error_kind::stale_fencing_number, "the order's number is old");
    if (answer.status != 200)
        return base::fail(base::error_kind::server_failed, "the order was refused");
    return {};
}

placement_runner::placement_runner(control_state& state, std::string node_id,
                                   store::http_object_store_settings const& platform,
                                   placement::command_rate_limits rate_limits)
    : m_state(state), m_node_id(std::move(node_id)), m_store(platform), m_sender(state),
      m_controller(m_store, m_sender, m_clock, {m_node_id, base::random_id()}, rate_limits),
      m_thread(thread_interval, [this] { step(); })
{
}

std::size_t placement_runner::rank() const
{
    auto const own = base::rendezvous_weight("placement", m_node_id);
    auto const snapshot = m_state.snapshot();
    std::size_t higher = 0;
    for (auto const& [name, node] : snapshot->nodes)
        if (name != m_node_id && base::rendezvous_weight("placement", name) > own)
            ++higher;
    return higher;
}

void placement_runner::step()
{
    auto const now = m_clock.now();
    if (m_state.revision() == 0 || now < m_next_step)
        return;
    m_next_step = now + (rank() < first_nodes || m_controller.holds_lease() ? renewal_interval
                                                                            : reserve_interval);
    m_controller.run_round(reported());
    m_state.set_held_fencing_number(m_controller.holds_lease() ? m_controller.fencing_number() : 0);
}

placement::reported_placements placement_runner::reported() const
{
    // FIXME: Above 16 nodes a node hears only of the servers that it uses, so the holder places
    // nothing on the others; it has to ask their observers.
    placement::reported_placements servers;
    auto const first_unusable = static_cast<int>(backend::server_state::leaving);
    for (auto const& digest : m_state.loads_since(0).second)
        if (digest.state < first_unusable && digest.age_milliseconds < oldest_report.count())
            servers[digest.server_id] = {digest.models, digest.role};
    return servers;
}

} // namespace jasminepier::control
