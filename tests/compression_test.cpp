/// Compression of the objects that nodes send to each other.
#include "base/compression.hpp"
#include "inner_protocol/compressed_value_cache.hpp"
#include "inner_protocol/conversion.hpp"
#include "tests/support/large_configuration.hpp"

#include <gtest/gtest.h>

namespace jasminepier::base
{
namespace
{

constexpr std::size_t size_limit = std::size_t{8} * 1024 * 1024;

std::optional<std::string> try_decompress(std::string_view bytes, std::size_t maximum_size)
{
    return handle(
        [&]() -> result<std::optional<std::string>>
        {
            BOOST_LEAF_AUTO(text, decompress(bytes, maximum_size));
            return std::optional(std::move(text));
        },
        [](error const&) { return std::optional<std::string>(); });
}

TEST(compression, text_survives_a_round_trip)
{
    for (auto const& text :
         {std::string("a"), std::string(100'000, 'x'), tests::make_large_configuration(1400)})
        EXPECT_EQ(try_decompress(compress(text), size_limit), text);
}

// Guards against a configuration that outlasts the time limit of a pull on a slow link (issue 57).
TEST(compression, large_configuration_shrinks_to_a_fifth)
{
    auto const text = tests::make_large_configuration(1400);
    EXPECT_LE(compress(text).size(), text.size() / 5);
}

TEST(compression, damaged_or_incomplete_bytes_are_rejected)
{
    auto const compressed = compress(tests::make_large_configuration(100));
    auto const half = std::string_view(compressed).substr(0, compressed.size() / 2);
    EXPECT_FALSE(try_decompress(half, size_limit));
    EXPECT_FALSE(try_decompress("not compressed", size_limit));
    EXPECT_FALSE(try_decompress("", size_limit));
    auto damaged = compressed;
    damaged[damaged.size() / 2] = static_cast<char>(~damaged[damaged.size() / 2]);
    EXPECT_FALSE(try_decompress(damaged, size_limit));
}

// Guards against a small message that fills the memory of a node.
TEST(compression, text_over_the_limit_is_rejected)
{
    EXPECT_FALSE(try_decompress(compress(std::string(1'000'000, 'x')), 999'999));
    EXPECT_TRUE(try_decompress(compress(std::string(1'000'000, 'x')), 1'000'000));
}

TEST(compression, objects_are_the_same_after_a_pull)
{
    inner_protocol::compressed_value_cache cache;
    store::object const large{"config", "main", 7, tests::make_large_configuration(200), false};
    store::object const small{"servers", "s0", 8, "{\"a\":1}", false};
    for (int repeat = 0; repeat < 2; ++repeat)
    {
        std::vector<inner_protocol::configuration_object> const sent{cache.convert(large),
                                                                     cache.convert(small)};
        EXPECT_TRUE(sent[0].value_json.empty());
        EXPECT_FALSE(sent[1].__isset.compressed_value);
        auto const received = inner_protocol::from_thrift(sent);
        ASSERT_EQ(received.size(), 2U);
        EXPECT_EQ(received[0].value, large.value);
        EXPECT_EQ(received[1].value, small.value);
    }
}

// Guards against a damaged object that is taken for an empty configuration.
TEST(compression, object_with_a_damaged_value_is_left_out)
{
    inner_protocol::configuration_object damaged;
    damaged.kind = "config";
    damaged.__set_compressed_value("not compressed");
    EXPECT_TRUE(inner_protocol::from_thrift({damaged}).empty());
}

} // namespace
} // namespace jasminepier::base
