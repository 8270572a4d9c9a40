/// The one function that every harness defines; libFuzzer and fuzz/replay.cpp call it.
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

/// Ends the process when a property does not hold; both drivers then keep the input.
inline void require(bool property)
{
    if (!property)
        std::abort();
}

/// Runs a parser. A refusal must say why; exceptions must not escape.
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

/// Ends the process when `body`, which returns a result, fails.
template <class Body>
void require_success(Body&& body)
{
    base::handle([&]() -> base::result<void> { return body(); },
                 [](base::error const&) { require(false); });
}

} // namespace jasminepier::fuzz
