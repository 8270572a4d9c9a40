#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

namespace jasminepier::tests
{

// Guards against a fault anywhere between a caller and an engine or plain service. Uses real
// processes.
TEST(request_path, serves_a_completion_and_a_plain_call)
{
    deployment test_deployment("127.0.10.1");
    test_deployment.start_engine(1);
    test_deployment.start_service(1);
    test_deployment.start_node(1);
    ASSERT_TRUE(test_deployment.wait_until_ready(1));
    auto const entry_port = static_cast<std::uint16_t>(entry_port_base + 1);
    auto const response = test_deployment.call(
        entry_port, "POST", "/v1/chat/completions",
        R"({"model":"demo","messages":[{"role":"user","content":"Which screws? tokens=3"}]})");
    EXPECT_EQ(response.status, 200);
    EXPECT_NE(response.body.find("w0 w1 w2 "), std::string::npos);
    auto const plain_response =
        test_deployment.call(entry_port, "GET", "/v1/services/shop/stock/beam-14");
    EXPECT_EQ(plain_response.status, 200);
    EXPECT_NE(plain_response.body.find("accepted"), std::string::npos);
}

} // namespace jasminepier::tests
