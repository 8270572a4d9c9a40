/// Fuzzes the parser of load reports, the responses to `GET /load`.
#include "backend/load_report.hpp"

#include "fuzz/harness.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    fuzz::run_parser(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(report, backend::parse_load_report(fuzz::as_text(data, size)));
            fuzz::require(report.running >= 0 && report.waiting >= 0 && report.max_running >= 0);
            fuzz::require(report.kv_used_tokens >= 0 && report.kv_capacity_tokens >= 0);
            fuzz::require(report.cold_capacity >= 0 && report.preemptions >= 0);
            fuzz::require(report.state != backend::server_state::unreachable);
            return {};
        });
    return 0;
}
