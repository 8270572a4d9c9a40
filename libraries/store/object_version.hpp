/// Versions of objects in a store that may be restored from a copy.
#pragma once

#include <cstdint>
#include <string>

namespace jasminepier::store
{

/// A store that is restored from a copy loses its latest writes and gives out their revisions
/// again. Its epoch rises with each restoration. A version holds the epoch above the revision, so
/// versions order all writes, also those before and after a restoration. A store without epochs has
/// epoch 0.
inline constexpr int revision_bits = 40;
inline constexpr std::int64_t maximum_revision = (std::int64_t{1} << revision_bits) - 1;
inline constexpr std::int64_t maximum_epoch = (std::int64_t{1} << (62 - revision_bits)) - 1;

constexpr std::int64_t make_version(std::int64_t epoch, std::int64_t revision) noexcept
{
    return (epoch << revision_bits) | (revision & maximum_revision);
}

constexpr std::int64_t epoch_of(std::int64_t version) noexcept
{
    return version >> revision_bits;
}

/// The revision that the store itself knows.
constexpr std::int64_t revision_of(std::int64_t version) noexcept
{
    return version & maximum_revision;
}

/// Returns EPOCH.REVISION for the log, or the revision alone in epoch 0.
inline std::string format_version(std::int64_t version)
{
    auto const revision = std::to_string(revision_of(version));
    return epoch_of(version) == 0 ? revision : std::to_string(epoch_of(version)) + "." + revision;
}

} // namespace jasminepier::store
