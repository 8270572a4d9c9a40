/// Checks of a configuration before it takes effect.
#pragma once

#include "serving/configuration_draft.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

enum class finding_kind
{
    /// The configuration is invalid, or nodes would ignore a part of it.
    error,
    /// The entry can never be used.
    never_matches,
    /// Limits that contradict each other.
    contradiction,
    /// Differs from the configuration in force.
    difference,
};

std::string_view to_string(finding_kind kind) noexcept;

struct configuration_finding
{
    finding_kind kind = finding_kind::error;
    /// The entry, such as "routes[2] (shop.example/orders/)".
    std::string place;
    std::string message;

    friend bool operator==(configuration_finding const&, configuration_finding const&) = default;
};

/// What a configuration is compared with; checks without their figure are left out.
struct configuration_environment
{
    /// Memory of the smallest VM that serves callers, in bytes.
    std::optional<std::uint64_t> smallest_vm_memory_bytes;
    /// Fraction of a service's requests that may be repeated.
    std::optional<double> retry_budget_ratio;
};

/// Returns findings of all kinds but `difference`, in the order of the document.
std::vector<configuration_finding> check_draft(configuration_draft const& draft,
                                               configuration_environment const& environment);

/// Returns what `draft` adds, changes and removes. API keys are counted, not shown.
std::vector<configuration_finding> compare_drafts(configuration_draft const& in_force,
                                                  configuration_draft const& draft);

} // namespace jasminepier::serving
