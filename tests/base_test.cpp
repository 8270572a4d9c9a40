#include "base/error.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/ordered_mutex.hpp"

#include <gtest/gtest.h>

#include <string>

namespace jasminepier::base
{

// Guards against a row out of order, which would give a kind the answer of another.
TEST(error_table, rows_are_in_the_order_of_the_enumeration)
{
    int position = 0;
    for (auto const& row : error_response_table())
        EXPECT_EQ(static_cast<int>(row.kind), position++);
}

// Guards against a hash that differs between nodes or builds; ownership depends on equal values.
TEST(hash, is_the_same_on_every_machine)
{
    EXPECT_EQ(stable_hash("jasminepier"), stable_hash(std::string("jasminepier")));
    EXPECT_NE(rendezvous_weight("a", "b"), rendezvous_weight("b", "a"));
    EXPECT_EQ(hmac_sha256_hex("key", "The quick brown fox jumps over the lazy dog"),
              "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
}

// Guards against a stack overflow by nested documents sent by callers.
TEST(json, refuses_deep_nesting)
{
    std::string const deep = "{\"a\":" + std::string(100, '[') + std::string(100, ']') + "}";
    auto const refused = handle(
        [&]() -> result<bool>
        { return parse_json_object(deep).has_value() ? result<bool>(false) : result<bool>(true); },
        [](error const&) { return true; });
    EXPECT_TRUE(refused);
}

// Guards against two tables that are locked in both orders, which can deadlock under load.
TEST(ordered_mutex, refuses_the_wrong_order_and_recovers)
{
    ordered_mutex<lock_level::server_table> outer;
    ordered_mutex<lock_level::metrics> inner;
    {
        std::lock_guard const first(outer);
        std::lock_guard const second(inner);
    }
    {
        std::lock_guard const first(inner);
        EXPECT_THROW(outer.lock(), std::system_error);
        EXPECT_THROW(inner.lock(), std::system_error);
    }
    std::lock_guard const after(outer);
}

} // namespace jasminepier::base
