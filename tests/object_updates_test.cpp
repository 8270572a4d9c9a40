/// Application of the store's objects to the tables of a node. No network.
#include "base/log.hpp"
#include "platform/objects.hpp"
#include "services/node/object_updates.hpp"

#include <gtest/gtest.h>

#include <barrier>
#include <thread>

namespace jasminepier::node
{
namespace
{

store::object_page make_page(std::string const& kind, std::string const& name,
                             std::int64_t revision, bool deleted)
{
    store::object_page page;
    page.version = revision;
    page.objects.push_back({kind, name, revision, "{}", deleted});
    return page;
}

// Guards against an evacuation that stays in force after its removal, or the other way round, since
// the watch and a datagram brought the two changes at the same time.
TEST(object_updates, concurrent_changes_end_with_the_newest)
{
    base::configure_logging(base::log_level::warning);
    node_settings settings;
    settings.name = "self";
    node_state state(settings);
    constexpr int rounds = 2000;
    std::barrier round_start(2);
    auto const apply = [&](int thread)
    {
        for (int round = 1; round <= rounds; ++round)
        {
            round_start.arrive_and_wait();
            auto const revision = 2 * round + thread;
            apply_changes(state, platform::evacuation_kind,
                          make_page(platform::evacuation_kind, "zone-" + std::to_string(round),
                                    revision, thread == 1));
        }
    };
    std::thread other([&] { apply(1); });
    apply(0);
    other.join();
    state.with([&](node_state::tables& tables)
               { EXPECT_EQ(tables.dispatcher.evacuated_zones(), std::set<std::string>{}); });
}

} // namespace
} // namespace jasminepier::node
