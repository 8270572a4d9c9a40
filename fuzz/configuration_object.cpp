/// Fuzzes the parsers of configuration objects. The first byte selects the kind, the rest is the
/// value.
#include "base/log.hpp"
#include "configuration/snapshot.hpp"
#include "fuzz/harness.hpp"

namespace
{

using namespace jasminepier;

/// A valid preset must be unchanged after writing and parsing it, since activation does both.
void check_preset_round_trip(std::string const& text)
{
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(source, base::parse_json_object(text));
            BOOST_LEAF_AUTO(preset, configuration::parse_preset("p", source));
            auto const json = base::write_json(configuration::to_json(preset));
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    BOOST_LEAF_AUTO(second_source, base::parse_json_object(json));
                    BOOST_LEAF_AUTO(second_preset, configuration::parse_preset("p", second_source));
                    fuzz::require(base::write_json(configuration::to_json(second_preset)) == json);
                    return {};
                });
            return {};
        });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    if (size == 0)
        return 0;
    // Rejected objects are logged as errors, so disable logging: 4 is above the highest level.
    static bool const logging_disabled =
        (base::configure_logging(static_cast<base::log_level>(4)), true);
    fuzz::require(logging_disabled);
    auto const& kinds = configuration::replicated_kinds();
    std::string const value(fuzz::as_text(data + 1, size - 1));
    std::string const& kind = kinds[data[0] % kinds.size()];
    std::string const name = kind == "active-preset" ? "current" : "event-id";
    configuration::versioned_store store;
    std::vector<store::object> const objects{{kind, name, 1, value, false}};
    store.merge(objects);
    auto const snapshot = configuration::build_snapshot(store, nullptr);
    fuzz::require(snapshot->revision == 1);
    check_preset_round_trip(value);
    return 0;
}
