#include "tests/support/deployment.hpp"

#include <gtest/gtest.h>

namespace jasminepier::tests
{

// Guards against a break anywhere between a caller and an engine, with real processes.
TEST(whole_path, serves_a_question_and_a_plain_call)
{
    deployment running("127.0.10.1");
    running.start_engine(1);
    running.start_service(1);
    running.start_node(1);
    ASSERT_TRUE(running.wait_until_ready(1));
    auto const entry_port = static_cast<std::uint16_t>(entry_port_base + 1);
    auto const answer = running.call(
        entry_port, "POST", "/v1/chat/completions",
        R"({"model":"demo","messages":[{"role":"user","content":"Which screws? tokens=3"}]})");
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.body.find("w0 w1 w2 "), std::string::npos);
    auto const stock = running.call(entry_port, "GET", "/v1/services/shop/stock/beam-14");
    EXPECT_EQ(stock.status, 200);
    EXPECT_NE(stock.body.find("accepted"), std::string::npos);
}

} // namespace jasminepier::tests
