/// Hash of the version of a service's servers.
#pragma once

#include "base/hash.hpp"

#include <cstdint>
#include <string_view>

namespace jasminepier::serving
{

/// Identifies a version of a service.
using version_hash = std::uint32_t;

constexpr version_hash hash_version(std::string_view service, std::string_view version) noexcept
{
    return static_cast<version_hash>(base::stable_hash(version, base::stable_hash(service)));
}

} // namespace jasminepier::serving
