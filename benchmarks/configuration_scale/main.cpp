/// Measures the cost of one configuration change on a node: merging it and building the snapshot,
/// and the memory of store and snapshot, at several sizes of fleet.
#include "base/settings.hpp"
#include "configuration/snapshot.hpp"

#include <chrono>
#include <iostream>
#include <malloc.h>

namespace
{

using namespace jasminepier;

struct fleet
{
    int servers = 0;
    int nodes = 0;
    int customers = 0;
};

/// Memory that the program holds from the allocator, unlike the resident size, which includes what
/// an earlier and larger size left behind.
double allocated_megabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

std::string number(int value)
{
    return std::to_string(value);
}

std::vector<store::object> make_objects(fleet const& size)
{
    std::vector<store::object> objects;
    auto add = [&](std::string const& kind, std::string const& name, std::string const& value) {
        objects.push_back(
            {kind, name, static_cast<std::int64_t>(objects.size()) + 1, value, false});
    };
    for (int i = 0; i < 16; ++i)
        add("zone", "zone-" + number(i),
            R"({"region":"region-)" + number(i % 5) + R"(","state":"in_service"})");
    for (int i = 0; i < 15; ++i)
        add("service", "service-" + number(i),
            R"({"type":"model","models":["model-)" + number(i) + "\"]}");
    for (int i = 0; i < size.servers; ++i)
        add("server", "server-" + number(i),
            R"({"service":"service-)" + number(i % 15) + R"(","zone":"zone-)" + number(i % 16) +
                R"(","host":"10.0.0.1","port":9000,"state":"live"})");
    for (int i = 0; i < size.nodes; ++i)
        add("node", "node-" + number(i),
            R"({"zone":"zone-)" + number(i % 16) +
                R"(","host":"10.0.0.2","gossip_port":1,"control_port":2,"entry_port":3,)"
                R"("entry_peer_port":4,"state":"live"})");
    for (int i = 0; i < size.customers; ++i)
        add("customer", "customer-" + number(i),
            R"({"api_key_sha256":")" + configuration::api_key_digest(number(i)) +
                R"(","weight":1,"default_work_kind":"question"})");
    return objects;
}

std::size_t fill(configuration::versioned_store& store, fleet const& size)
{
    auto const objects = make_objects(size);
    store.merge(objects);
    return objects.size();
}

void measure(fleet const& size)
{
    double const memory_before = allocated_megabytes();
    configuration::versioned_store store;
    std::size_t const count = fill(store, size);
    auto snapshot = configuration::build_snapshot(store, nullptr);
    double const memory_after = allocated_megabytes();
    constexpr int changes = 20;
    auto const started = std::chrono::steady_clock::now();
    for (int i = 0; i < changes; ++i)
    {
        std::vector<store::object> const changed{
            {"zone", "zone-1", store.revision() + 1,
             R"({"region":"region-1","state":"out_of_service"})", false}};
        store.merge(changed);
        snapshot = configuration::build_snapshot(store, snapshot.get());
    }
    double const milliseconds =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started)
            .count() /
        changes;
    std::cout << "servers=" << size.servers << " nodes=" << size.nodes
              << " customers=" << size.customers << " objects=" << count
              << " milliseconds_per_change=" << milliseconds
              << " microseconds_per_object=" << milliseconds * 1e3 / static_cast<double>(count)
              << " allocated_megabytes_added=" << memory_after - memory_before << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    base::settings_parser parser("Measures configuration changes at several sizes",
                                 "configuration-scale");
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    for (fleet const& size : {fleet{15, 8, 10}, fleet{200, 40, 160}, fleet{500, 100, 400},
                              fleet{1000, 200, 800}, fleet{2000, 400, 1600}})
        measure(size);
    return 0;
}
