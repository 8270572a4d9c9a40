/// How logs write the fingerprints of prompt parts.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace jasminepier::decision
{

/// Returns 16 hexadecimal digits, the same in all programs, so that a search for one part finds it
/// in every log.
inline std::string format_prompt_part(std::uint64_t fingerprint)
{
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(fingerprint));
    return text;
}

} // namespace jasminepier::decision
