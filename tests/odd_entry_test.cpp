/// Runs a node whose store holds odd entries that another writer has left among those of servers.
#include "tests/support/node_fixture.hpp"

namespace jasminepier::tests
{
namespace
{

using std::chrono::seconds;

class odd_entry_test : public node_fixture, public testing::WithParamInterface<std::string>
{
protected:
    /// The spec of an entry of the service "shop" with the members changed.
    static std::string make_entry(std::string const& address, std::string const& other_members)
    {
        return R"({"service":"shop","address":")" + address + R"(","zone":"a","state":"ready",)" +
               other_members + "}";
    }

    static std::string nest(std::string const& open, std::string const& close, std::size_t depth)
    {
        std::string text;
        for (std::size_t i = 0; i < depth; ++i)
            text += open;
        text += "1";
        for (std::size_t i = 0; i < depth; ++i)
            text += close;
        return text;
    }

    static std::map<std::string, std::string> const& odd_entries()
    {
        static std::map<std::string, std::string> const entries{
            {"deep_lists", make_entry("127.0.0.1:9", R"("slots":8,"x":)" + nest("[", "]", 20000))},
            {"deep_objects",
             make_entry("127.0.0.1:9", R"("slots":8,"x":)" + nest(R"({"a":)", "}", 20000))},
            {"deep_spec", nest("[", "]", 20000)},
            {"large_integer",
             make_entry("127.0.0.1:9", R"("slots":123456789012345678901234567890)")},
            {"large_number", make_entry("127.0.0.1:9", R"("slots":8,"warmup_left_ms":1e999)")},
            {"long_warm_up", make_entry("127.0.0.1:9", R"("slots":8,"warmup_left_ms":1e300)")},
            {"negative_warm_up", make_entry("127.0.0.1:9", R"("slots":8,"warmup_left_ms":-1e300)")},
            {"many_slots", make_entry("127.0.0.1:9", R"("slots":4294967297)")},
            {"negative_slots", make_entry("127.0.0.1:9", R"("slots":-5)")},
            {"large_start", make_entry("127.0.0.1:9", R"("slots":8,"born":1e30)")},
            {"large_port", make_entry("127.0.0.1:99999", R"("slots":8)")},
            {"huge_port", make_entry("127.0.0.1:4294967297", R"("slots":8)")},
            {"negative_port", make_entry("127.0.0.1:-1", R"("slots":8)")},
            {"port_0", make_entry("127.0.0.1:0", R"("slots":8)")},
            {"no_port", make_entry("127.0.0.1", R"("slots":8)")},
            {"host_name", make_entry("shop.example:80", R"("slots":8)")},
            {"empty_address", make_entry("", R"("slots":8)")},
            {"text", R"("text")"},
            {"number", "1e999"},
            {"list", "[1,2]"},
        };
        return entries;
    }

    /// Returns true if the node serves orders and learns of another server.
    void expect_node_follows_the_list()
    {
        m_store.put("servers", m_engine_2.id(), make_server_entry("engines", m_engine_2.address()));
        m_store.remove("servers", m_engine_1.id());
        EXPECT_TRUE(wait_until(
            [&]
            {
                return call("POST", "/plan/stream-1").status == 200 &&
                       m_engine_2.execution_count(m_last_request_id) == 1;
            },
            seconds(5)));
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(call("POST", "/order/ok").status, 200);
        EXPECT_TRUE(m_node.program().running());
    }
};

// Guards against a node that ends, stops following the list of servers or sends requests to an
// address that is none because of one entry that another writer has left.
TEST_P(odd_entry_test, is_left_out_of_a_list)
{
    m_store.put("servers", "a-odd", odd_entries().at(GetParam()));
    start_until_ready();
    expect_node_follows_the_list();
}

TEST_P(odd_entry_test, is_left_out_of_changes)
{
    start_until_ready();
    m_store.put("servers", "a-odd", odd_entries().at(GetParam()));
    expect_node_follows_the_list();
}

INSTANTIATE_TEST_SUITE_P(entries, odd_entry_test,
                         testing::Values("deep_lists", "deep_objects", "deep_spec", "large_integer",
                                         "large_number", "long_warm_up", "negative_warm_up",
                                         "many_slots", "negative_slots", "large_start",
                                         "large_port", "huge_port", "negative_port", "port_0",
                                         "no_port", "host_name", "empty_address", "text", "number",
                                         "list"),
                         [](auto const& tested) { return tested.param; });

} // namespace
} // namespace jasminepier::tests
