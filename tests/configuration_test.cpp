#include "configuration/versioned_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace jasminepier::configuration
{

// Guards against a configuration that reverts after a stale, repeated or reordered message.
RC_GTEST_PROP(versioned_store, keeps_highest_versions_when_messages_are_reordered, ())
{
    std::vector<store::object> history;
    auto const count = *rc::gen::inRange(1, 40);
    for (int i = 1; i <= count; ++i)
        history.push_back({"zone", std::to_string(*rc::gen::inRange(0, 4)), i,
                           "{\"value\":" + std::to_string(i) + "}", *rc::gen::arbitrary<bool>()});
    versioned_store in_order;
    in_order.merge(history);
    auto shuffled = history;
    for (std::size_t i = shuffled.size(); i > 1; --i)
        std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
    versioned_store reordered;
    for (auto const& object : shuffled)
    {
        std::vector<store::object> const single{object, shuffled.front()};
        reordered.merge(single);
    }
    RC_ASSERT(reordered.revision() == in_order.revision());
    for (auto const& object : in_order.objects_newer_than(0))
    {
        auto const* expected = in_order.find(object.kind, object.name);
        auto const* actual = reordered.find(object.kind, object.name);
        RC_ASSERT((expected == nullptr) == (actual == nullptr));
        if (expected != nullptr)
            RC_ASSERT(expected->value == actual->value);
    }
}

// Guards against copies on two nodes that differ without being detected.
TEST(versioned_store, digests_are_equal_only_for_equal_entries)
{
    versioned_store first;
    versioned_store second;
    std::vector<store::object> const objects{{"server", "a", 1, "{}", false},
                                             {"server", "b", 2, "{}", false},
                                             {"zone", "z", 3, "{}", false}};
    first.merge(objects);
    second.merge({&objects[1], 1});
    EXPECT_NE(first.digest("server"), second.digest("server"));
    second.merge({objects.data(), 1});
    EXPECT_EQ(first.digest("server"), second.digest("server"));
    store::object const removed{"server", "a", 4, "", true};
    second.merge({&removed, 1});
    EXPECT_NE(first.digest("server"), second.digest("server"));
}

} // namespace jasminepier::configuration
