/// Servers that start again under their ids while a node of the fleet is behind the store.
#include "tests/soak/link_proxy.hpp"
#include "tests/support/node_fixture.hpp"

#include <csignal>
#include <thread>

namespace jasminepier::tests
{
namespace
{

using std::chrono::seconds;

/// Runs the proxies' network events on a thread.
class network_thread
{
public:
    ~network_thread()
    {
        m_context.stop();
        m_thread.join();
    }
    boost::asio::io_context& context() noexcept { return m_context; }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work =
        boost::asio::make_work_guard(m_context);
    std::thread m_thread{[this] { m_context.run(); }};
};

class server_restart_process_test : public node_fixture
{
protected:
    /// Returns how many of 20 lookups through the node reach the server.
    std::size_t count_requests(node_process const& node, fake_server const& server)
    {
        auto const earlier = server.requests().size();
        for (int i = 0; i < 20; ++i)
            call_node(node.ports().callers,
                      make_request("GET", "/check/ok", "lookup-" + std::to_string(++m_lookups)));
        return server.requests().size() - earlier;
    }

    network_thread m_network;
    soak::link_proxy m_store_link{m_network.context(), soak::endpoint_at(loopback_host, port(9)),
                                  soak::endpoint_at(loopback_host, port(0))};
    node_process m_lagging_node{"n2", {port(5), port(6), port(7), port(8)}, port(9)};
    int m_lookups = 0;
};

/// Why a node has not read the new entries of restarted servers.
enum class lag
{
    cut_off,
    slow,
    paused,
};

class lagging_node_test : public server_restart_process_test,
                          public testing::WithParamInterface<lag>
{
protected:
    void set_lagging(bool lagging)
    {
        if (GetParam() == lag::paused)
            m_lagging_node.program().send_signal(lagging ? SIGSTOP : SIGCONT);
        else
            m_store_link.set_state(!lagging                     ? soak::link_state::clear
                                   : GetParam() == lag::cut_off ? soak::link_state::silent
                                                                : soak::link_state::delayed);
    }
};

// Guards against a service that is refused for good after its servers have restarted, because a
// node that did not see their new entries reports that they leave.
TEST_P(lagging_node_test, restarted_servers_are_used_by_all_nodes)
{
    for (auto const* server : {&m_shop_1, &m_shop_2})
        m_store.put("servers", server->id(), make_started_entry(*server, 1000));
    start_until_ready();
    ASSERT_TRUE(wait_until([&] { return m_lagging_node.is_ready(); }, seconds(10)));
    if (GetParam() != lag::paused)
        set_lagging(true);
    for (auto const* server : {&m_shop_1, &m_shop_2})
        m_store.remove("servers", server->id());
    std::this_thread::sleep_for(seconds(1));
    set_lagging(true);
    for (auto const* server : {&m_shop_1, &m_shop_2})
        m_store.put("servers", server->id(), make_started_entry(*server, 2000));
    std::this_thread::sleep_for(seconds(GetParam() == lag::paused ? 1 : 3));
    set_lagging(false);
    // Later reports of the node would have their effect by then.
    std::this_thread::sleep_for(seconds(2));
    for (auto const* node : {&m_node, &m_lagging_node})
        for (auto const* server : {&m_shop_1, &m_shop_2})
            EXPECT_TRUE(wait_until([&] { return count_requests(*node, *server) > 0; }, seconds(15)))
                << server->id();
}

INSTANTIATE_TEST_SUITE_P(lags, lagging_node_test,
                         testing::Values(lag::cut_off, lag::slow, lag::paused));

} // namespace
} // namespace jasminepier::tests
