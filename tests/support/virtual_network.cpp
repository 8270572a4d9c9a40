#include "tests/support/virtual_network.hpp"

#include "inner_protocol/datagram.hpp"

namespace jasminepier::tests
{
namespace
{

constexpr base::milliseconds step_length{100};
constexpr int port_base = 10000;
// IPv4 and UDP headers, included in the traffic of a datagram.
constexpr std::size_t packet_header_bytes = 28;

} // namespace

virtual_network::virtual_network(int nodes, int regions, network_settings settings,
                                 std::uint64_t seed, membership::detector_settings detector)
    : m_regions(regions), m_settings(settings), m_detector_settings(detector), m_random(seed)
{
    m_nodes.reserve(static_cast<std::size_t>(nodes));
    for (int i = 0; i < nodes; ++i)
        m_nodes.push_back({make_node(i), true});
    // As in a deployment, the settings of every node list three seeds.
    std::vector<membership::contact_point> seeds;
    seeds.reserve(3);
    for (int i = 0; i < std::min(nodes, 3); ++i)
        seeds.push_back({"", "10.0.0.1", port_base + i});
    for (auto& member_node : m_nodes)
        member_node.detector->set_contact_points(seeds);
}

std::unique_ptr<membership::failure_detector> virtual_network::make_node(int node)
{
    membership::member_record self;
    self.node_id = name(node);
    self.incarnation = m_latest_incarnation;
    self.zone = "zone-" + std::to_string(node % 16);
    self.region = "region-" + std::to_string(region_of(node));
    self.host = "10.0.0.1";
    self.gossip_port = port_base + node;
    self.control_port = 7002;
    self.entry_port = 7001;
    self.entry_peer_port = 7003;
    self.ready = true;
    return std::make_unique<membership::failure_detector>(self, m_detector_settings, m_random());
}

void virtual_network::restart(int node, std::vector<int> const& seeds)
{
    // The incarnation starts with wall-clock seconds, which have advanced since the previous
    // process.
    m_latest_incarnation += 1000;
    m_nodes.at(index(node)) = {make_node(node), true};
    std::vector<membership::contact_point> contact_points;
    contact_points.reserve(seeds.size());
    for (int seed : seeds)
        contact_points.push_back({"", "10.0.0.1", port_base + seed});
    m_nodes.at(index(node)).detector->set_contact_points(contact_points);
}

void virtual_network::send_datagrams(int from,
                                     std::vector<membership::outgoing_datagram> const& messages)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    std::uniform_int_distribution<std::int64_t> delay(m_settings.minimum_delay.count(),
                                                      m_settings.maximum_delay.count());
    for (auto const& datagram : messages)
    {
        int const to = datagram.port - port_base;
        auto const bytes = inner_protocol::encode_datagram(datagram.message).size();
        m_largest_datagram_bytes = std::max(m_largest_datagram_bytes, bytes);
        m_sent_bytes += bytes + packet_header_bytes;
        ++m_sent_datagrams;
        if (to >= size() || (m_blocked_links && m_blocked_links(from, to)) ||
            uniform(m_random) < m_settings.loss)
            continue;
        auto const datagram_copy =
            std::make_shared<membership::gossip_datagram const>(datagram.message);
        int const copies = uniform(m_random) < m_settings.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            m_deliveries.push({m_now + base::milliseconds(delay(m_random)), ++m_delivery_count,
                               from, to, datagram_copy});
    }
}

void virtual_network::deliver_until(base::time_point limit)
{
    while (!m_deliveries.empty() && m_deliveries.top().arrival_time <= limit)
    {
        auto const next = m_deliveries.top();
        m_deliveries.pop();
        m_now = next.arrival_time;
        auto& target = m_nodes.at(index(next.to));
        if (target.running && m_delivery_observer)
            m_delivery_observer(next.to, *next.message);
        if (target.running)
            send_datagrams(next.to, target.detector->receive(m_now, *next.message));
    }
    m_now = limit;
}

void virtual_network::step()
{
    deliver_until(m_now + step_length);
    for (int i = 0; i < size(); ++i)
        if (m_nodes[index(i)].running)
        {
            send_datagrams(i, m_nodes[index(i)].detector->tick(m_now));
            push_pull_members(i);
        }
}

void virtual_network::push_pull_members(int node)
{
    auto const peer = this->node(node).next_push_pull_peer(m_now);
    if (!peer)
        return;
    int const to = peer->gossip_port - port_base;
    // An RPC over TCP needs both directions; loss only delays it.
    if (!m_nodes.at(index(to)).running ||
        (m_blocked_links && (m_blocked_links(node, to) || m_blocked_links(to, node))))
        return;
    auto const request = this->node(node).push_pull(m_now, {});
    auto const response = this->node(to).push_pull(m_now, request);
    this->node(node).push_pull(m_now, response);
    for (auto const* list : {&request, &response})
        for (auto const& record : *list)
            m_sent_bytes += membership::maximum_encoded_size(record);
}

void virtual_network::run(base::milliseconds duration, std::function<void()> const& after_each_step)
{
    auto const end = m_now + duration;
    while (m_now < end)
    {
        step();
        if (after_each_step)
            after_each_step();
    }
}

std::optional<base::milliseconds> virtual_network::run_until(std::function<bool()> const& condition,
                                                             base::milliseconds limit)
{
    auto const start = m_now;
    while (!condition())
    {
        if (m_now - start > limit)
            return std::nullopt;
        step();
    }
    return std::chrono::duration_cast<base::milliseconds>(m_now - start);
}

std::optional<inner_protocol::member_state::type> virtual_network::state(int observer, int node)
{
    return this->node(observer).state_of(name(node));
}

bool virtual_network::all_see_all_alive()
{
    for (int observer = 0; observer < size(); ++observer)
        for (int subject = 0; subject < size(); ++subject)
            if (m_nodes[index(observer)].running && m_nodes[index(subject)].running &&
                state(observer, subject) != inner_protocol::member_state::alive)
                return false;
    return true;
}

bool virtual_network::all_see_dead(int node)
{
    for (int observer = 0; observer < size(); ++observer)
        if (observer != node && m_nodes[index(observer)].running &&
            state(observer, node) != inner_protocol::member_state::dead)
            return false;
    return true;
}

int virtual_network::false_death_count()
{
    int count = 0;
    for (int observer = 0; observer < size(); ++observer)
        for (int subject = 0; subject < size(); ++subject)
            if (m_nodes[index(observer)].running && m_nodes[index(subject)].running &&
                state(observer, subject) == inner_protocol::member_state::dead)
                ++count;
    return count;
}

} // namespace jasminepier::tests
