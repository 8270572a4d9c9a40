/// A store, servers and a jasminepier-node on loopback for tests.
#pragma once

#include "tests/support/deployment.hpp"
#include "tests/support/fake_server.hpp"
#include "tests/support/fake_store.hpp"
#include "tests/support/node_process.hpp"
#include "tests/support/port_reservation.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>

namespace jasminepier::tests
{

inline std::string make_configuration(int version, std::string const& service_name)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[)"
           R"({"name":"order","host":"shop.example","path_prefix":"/order/",)"
           R"("route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":150,)"
           R"("service":")" +
           service_name +
           R"(","max_attempts":1},)"
           R"({"name":"check","host":"shop.example","path_prefix":"/check/",)"
           R"("route_type":"idempotent","timeout_ms":3000,"target_latency_ms":150,)"
           R"("service":"shop","max_attempts":2},)"
           R"({"name":"plan","host":"shop.example","path_prefix":"/plan/",)"
           R"("route_type":"streaming","timeout_ms":20000,"target_latency_ms":1500,)"
           R"("service":"engines","max_attempts":1,"target_itl_ms":180},)"
           R"({"name":"question","host":"shop.example","path_prefix":"/question/",)"
           R"("route_type":"streaming","timeout_ms":6000,"target_latency_ms":1500,)"
           R"("service":"engines","max_attempts":2,"stream_resume":true},)"
           R"({"name":"open","host":"shop.example","path_prefix":"/open/","public":true,)"
           R"("route_type":"idempotent","service":"shop"}],)"
           R"("services":[{"name":"shop"},{"name":"other"},{"name":"engines","engine":)"
           R"({"slots":24,"kv_capacity":34000,"kv_bytes":262144,"link_mbps":38000.0,)"
           R"("moves":true}}],"tenants":[{"name":"huka","api_keys":["key-1"]}]})";
}

inline std::string make_server_entry(std::string const& service, std::string const& address,
                                     std::string const& state = "ready")
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"a","slots":8,"state":")" + state + R"("})";
}

/// The entry of a server of the service "shop" whose process states when it started.
inline std::string make_started_entry(fake_server const& server, int started, int slots = 8)
{
    return R"({"service":"shop","address":")" + server.address() +
           R"(","zone":"a","state":"ready","slots":)" + std::to_string(slots) + R"(,"born":)" +
           std::to_string(started) + "}";
}

/// A store, two servers of the service "shop", one of the service "other", two engines and a node.
/// The second engine is not listed in the store at first.
class node_fixture : public testing::Test
{
protected:
    void SetUp() override
    {
        for (auto const* server : {&m_shop_1, &m_shop_2})
            m_store.put("servers", server->id(), make_server_entry("shop", server->address()));
        m_store.put("servers", m_other.id(), make_server_entry("other", m_other.address()));
        m_store.put("servers", m_engine_1.id(), make_server_entry("engines", m_engine_1.address()));
    }

    void TearDown() override
    {
        if (HasFailure())
            std::cerr << "output of the node:\n" << m_node.program().output();
    }

    void configure(int version = 1, std::string const& non_idempotent_service = "shop")
    {
        m_store.put("config", "main", make_configuration(version, non_idempotent_service));
    }

    void start_until_ready()
    {
        configure();
        ASSERT_TRUE(wait_until([&] { return m_node.is_ready(); }, std::chrono::seconds(10)));
        // The node reads the list of servers separately, so servers may become known later.
        ASSERT_TRUE(wait_until([&] { return call("GET", "/open/ok").status == 200; },
                               std::chrono::seconds(10)));
        ASSERT_TRUE(wait_until([&] { return call("POST", "/plan/stream-1").status == 200; },
                               std::chrono::seconds(10)));
    }

    caller_response call(std::string const& method, std::string const& path)
    {
        m_last_request_id = "r" + std::to_string(++m_request_count);
        return call_node(m_node.ports().callers, make_request(method, path, m_last_request_id));
    }

    /// Returns how often the servers have run the last request.
    int run_count() const
    {
        return m_shop_1.execution_count(m_last_request_id) +
               m_shop_2.execution_count(m_last_request_id) +
               m_engine_1.execution_count(m_last_request_id) +
               m_engine_2.execution_count(m_last_request_id) +
               m_other.execution_count(m_last_request_id);
    }

    static std::string make_events(int first, int last)
    {
        std::string text;
        for (int i = first; i <= last; ++i)
            text += "id: " + std::to_string(i) + "\ndata: piece\n\n";
        return text;
    }

    /// Returns a port that is reserved for this test program.
    static std::uint16_t port(int offset)
    {
        static auto const first_port = reserve_ports();
        return static_cast<std::uint16_t>(first_port + offset);
    }

    fake_store m_store{port(0)};
    fake_server m_shop_1{port(11), "i-shop-1"};
    fake_server m_shop_2{port(12), "i-shop-2"};
    fake_server m_other{port(13), "i-other"};
    fake_server m_engine_1{port(21), "i-engine-1"};
    fake_server m_engine_2{port(22), "i-engine-2"};
    node_process m_node{"n1", {port(1), port(2), port(3), port(4)}, port(0)};
    int m_request_count = 0;
    std::string m_last_request_id;
};

} // namespace jasminepier::tests
