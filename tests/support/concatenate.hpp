/// Builds the texts that tests send.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace jasminepier::tests
{

inline std::string concatenate(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (auto const part : parts)
        text += part;
    return text;
}

} // namespace jasminepier::tests
