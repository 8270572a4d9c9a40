/// The entry point that every harness defines for libFuzzer and fuzz/replay.cpp, and helpers.
#pragma once

#include "base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size);

namespace jasminepier::fuzz
{

inline std::string_view as_text(std::uint8_t const* data, std::size_t size)
{
    return {reinterpret_cast<char const*>(data), size};
}

/// Aborts the process if `condition` is false; both drivers then save the input.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

/// Runs a parser that returns a result. Errors must have a message; an exception ends the process.
template <class Parse>
void run_parser(Parse&& parse)
{
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_CHECK(parse());
            return {};
        },
        [](base::error const& failure) { require(!failure.message.empty()); });
}

/// Aborts the process if `function`, which returns a result, fails.
template <class Body>
void require_success(Body&& function)
{
    base::handle([&]() -> base::result<void> { return function(); },
                 [](base::error const&) { require(false); });
}

} // namespace jasminepier::fuzz
