/// Objects of the configuration. The first byte chooses the kind, the rest is the value.
#include "base/log.hpp"
#include "configuration/snapshot.hpp"
#include "fuzz/harness.hpp"

namespace
{

using namespace jasminepier;

/// A preset that is accepted must survive being written and read again, or activation would change
/// it.
void check_preset(std::string const& text)
{
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(source, base::parse_json_object(text));
            BOOST_LEAF_AUTO(parsed, configuration::parse_preset("p", source));
            auto const written = base::write_json(configuration::to_json(parsed));
            fuzz::require_success(
                [&]() -> base::result<void>
                {
                    BOOST_LEAF_AUTO(reread_source, base::parse_json_object(written));
                    BOOST_LEAF_AUTO(reread, configuration::parse_preset("p", reread_source));
                    fuzz::require(base::write_json(configuration::to_json(reread)) == written);
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
    // Rejected objects are logged as errors; the log is not under test.
    static bool const quiet = (base::configure_logging(static_cast<base::log_level>(4)), true);
    fuzz::require(quiet);
    auto const& kinds = configuration::replicated_kinds();
    std::string const value(fuzz::as_text(data + 1, size - 1));
    std::string const& kind = kinds[data[0] % kinds.size()];
    std::string const name = kind == "active-preset" ? "current" : "event-id";
    configuration::versioned_store store;
    std::vector<store::object> const objects{{kind, name, 1, value, false}};
    store.merge(objects);
    auto const snapshot = configuration::build_snapshot(store, nullptr);
    fuzz::require(snapshot->revision == 1);
    check_preset(value);
    return 0;
}
