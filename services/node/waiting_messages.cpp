#include "services/node/waiting_messages.hpp"

#include <algorithm>

namespace jasminepier::node
{
namespace
{

// An entry takes about 15 bytes. A node rarely has more than two services that are short of room,
// with a few ranks each.
constexpr std::size_t maximum_entries = 8;
// More waiting requests or memory than any fleet has.
constexpr std::int32_t maximum_requests = 100'000;
constexpr std::int64_t maximum_tokens = 1'000'000'000;
constexpr std::int32_t maximum_rank = 10'000;

} // namespace

void add_waiting_work(std::span<serving::waiting_report const> reports,
                      inner_protocol::node_report& message)
{
    if (reports.empty())
        return;
    std::vector<serving::waiting_report> sorted(reports.begin(), reports.end());
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](auto const& left, auto const& right) { return left.rank < right.rank; });
    sorted.resize(std::min(sorted.size(), maximum_entries));
    for (auto const& report : sorted)
    {
        inner_protocol::waiting_work work;
        work.service_hash = report.service;
        work.rank = report.rank;
        work.requests = static_cast<std::int32_t>(
            std::min<std::int64_t>(report.demand.requests, maximum_requests));
        work.tokens = std::min(report.demand.tokens, maximum_tokens);
        message.waiting.push_back(work);
    }
    message.__isset.waiting = true;
}

std::vector<serving::waiting_report> read_waiting_work(inner_protocol::node_report const& message)
{
    std::vector<serving::waiting_report> reports;
    for (auto const& work : message.waiting)
    {
        bool const valid = work.requests > 0 && work.requests <= maximum_requests &&
                           work.tokens >= 0 && work.tokens <= maximum_tokens && work.rank >= 0 &&
                           work.rank <= maximum_rank;
        if (valid && reports.size() < maximum_entries)
            reports.push_back({work.service_hash, work.rank, {work.requests, work.tokens}});
    }
    return reports;
}

} // namespace jasminepier::node
