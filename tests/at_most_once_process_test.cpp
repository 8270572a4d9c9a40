#include "base/json.hpp"
#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

namespace jasminepier::tests
{
namespace
{

constexpr auto entry_one = static_cast<std::uint16_t>(entry_port_base + 1);
constexpr auto shop_port = static_cast<std::uint16_t>(service_port_base + 1);
std::string const order_path = "/v1/services/shop/orders";

/// Executions that the stand-in service counted for the order with this body.
int executions(deployment& running, std::string const& body)
{
    auto const counts = running.call(shop_port, "GET", "/stand-in/count").body;
    return base::handle(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(document, base::parse_json_object(counts));
            return document->optValue<int>("/orders|" + body, 0);
        },
        [](base::error const&) { return -1; });
}

} // namespace

// Guards against a second execution when a caller sends an order again with the same key.
TEST(at_most_once_process, runs_an_order_once_when_it_is_sent_twice)
{
    deployment running("127.0.14.1");
    running.start_service(1);
    running.start_node(1);
    ASSERT_TRUE(running.wait_until_ready(1));
    std::map<std::string, std::string> const key{{"Idempotency-Key", "k1"}};
    auto const first = running.call(entry_one, "POST", order_path, "oak", key);
    auto const second = running.call(entry_one, "POST", order_path, "oak", key);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(executions(running, "oak"), 1);
}

} // namespace jasminepier::tests
