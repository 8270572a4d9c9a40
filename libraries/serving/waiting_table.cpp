#include "serving/waiting_table.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jasminepier::serving
{
namespace
{

// Weight of the latest observation in the mean times and sizes.
constexpr double observation_weight = 0.1;
// A kind of request is underserved if it gets less than this part of the service's mean share of
// served requests. The platform permits a quarter for a priority and half for large requests.
constexpr double guarded_priority_share = 0.4;
constexpr double guarded_large_share = 0.7;
// Requests are large within their priority above this multiple of the mean; about a tenth of the
// generations are.
constexpr double large_request_factor = 1.5;
// Decisions below this number say nothing about a share.
constexpr double minimum_decisions = 4;

void observe(std::optional<double>& mean, base::milliseconds elapsed)
{
    auto const value = static_cast<double>(elapsed.count());
    mean = mean ? *mean + observation_weight * (value - *mean) : value;
}

using waiting_sums = std::map<std::pair<std::int32_t, admission_rank>, waiting_demand>;

std::vector<waiting_report> to_reports(waiting_sums const& sums)
{
    std::vector<waiting_report> reports;
    reports.reserve(sums.size());
    for (auto const& [key, demand] : sums)
        reports.push_back({key.first, key.second, demand});
    return reports;
}

std::optional<base::milliseconds> to_time(std::optional<double> const& mean)
{
    if (!mean)
        return std::nullopt;
    return base::milliseconds(std::llround(*mean));
}

} // namespace

waiting_table::decision_counts waiting_table::decision_counts::at(base::time_point now) const
{
    auto const elapsed = std::chrono::duration<double>(now - updated);
    auto const remaining =
        std::exp(-std::max(0.0, elapsed / std::chrono::duration<double>(history_period)));
    return {admitted * remaining, rejected * remaining, now};
}

void waiting_table::decision_counts::add(bool was_admitted, base::time_point now)
{
    *this = at(now);
    (was_admitted ? admitted : rejected) += 1;
}

std::optional<waiting_ticket>
waiting_table::add(std::string_view service, admission_request const& request, base::time_point now)
{
    auto const position = [&](admission_request const& other)
    { return std::tuple(rank(service, other, now), other.objective_end, other.tokens); };
    std::size_t waiting = 0;
    auto last = m_local.end();
    for (auto it = m_local.begin(); it != m_local.end(); ++it)
    {
        if (it->second.service != service)
            continue;
        ++waiting;
        if (last == m_local.end() || position(it->second.request) > position(last->second.request))
            last = it;
    }
    if (waiting >= maximum_waiting)
    {
        if (position(request) >= position(last->second.request))
            return std::nullopt;
        m_local.erase(last);
    }
    auto const ticket = m_next_ticket++;
    m_local.emplace(ticket, waiting_entry{std::string(service), request});
    return ticket;
}

std::size_t waiting_table::count_local(std::string_view service) const
{
    return static_cast<std::size_t>(std::count_if(m_local.begin(), m_local.end(),
                                                  [&](auto const& item)
                                                  { return item.second.service == service; }));
}

admission_rank waiting_table::rank(std::string_view service, admission_request const& request,
                                   base::time_point now) const
{
    return rank_request(request, expected_response(service), is_underserved(service, request, now),
                        now);
}

bool waiting_table::counts(load_source const& source, source_reports const& reports,
                           base::time_point now) noexcept
{
    return now < reports.received + (source.is_zone_summary() ? summary_lifetime : report_lifetime);
}

waiting_demand waiting_table::better_than(std::string_view service,
                                          admission_request const& request,
                                          std::optional<waiting_ticket> own,
                                          base::time_point now) const
{
    waiting_demand better;
    if (m_local.empty() && m_reports.empty())
        return better;
    auto const own_rank = rank(service, request, now);
    for (auto const& [ticket, entry] : m_local)
    {
        if (ticket == own || entry.service != service)
            continue;
        auto const other_rank = rank(service, entry.request, now);
        // Requests of one kind that wait here keep the order in which their responses are due.
        bool const earlier = other_rank == own_rank &&
                             std::tuple(entry.request.objective_end, entry.request.tokens) <
                                 std::tuple(request.objective_end, request.tokens);
        if (other_rank < own_rank || earlier)
            better += {1, entry.request.tokens};
    }
    // A place for plain work is free again before a report of who waits for it arrives.
    if (request.tokens == 0)
        return better;
    auto const hash = hash_server(service);
    for (auto const& [source, reports] : m_reports)
        if (counts(source, reports, now))
            for (auto const& report : reports.reports)
                if (report.service == hash &&
                    rank_without_stage(report.rank) < rank_without_stage(own_rank))
                    better += report.demand;
    return better;
}

waiting_demand waiting_table::all(std::string_view service, base::time_point now) const
{
    waiting_demand total;
    for (auto const& report : local_reports(now))
        if (report.service == hash_server(service))
            total += report.demand;
    for (auto const& [source, reports] : m_reports)
        if (counts(source, reports, now))
            for (auto const& report : reports.reports)
                if (report.service == hash_server(service))
                    total += report.demand;
    return total;
}

std::vector<waiting_report> waiting_table::local_reports(base::time_point now) const
{
    waiting_sums sums;
    for (auto const& [ticket, entry] : m_local)
        sums[{hash_server(entry.service), rank(entry.service, entry.request, now)}] +=
            {1, entry.request.tokens};
    return to_reports(sums);
}

std::vector<waiting_report> waiting_table::zone_reports(base::time_point now) const
{
    waiting_sums sums;
    for (auto const& report : local_reports(now))
        sums[{report.service, report.rank}] += report.demand;
    for (auto const& [source, reports] : m_reports)
        if (!source.is_zone_summary() && counts(source, reports, now))
            for (auto const& report : reports.reports)
                sums[{report.service, report.rank}] += report.demand;
    return to_reports(sums);
}

void waiting_table::merge(load_source const& source, std::span<waiting_report const> reports,
                          base::time_point now)
{
    std::erase_if(m_reports,
                  [&](auto const& item) { return !counts(item.first, item.second, now); });
    if (reports.empty())
        m_reports.erase(source);
    else
        m_reports[source] = {{reports.begin(), reports.end()}, now};
}

waiting_table::service_history const* waiting_table::find_history(std::string_view service) const
{
    auto const found = m_histories.find(service);
    return found == m_histories.end() ? nullptr : &found->second;
}

waiting_table::service_history& waiting_table::history(std::string_view service)
{
    auto const found = m_histories.find(service);
    return found != m_histories.end() ? found->second : m_histories[std::string(service)];
}

void waiting_table::record_response(std::string_view service, base::milliseconds elapsed)
{
    observe(history(service).response_milliseconds, elapsed);
}

void waiting_table::record_duration(std::string_view service, base::milliseconds elapsed)
{
    observe(history(service).duration_milliseconds, elapsed);
}

base::milliseconds waiting_table::expected_response(std::string_view service) const
{
    auto const* const known = find_history(service);
    return known == nullptr ? base::milliseconds(0)
                            : to_time(known->response_milliseconds).value_or(base::milliseconds(0));
}

std::optional<base::milliseconds> waiting_table::mean_duration(std::string_view service) const
{
    auto const* const known = find_history(service);
    return known == nullptr ? std::nullopt : to_time(known->duration_milliseconds);
}

bool waiting_table::is_large(priority_history const& history,
                             admission_request const& request) noexcept
{
    return static_cast<double>(request.tokens) > large_request_factor * history.mean_tokens;
}

void waiting_table::record_decision(std::string_view service, admission_request const& request,
                                    bool admitted, base::time_point now)
{
    auto& known = history(service);
    known.all.add(admitted, now);
    auto& own = known.priorities[priority_position(request)];
    auto const tokens = static_cast<double>(request.tokens);
    if (own.all.total() == 0)
        own.mean_tokens = tokens;
    if (is_large(own, request))
        own.large.add(admitted, now);
    own.all.add(admitted, now);
    own.mean_tokens += observation_weight * (tokens - own.mean_tokens);
}

bool waiting_table::is_underserved(std::string_view service, admission_request const& request,
                                   base::time_point now) const
{
    auto const* const known = find_history(service);
    if (known == nullptr || known->all.rejected == 0)
        return false;
    auto const found = known->priorities.find(priority_position(request));
    if (found == known->priorities.end())
        return false;
    auto const falls_short =
        [&](decision_counts const& part, decision_counts const& whole, double guarded_share)
    {
        return part.at(now).total() >= minimum_decisions &&
               part.served_share() < guarded_share * whole.served_share();
    };
    auto const& own = found->second;
    return falls_short(own.all, known->all, guarded_priority_share) ||
           (is_large(own, request) && falls_short(own.large, own.all, guarded_large_share));
}

} // namespace jasminepier::serving
