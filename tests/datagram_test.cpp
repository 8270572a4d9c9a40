#include "inner_protocol/datagram.hpp"
#include "membership/record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminepier::inner_protocol
{
namespace
{

member_record some_record(std::int64_t number)
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

bool accepted(std::string const& bytes)
{
    return base::handle(
        [&]() -> base::result<bool>
        {
            BOOST_LEAF_CHECK(decode_datagram(bytes));
            return true;
        },
        [](base::error const&) { return false; });
}

gossip_datagram some_datagram(std::int64_t number)
{
    gossip_datagram message;
    message.sender = "node-1";
    message.sequence = number;
    message.members_hash = number;
    message.members = {some_record(number), some_record(number / 2)};
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

// Guards against datagrams longer than the limit, which is kept by the sizes computed here.
RC_GTEST_PROP(datagram, computed_sizes_are_upper_bounds, ())
{
    auto const message = some_datagram(*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 52U));
    std::size_t bound = membership::header_size(message);
    for (auto const& record : message.members)
        bound += membership::wire_size(record);
    bound += membership::wire_size(message.loads[0]) + membership::wire_size(message.crashes[0]);
    RC_ASSERT(encode_datagram(message).size() <= bound);
    RC_ASSERT(accepted(encode_datagram(message)));
}

// Guards against malformed datagrams that end the process or exhaust memory.
RC_GTEST_PROP(datagram, damaged_bytes_are_refused_or_valid, ())
{
    auto bytes = encode_datagram(some_datagram(*rc::gen::inRange(0, 1000000)));
    auto const damages = *rc::gen::inRange(1, 20);
    for (int i = 0; i < damages; ++i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    accepted(bytes);
    accepted(*rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
}

// Guards against values that would break the state machine: an incarnation that cannot be exceeded,
// states outside the enumeration, names and addresses that are none.
TEST(datagram, values_out_of_range_are_refused)
{
    auto const refused = [](auto&& change)
    {
        auto message = some_datagram(7);
        change(message);
        return !accepted(encode_datagram(message));
    };
    EXPECT_FALSE(refused([](gossip_datagram&) {}));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.members[0].incarnation = INT64_MAX; }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.members[0].state = member_state::type(9); }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.members[0].host = "not-an-address"; }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.members[0].gossip_port = 70000; }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.members[0].node_id.clear(); }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.sender = "a\nb"; }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.kind = datagram_kind::type(8); }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.loads[0].state = 4; }));
    EXPECT_TRUE(refused([](gossip_datagram& m) { m.target = std::string(1300, 'x'); }));
}

} // namespace jasminepier::inner_protocol
