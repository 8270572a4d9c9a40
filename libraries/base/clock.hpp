/// Clock and random number generator types that are passed to code that tests and replays must be
/// able to run deterministically.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <random>

namespace jasminepier::base
{

using milliseconds = std::chrono::milliseconds;

/// Monotonic time with microsecond resolution. The epoch is unspecified.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// A type whose `now()` returns the current monotonic time.
template <class T>
concept clock_source = requires(T const& clock)
{
    {
        clock.now()
        } -> std::convertible_to<time_point>;
};

/// The machine's monotonic clock.
struct steady_clock_source
{
    time_point now() const noexcept
    {
        return std::chrono::time_point_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now());
    }
};

/// A clock that tests and replays set by hand.
struct manual_clock_source
{
    time_point value{};
    time_point now() const noexcept { return value; }
};

/// The random number generator of the decision code. It is seeded, so that a replay makes the same
/// choices.
using random_source = std::mt19937_64;

/// Returns wall-clock seconds since the Unix epoch. Use it only for values that other machines
/// read; wall-clock time may jump.
inline std::int64_t unix_seconds() noexcept
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace jasminepier::base
