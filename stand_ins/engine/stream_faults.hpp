/// Faults that the stand-in engine injects into its event streams.
#pragma once

#include "base/json.hpp"

#include <atomic>
#include <cstdint>

namespace jasminepier::stand_ins
{

/// Each fault is injected once, when the event with this token index is due; -1 disables it. The
/// members are named like the JSON members that set them.
struct stream_faults
{
    /// Closes the connection before the event.
    std::atomic<std::int64_t> cut_at = -1;
    /// Sends nothing more while keeping the connection open for a minute.
    std::atomic<std::int64_t> stall_at = -1;
    std::atomic<std::int64_t> duplicate_at = -1;
    std::atomic<std::int64_t> skip_at = -1;
    /// Sends an event of another generation before the event.
    std::atomic<std::int64_t> cross_at = -1;

    /// Sets the faults that `source` names; the others stay as they are.
    void update(base::json_object const& source)
    {
        cut_at = source->optValue<Poco::Int64>("cut_at", cut_at);
        stall_at = source->optValue<Poco::Int64>("stall_at", stall_at);
        duplicate_at = source->optValue<Poco::Int64>("duplicate_at", duplicate_at);
        skip_at = source->optValue<Poco::Int64>("skip_at", skip_at);
        cross_at = source->optValue<Poco::Int64>("cross_at", cross_at);
    }

    /// Returns true and disables the fault if `index` is its token index.
    static bool try_trigger(std::atomic<std::int64_t>& fault, std::size_t index)
    {
        auto expected = static_cast<std::int64_t>(index);
        return fault.compare_exchange_strong(expected, -1);
    }
};

} // namespace jasminepier::stand_ins
