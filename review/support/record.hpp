/// The record of a case: what was sent, answered and run, with the time since its start.
#pragma once

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace review
{

inline std::chrono::steady_clock::time_point const case_start = std::chrono::steady_clock::now();

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 case_start)
        .count();
}

inline void sleep_until_ms(std::int64_t time)
{
    std::this_thread::sleep_until(case_start + std::chrono::milliseconds(time));
}

inline void sleep_ms(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

/// Thread-safe. Writes to the file that the variable REVIEW_RECORD names.
inline void record(std::string const& text)
{
    static std::mutex mutex;
    static std::ofstream file(std::getenv("REVIEW_RECORD") != nullptr ? std::getenv("REVIEW_RECORD")
                                                                      : "/dev/stderr");
    std::lock_guard lock(mutex);
    file << now_ms() << " ms  " << text << std::endl;
}

/// False if the case shall run without its disruption.
inline bool has_trouble()
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
