/// Writes metrics in the Prometheus text exposition format.
#pragma once

#include "metrics/family.hpp"

#include <span>
#include <string>

namespace jasminepier::metrics
{

inline constexpr char const* exposition_content_type = "text/plain; version=0.0.4; charset=utf-8";

/// Appends the family to `out`.
void write_family(std::string& out, family<counter> const& source);
/// `upper_bounds` must be those that the series were constructed with.
void write_family(std::string& out, family<duration_histogram> const& source,
                  std::span<double const> upper_bounds);

} // namespace jasminepier::metrics
