/// The requests that wait for room, at this node and at others, and how often each kind is served.
#pragma once

#include "serving/admission_order.hpp"
#include "serving/peer_load_table.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// Requests of one service and rank that wait at a node or in a zone.
struct waiting_report
{
    /// `hash_server` of the service's name.
    std::int32_t service = 0;
    admission_rank rank = 0;
    waiting_demand demand;

    friend bool operator==(waiting_report const&, waiting_report const&) = default;
};

using waiting_ticket = std::uint64_t;

/// Decides which waiting request goes first. Reports of other nodes count until they are replaced
/// or too old; losing one only means that room is given away earlier. Not synchronized.
class waiting_table
{
public:
    /// Reports older than this don't count: nodes of a zone report at least twice a second, and
    /// zones once a second.
    static constexpr base::milliseconds report_lifetime{700};
    static constexpr base::milliseconds summary_lifetime{1300};
    /// Requests that may wait at this node for one service.
    static constexpr std::size_t maximum_waiting = 128;
    /// Decay time of the counts of served and rejected requests.
    static constexpr std::chrono::seconds history_period{10};

    /// Adds a request. Returns nothing if the service's list is full of requests that are admitted
    /// before this one. Otherwise the last one of a full list loses its place.
    std::optional<waiting_ticket> add(std::string_view service, admission_request const& request,
                                      base::time_point now);
    void remove(waiting_ticket ticket) { m_local.erase(ticket); }
    /// True if the request has lost its place to one that is admitted earlier.
    bool displaced(waiting_ticket ticket) const { return !m_local.contains(ticket); }
    std::size_t count_local(std::string_view service) const;

    /// Returns the rank of a request of the service.
    admission_rank rank(std::string_view service, admission_request const& request,
                        base::time_point now) const;
    /// Returns the requests that are admitted before `request`: those of better rank at this node,
    /// those of the same rank that are due earlier, and at other nodes those of better priority.
    /// Reports are too old to tell the stages of waiting apart. `own` is the request's place in the
    /// list, if it has one.
    waiting_demand better_than(std::string_view service, admission_request const& request,
                               std::optional<waiting_ticket> own, base::time_point now) const;
    /// Returns all waiting requests of the service, here and elsewhere.
    waiting_demand all(std::string_view service, base::time_point now) const;

    std::vector<waiting_report> local_reports(base::time_point now) const;
    /// Returns the sums over this node and those that report to it directly, for other zones.
    std::vector<waiting_report> zone_reports(base::time_point now) const;
    /// Replaces the source's earlier reports.
    void merge(load_source const& source, std::span<waiting_report const> reports,
               base::time_point now);
    void remove_source(load_source const& source) { m_reports.erase(source); }

    /// Records how long a server of the service took to respond, or to send a first event.
    void record_response(std::string_view service, base::milliseconds elapsed);
    /// Records how long a request held its place at a server.
    void record_duration(std::string_view service, base::milliseconds elapsed);
    base::milliseconds expected_response(std::string_view service) const;
    std::optional<base::milliseconds> mean_duration(std::string_view service) const;

    /// Records whether a request was sent to a server or rejected for want of room.
    void record_decision(std::string_view service, admission_request const& request, bool admitted,
                         base::time_point now);
    /// True if requests of this priority, or of this size within the priority, have been served
    /// much less often than all of the service.
    bool is_underserved(std::string_view service, admission_request const& request,
                        base::time_point now) const;

private:
    struct waiting_entry
    {
        std::string service;
        admission_request request;
    };
    struct source_reports
    {
        std::vector<waiting_report> reports;
        base::time_point received{};
    };
    /// Decayed counts of requests that were admitted or rejected.
    struct decision_counts
    {
        double admitted = 0;
        double rejected = 0;
        base::time_point updated{};

        decision_counts at(base::time_point now) const;
        void add(bool was_admitted, base::time_point now);
        double total() const noexcept { return admitted + rejected; }
        double served_share() const noexcept { return total() > 0 ? admitted / total() : 1; }
    };
    struct priority_history
    {
        decision_counts all;
        decision_counts large;
        double mean_tokens = 0;
    };
    struct service_history
    {
        decision_counts all;
        /// By `priority_position`.
        std::map<int, priority_history> priorities;
        std::optional<double> response_milliseconds;
        std::optional<double> duration_milliseconds;
    };

    static bool is_large(priority_history const& history,
                         admission_request const& request) noexcept;
    static bool counts(load_source const& source, source_reports const& reports,
                       base::time_point now) noexcept;
    service_history const* find_history(std::string_view service) const;
    service_history& history(std::string_view service);

    std::map<waiting_ticket, waiting_entry> m_local;
    waiting_ticket m_next_ticket = 1;
    std::map<load_source, source_reports> m_reports;
    std::map<std::string, service_history, std::less<>> m_histories;
};

} // namespace jasminepier::serving
