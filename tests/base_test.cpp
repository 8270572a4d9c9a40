#include "base/error.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/ordered_mutex.hpp"

#include <gtest/gtest.h>

#include <string>

namespace jasminepier::base
{

// Rows are looked up by the value of the kind, so a row out of order gives the wrong response.
TEST(error_table, rows_are_in_the_order_of_the_enumeration)
{
    int expected_index = 0;
    for (auto const& row : error_response_table())
        EXPECT_EQ(static_cast<int>(row.kind), expected_index++);
}

// All nodes must compute the same hash, since it decides which node owns a key.
TEST(hash, is_equal_for_equal_text_and_hmac_matches_reference_value)
{
    EXPECT_EQ(stable_hash("jasminepier"), stable_hash(std::string("jasminepier")));
    EXPECT_NE(rendezvous_weight("a", "b"), rendezvous_weight("b", "a"));
    EXPECT_EQ(hmac_sha256_hex("key", "The quick brown fox jumps over the lazy dog"),
              "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
}

// Guards against a stack overflow from deeply nested documents that callers send.
TEST(json, rejects_deep_nesting)
{
    std::string const deep = "{\"a\":" + std::string(100, '[') + std::string(100, ']') + "}";
    auto const rejected = handle(
        [&]() -> result<bool>
        { return parse_json_object(deep).has_value() ? result<bool>(false) : result<bool>(true); },
        [](error const&) { return true; });
    EXPECT_TRUE(rejected);
}

// Guards against two locks that are taken in both orders, which can deadlock under load.
TEST(ordered_mutex, throws_on_wrong_order_and_stays_usable)
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
    std::lock_guard const lock_after_failure(outer);
}

// Guards against a document that cannot be read because of one value in it.
TEST(json, replaces_members_that_cannot_be_parsed)
{
    auto const replace = [](std::string const& text)
    { return replace_unreadable_members(text, "v"); };
    EXPECT_EQ(replace(R"({"a":[{"v":1e999,"b":2},{"v":{"c":"}"}}]})"),
              R"({"a":[{"v":null,"b":2},{"v":{"c":"}"}}]})");
    EXPECT_EQ(replace(R"({"v" : [1, 99999999999999999999999] , "b":"v"})"),
              R"({"v" : null , "b":"v"})");
    auto const deep = std::string(100000, '[') + std::string(100000, ']');
    EXPECT_EQ(replace(R"({"x":"\\","v":)" + deep + "}"), R"({"x":"\\","v":null})");
    // Readable values, other members and text that is cut off.
    for (std::string const text : {R"({"v":[1,{"v":2}]})", R"({"w":1e999})", R"({"v")", ""})
        EXPECT_EQ(replace(text), text);
    replace(R"({"v":")");
    replace(R"({"v":[{)");
}

} // namespace jasminepier::base
