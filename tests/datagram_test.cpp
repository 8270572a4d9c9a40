#include "inner_protocol/datagram.hpp"
#include "membership/record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminepier::inner_protocol
{
namespace
{

member_record make_record(std::int64_t number)
{
    member_record record;
    record.node_id = "node-" + std::to_string(number);
    record.incarnation = number;
    record.zone = std::string(std::size_t(number % 120), 'z');
    record.host = "10.1.2.3";
    record.gossip_port = 7000;
    record.applied_revision = number * 3;
    return record;
}

bool is_accepted(std::string const& bytes)
{
    return base::handle(
        [&]() -> base::result<bool>
        {
            BOOST_LEAF_CHECK(decode_datagram(bytes));
            return true;
        },
        [](base::error const&) { return false; });
}

gossip_datagram make_datagram(std::int64_t number)
{
    gossip_datagram message;
    message.sender = "node-1";
    message.sequence = number;
    message.members_hash = number;
    message.members = {make_record(number), make_record(number / 2)};
    load_digest digest;
    digest.server_id = "engine-1";
    digest.models = {"demo", "other"};
    message.loads = {digest};
    crash_record crash;
    crash.fingerprint = -number;
    crash.server_id = "engine-1";
    message.crashes = {crash};
    return message;
}

} // namespace

// Gossip fills datagrams by these computed sizes; one that is too small makes datagrams too long.
RC_GTEST_PROP(datagram, encoded_size_is_at_most_the_computed_size, ())
{
    auto const message = make_datagram(*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 52U));
    std::size_t size_limit = membership::maximum_header_size(message);
    for (auto const& record : message.members)
        size_limit += membership::maximum_encoded_size(record);
    size_limit += membership::maximum_encoded_size(message.loads[0]) +
                  membership::maximum_encoded_size(message.crashes[0]);
    RC_ASSERT(encode_datagram(message).size() <= size_limit);
    RC_ASSERT(is_accepted(encode_datagram(message)));
}

// Guards against malformed datagrams that crash the process or exhaust its memory.
RC_GTEST_PROP(datagram, decoding_corrupted_bytes_does_not_crash, ())
{
    auto bytes = encode_datagram(make_datagram(*rc::gen::inRange(0, 1000000)));
    auto const damaged_bytes = *rc::gen::inRange(1, 20);
    for (int i = 0; i < damaged_bytes; ++i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    is_accepted(bytes);
    is_accepted(*rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
}

// Guards against values that would break the membership protocol: an incarnation that can't be
// exceeded, states outside the enumeration, invalid names and addresses.
TEST(datagram, rejects_values_out_of_range)
{
    auto const is_rejected = [](auto&& modify)
    {
        auto message = make_datagram(7);
        modify(message);
        return !is_accepted(encode_datagram(message));
    };
    EXPECT_FALSE(is_rejected([](gossip_datagram&) {}));
    EXPECT_TRUE(
        is_rejected([](gossip_datagram& message) { message.members[0].incarnation = INT64_MAX; }));
    EXPECT_TRUE(is_rejected([](gossip_datagram& message)
                            { message.members[0].state = member_state::type(9); }));
    EXPECT_TRUE(
        is_rejected([](gossip_datagram& message) { message.members[0].host = "not-an-address"; }));
    EXPECT_TRUE(
        is_rejected([](gossip_datagram& message) { message.members[0].gossip_port = 70000; }));
    EXPECT_TRUE(is_rejected([](gossip_datagram& message) { message.members[0].node_id.clear(); }));
    EXPECT_TRUE(is_rejected([](gossip_datagram& message) { message.sender = "a\nb"; }));
    EXPECT_TRUE(
        is_rejected([](gossip_datagram& message) { message.kind = datagram_kind::type(8); }));
    EXPECT_TRUE(is_rejected([](gossip_datagram& message) { message.loads[0].state = 4; }));
    EXPECT_TRUE(
        is_rejected([](gossip_datagram& message) { message.target = std::string(1300, 'x'); }));
}

// Guards against reports of older nodes that are rejected because they lack newer fields, and
// against ages that get lost on the way.
TEST(datagram, reads_node_reports_with_and_without_details_of_crashes)
{
    node_report report;
    report.node = "n";
    report.caller_address = "10.1.2.3:80";
    report.peer_port = 7000;
    crash_record crash;
    crash.fingerprint = 7;
    crash.server_id = "i-1";
    crash.age_seconds = 2;
    report.crashes.push_back(crash);
    auto const decode = [&]
    {
        return base::handle([&] { return decode_node_report(encode_node_report(report)); },
                            [](base::error const&) { return node_report{}; });
    };
    auto const older = decode();
    ASSERT_EQ(older.crashes.size(), 1U);
    EXPECT_FALSE(older.crashes[0].__isset.age_milliseconds);
    EXPECT_TRUE(older.answered_parts.empty());
    report.crashes[0].__set_age_milliseconds(1500);
    answered_part answered;
    answered.part = -3;
    answered.age_milliseconds = 20;
    report.__set_answered_parts({answered});
    EXPECT_EQ(decode(), report);
    report.answered_parts[0].age_milliseconds = -1;
    EXPECT_EQ(decode(), node_report{});
}

} // namespace jasminepier::inner_protocol
