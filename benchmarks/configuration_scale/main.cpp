/// Measures the time that one configuration change takes on a node (merging it and building the
/// snapshot) and the memory of store and snapshot, at several fleet sizes.
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

/// Returns the memory in use, as the allocator counts it. Resident memory would include pages that
/// an earlier, larger fleet size has freed.
double allocated_megabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

std::string to_text(int value)
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
        add("zone", "zone-" + to_text(i),
            R"({"region":"region-)" + to_text(i % 5) + R"(","state":"in_service"})");
    for (int i = 0; i < 15; ++i)
        add("service", "service-" + to_text(i),
            R"({"type":"model","models":["model-)" + to_text(i) + "\"]}");
    for (int i = 0; i < size.servers; ++i)
        add("server", "server-" + to_text(i),
            R"({"service":"service-)" + to_text(i % 15) + R"(","zone":"zone-)" + to_text(i % 16) +
                R"(","host":"10.0.0.1","port":9000,"state":"live"})");
    for (int i = 0; i < size.nodes; ++i)
        add("node", "node-" + to_text(i),
            R"({"zone":"zone-)" + to_text(i % 16) +
                R"(","host":"10.0.0.2","gossip_port":1,"control_port":2,"entry_port":3,)"
                R"("entry_peer_port":4,"state":"live"})");
    for (int i = 0; i < size.customers; ++i)
        add("customer", "customer-" + to_text(i),
            R"({"api_key_sha256":")" + configuration::api_key_digest(to_text(i)) +
                R"(","weight":1,"default_work_kind":"question"})");
    return objects;
}

std::size_t merge_objects(configuration::versioned_store& store, fleet const& size)
{
    auto const objects = make_objects(size);
    store.merge(objects);
    return objects.size();
}

void measure(fleet const& size)
{
    double const memory_before = allocated_megabytes();
    configuration::versioned_store store;
    std::size_t const count = merge_objects(store, size);
    auto snapshot = configuration::build_snapshot(store, nullptr);
    double const memory_after = allocated_megabytes();
    constexpr int changes = 20;
    auto const start = std::chrono::steady_clock::now();
    for (int i = 0; i < changes; ++i)
    {
        std::vector<store::object> const change{
            {"zone", "zone-1", store.revision() + 1,
             R"({"region":"region-1","state":"out_of_service"})", false}};
        store.merge(change);
        snapshot = configuration::build_snapshot(store, snapshot.get());
    }
    double const milliseconds =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
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
