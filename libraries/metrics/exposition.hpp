/// The text exposition format that monitoring systems read.
#pragma once

#include "metrics/family.hpp"

#include <span>
#include <string>

namespace jasminepier::metrics
{

inline constexpr char const* exposition_content_type = "text/plain; version=0.0.4; charset=utf-8";

/// Appends every series of the family.
void write_family(std::string& out, family<counter> const& source);
/// `bounds` are those that the series were made with.
void write_family(std::string& out, family<duration_histogram> const& source,
                  std::span<double const> bounds);

} // namespace jasminepier::metrics
