/// Time and randomness as the deterministic code receives them.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <random>

namespace jasminepier::base
{

using milliseconds = std::chrono::milliseconds;

/// A point of monotonic time with microsecond resolution; its origin has no meaning.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// A source of the current monotonic time.
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

/// A clock that tests and replays set.
struct manual_clock_source
{
    time_point value{};
    time_point now() const noexcept { return value; }
};

/// The random source of the decision code; seeded, so that a replay repeats every choice.
using random_source = std::mt19937_64;

/// Returns wall-clock seconds since the Unix epoch. Used only in values that other machines read.
inline std::int64_t unix_seconds() noexcept
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace jasminepier::base
