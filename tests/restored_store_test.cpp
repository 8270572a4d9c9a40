/// Runs a node whose store loses its latest writes and gives out their revisions again.
#include "tests/support/node_fixture.hpp"

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// In which a configuration must be applied, and the platform's notice of a leaving server.
constexpr seconds apply_limit{2};

class restored_store_test : public node_fixture
{
protected:
    std::string order_service()
    {
        auto const response = call("POST", "/order/ok");
        if (response.status != 200)
            return "none";
        return response.headers.find("Server-Signature").value_or("") == "signed-by-i-other"
                   ? "other"
                   : "shop";
    }

    /// Checks for a second that orders go to the service.
    void expect_orders_stay_at(std::string const& service)
    {
        for (int i = 0; i < 20; ++i)
        {
            EXPECT_EQ(order_service(), service);
            std::this_thread::sleep_for(milliseconds(50));
        }
    }

    /// Returns true if the server has got an order after `duration`.
    bool gets_orders_after(fake_server const& server, milliseconds duration)
    {
        std::this_thread::sleep_for(duration);
        auto const earlier = server.requests().size();
        for (int i = 0; i < 30; ++i)
            call("POST", "/order/ok");
        return server.requests().size() > earlier;
    }

    /// Loses all writes since the copy, with an outage like the platform's.
    void restore_store(int writes_before_return = 0)
    {
        m_store.set_mode(store_mode::unavailable);
        m_store.restore_copy();
        for (int i = 0; i < writes_before_return; ++i)
            m_store.put("other-kind", "object", std::to_string(i));
        std::this_thread::sleep_for(milliseconds(300));
        m_store.set_mode(store_mode::serving);
    }
};

// Guards against ignoring a configuration whose revision was given out before the store was
// restored, and against returning to the configuration of the copy.
TEST_F(restored_store_test, applies_configurations_that_reuse_revisions)
{
    start_until_ready();
    m_store.take_copy();
    configure(2, "other");
    ASSERT_TRUE(wait_until([&] { return order_service() == "other"; }, apply_limit));
    restore_store();
    expect_orders_stay_at("other");
    configure(3, "shop");
    EXPECT_TRUE(wait_until([&] { return order_service() == "shop"; }, apply_limit));
    expect_orders_stay_at("shop");
}

// Guards against a watch that goes on from a revision that the restored store has passed again.
TEST_F(restored_store_test, reads_all_objects_if_the_store_has_passed_the_watched_revision)
{
    start_until_ready();
    m_store.take_copy();
    configure(2, "other");
    ASSERT_TRUE(wait_until([&] { return order_service() == "other"; }, apply_limit));
    m_store.set_mode(store_mode::unavailable);
    m_store.restore_copy();
    configure(3, "shop");
    for (int i = 0; i < 50; ++i)
        m_store.put("other-kind", "object", std::to_string(i));
    m_store.set_mode(store_mode::serving);
    EXPECT_TRUE(wait_until([&] { return order_service() == "shop"; }, apply_limit + seconds(1)));
}

// Guards against sending to a leaving server again because the copy lists it as ready, and against
// ignoring the leaving of a server at a revision that was given out before.
TEST_F(restored_store_test, servers_that_leave_before_or_after_the_restoration_get_no_requests)
{
    start_until_ready();
    m_store.take_copy();
    for (int i = 0; i < 5; ++i)
        m_store.put("other-kind", "object", std::to_string(i));
    m_store.put("servers", m_shop_1.id(),
                make_server_entry("shop", m_shop_1.address(), "draining"));
    EXPECT_FALSE(gets_orders_after(m_shop_1, seconds(1)));
    restore_store();
    EXPECT_FALSE(gets_orders_after(m_shop_1, seconds(1)));
    m_store.put("servers", m_shop_2.id(),
                make_server_entry("shop", m_shop_2.address(), "draining"));
    EXPECT_FALSE(gets_orders_after(m_shop_2, seconds(1)));
}

// Guards against sending requests to an evacuated zone because the copy is older than the
// evacuation, and against ignoring its end.
TEST_F(restored_store_test, an_evacuation_holds_until_it_is_written_again_and_ends_as_usual)
{
    start_until_ready();
    m_store.take_copy();
    m_store.put("evacuations", "a", "{}");
    ASSERT_TRUE(wait_until([&] { return order_service() == "none"; }, apply_limit));
    restore_store();
    expect_orders_stay_at("none");
    m_store.put("evacuations", "a", "{}");
    expect_orders_stay_at("none");
    m_store.remove("evacuations", "a");
    EXPECT_TRUE(wait_until([&] { return order_service() == "shop"; }, apply_limit));
}

// Guards against an evacuation that never ends since nobody writes it again.
TEST_F(restored_store_test, an_evacuation_that_is_not_written_again_ends)
{
    start_until_ready();
    m_store.take_copy();
    m_store.put("evacuations", "a", "{}");
    ASSERT_TRUE(wait_until([&] { return order_service() == "none"; }, apply_limit));
    restore_store();
    EXPECT_TRUE(wait_until([&] { return order_service() == "shop"; }, seconds(15)));
}

// Guards against a node that no other node or caller finds any more, since its own entry is lost.
TEST_F(restored_store_test, a_node_registers_again)
{
    m_store.take_copy();
    start_until_ready();
    ASSERT_TRUE(wait_until([&] { return !m_store.find_spec("jasminepier-nodes", "n1").empty(); },
                           seconds(5)));
    restore_store();
    ASSERT_TRUE(m_store.find_spec("jasminepier-nodes", "n1").empty());
    EXPECT_TRUE(wait_until([&] { return !m_store.find_spec("jasminepier-nodes", "n1").empty(); },
                           seconds(5)));
}

// Guards against dropping servers that registered after the copy was taken.
TEST_F(restored_store_test, servers_that_the_copy_lacks_are_used_until_they_register_again)
{
    m_store.remove("servers", m_shop_1.id());
    start_until_ready();
    m_store.take_copy();
    m_store.put("servers", m_shop_1.id(), make_server_entry("shop", m_shop_1.address()));
    ASSERT_TRUE(
        wait_until([&] { return gets_orders_after(m_shop_1, milliseconds(100)); }, seconds(5)));
    restore_store();
    EXPECT_TRUE(gets_orders_after(m_shop_1, seconds(1)));
    m_store.put("servers", m_shop_1.id(), make_server_entry("shop", m_shop_1.address()));
    EXPECT_TRUE(gets_orders_after(m_shop_1, seconds(3)));
}

} // namespace
} // namespace jasminepier::tests
