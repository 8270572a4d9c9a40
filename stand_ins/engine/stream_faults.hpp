/// Faults of the next stream of the stand-in engine.
#pragma once

#include "base/json.hpp"

#include <atomic>
#include <cstdint>

namespace jasminepier::stand_ins
{

/// Each fault strikes once, when the event with that token index is sent; -1 means never.
struct stream_faults
{
    /// Closes the connection instead of sending the event.
    std::atomic<std::int64_t> cut_at = -1;
    /// Sends nothing more, but keeps the connection.
    std::atomic<std::int64_t> stall_at = -1;
    std::atomic<std::int64_t> duplicate_at = -1;
    std::atomic<std::int64_t> skip_at = -1;
    /// Sends an event of another generation first.
    std::atomic<std::int64_t> cross_at = -1;

    void set(base::json_object const& source)
    {
        cut_at = source->optValue<Poco::Int64>("cut_at", cut_at);
        stall_at = source->optValue<Poco::Int64>("stall_at", stall_at);
        duplicate_at = source->optValue<Poco::Int64>("duplicate_at", duplicate_at);
        skip_at = source->optValue<Poco::Int64>("skip_at", skip_at);
        cross_at = source->optValue<Poco::Int64>("cross_at", cross_at);
    }

    /// Returns true for the one event that the fault strikes.
    static bool strikes(std::atomic<std::int64_t>& fault, std::size_t index)
    {
        auto expected = static_cast<std::int64_t>(index);
        return fault.compare_exchange_strong(expected, -1);
    }
};

} // namespace jasminepier::stand_ins
