/// Which version of its service began a stream.
#pragma once

#include "base/clock.hpp"
#include "base/hash.hpp"
#include "serving/version_hash.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminepier::serving
{

/// Identifies a stream by the id of the request that brought its first event.
constexpr std::uint64_t hash_stream(std::string_view request_id) noexcept
{
    return base::stable_hash(request_id);
}

struct stream_origin
{
    std::uint64_t stream = 0;
    version_hash version = 0;

    friend bool operator==(stream_origin const&, stream_origin const&) = default;
};

/// The streams that this node and its peers have begun. A stream's origin is recorded once its
/// first event goes to the caller and never changes. Not synchronized.
class stream_origin_table
{
public:
    /// Reports that contain an origin, since datagrams may be lost.
    static constexpr int reports_per_origin = 3;
    /// Origins are part of the summaries to other zones for this time, which covers two of them.
    static constexpr base::milliseconds summary_period{2500};
    /// Beyond this number the oldest origins are forgotten.
    static constexpr std::size_t maximum_origins = 50'000;

    /// Records a stream that this node has begun or continued.
    void record(std::string_view request_id, std::string_view service, version_hash version,
                base::time_point now);
    /// Records what peers of this node's zone, or other zones, have reported.
    void merge(std::span<stream_origin const> origins, bool from_own_zone, base::time_point now);
    std::optional<version_hash> find(std::string_view request_id) const;

    /// Returns up to `limit` of this node's origins that belong in the next report. Those of
    /// services for which `is_shared(service)` is false stay.
    template <class Predicate>
    std::vector<stream_origin> take_report(std::size_t limit, Predicate&& is_shared);
    /// Returns up to `limit` of the latest origins of this node's zone, for the other zones.
    std::vector<stream_origin> summarize(std::size_t limit, base::time_point now) const;
    /// Forgets the origins that are older than `window`.
    void expire(base::milliseconds window, base::time_point now);
    std::size_t size() const noexcept { return m_origins.size(); }

private:
    struct dated_origin
    {
        stream_origin origin;
        bool from_own_zone = true;
        base::time_point time{};
    };
    struct pending_origin
    {
        stream_origin origin;
        std::string service;
        int remaining_reports = reports_per_origin;
    };

    void add(stream_origin origin, bool from_own_zone, base::time_point now);
    void forget_oldest();

    std::unordered_map<std::uint64_t, dated_origin> m_origins;
    /// The streams in the order in which they were recorded, the latest last. A stream that was
    /// recorded again appears again.
    std::deque<std::pair<base::time_point, std::uint64_t>> m_order;
    std::deque<pending_origin> m_pending;
};

template <class Predicate>
std::vector<stream_origin> stream_origin_table::take_report(std::size_t limit,
                                                            Predicate&& is_shared)
{
    std::vector<stream_origin> report;
    auto const count = m_pending.size();
    for (std::size_t i = 0; i < count && report.size() < limit; ++i)
    {
        auto pending = std::move(m_pending.front());
        m_pending.pop_front();
        // A stream that has been forgotten can't be taken up.
        if (!m_origins.contains(pending.origin.stream))
            continue;
        if (is_shared(pending.service))
        {
            report.push_back(pending.origin);
            --pending.remaining_reports;
        }
        if (pending.remaining_reports > 0)
            m_pending.push_back(std::move(pending));
    }
    return report;
}

} // namespace jasminepier::serving
